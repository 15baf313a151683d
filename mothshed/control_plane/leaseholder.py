"""What the leader of the configuration part knows about one process that serves under its leases."""

import dataclasses
import typing

import mothshed.constants as constants
import mothshed.control_plane.document_delivery as document_delivery


@dataclasses.dataclass
class Leaseholder:
    """One process that requests leases."""

    lease_end: float = 0.0  # time by which its newest lease has expired, clock margin included
    staged: int = 0  # the newest sequence that it reported to hold
    active: int = 0  # the sequence that it serves
    last_request: float = 0.0  # time of its last request
    takes_changes: bool = False  # whether it accepts documents as differences
    takes_pieces: bool = False  # whether it fetches large documents in pieces
    # sequence -> time at which its document was last sent
    sent: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_request(self, request: dict[str, typing.Any], now: float) -> None:
        """Record the state that a request reports. Less than before means that the process was restarted."""
        if (
            request["staged"] < self.staged
            or request["held"] < self.active
            or self.takes_changes > request["takes_changes"]
        ):
            self.sent.clear()
        self.staged, self.active = request["staged"], request["held"]
        self.takes_changes, self.takes_pieces = request["takes_changes"], request.get("takes_pieces", False)
        self.last_request = now

    def next_missing(self, machine: typing.Any, now: float) -> document_delivery.MissingDocuments:
        """The documents to send now (see next_sequences) and the base for differences."""
        sequences = self.next_sequences(machine, now)
        base = self.staged if self.takes_changes and sequences else 0
        return document_delivery.MissingDocuments(sequences, base, self.takes_pieces)

    def next_sequences(self, machine: typing.Any, now: float) -> tuple[int, ...]:
        """The sequences to send now, marked as sent: the newest and the active one if missing and not in flight."""
        self.sent = {s: at for s, at in self.sent.items() if now - at < constants.DOCUMENT_RESEND_S}
        needed = set()
        if self.staged < machine.latest:
            needed.add(machine.latest)
        if self.active < machine.active != self.staged:
            needed.add(machine.active)
        due = sorted(s for s in needed if s in machine.docs and s not in self.sent)
        self.sent.update((s, now) for s in due)
        return tuple(due)
