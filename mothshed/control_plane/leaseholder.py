"""What the leader of the configuration part knows of one process that serves under its leases."""

import dataclasses
import typing

import mothshed.constants as constants
import mothshed.control_plane.document_delivery as document_delivery


@dataclasses.dataclass
class Leaseholder:
    """One process that asks for leases."""

    lease_end: float = 0.0  # when its newest lease has surely lapsed
    staged: int = 0  # the newest sequence that it has said it holds
    active: int = 0  # the sequence that it serves under
    last_request: float = 0.0  # when it last asked
    takes_changes: bool = False  # whether documents may be sent to it as changes
    sent: dict[int, float] = dataclasses.field(default_factory=dict)  # sequence -> when its document was last sent

    def record_request(self, request: dict[str, typing.Any], now: float) -> None:
        """Take what it says of itself in an ask; a process that started again holds less than the one before."""
        if (
            request["staged"] < self.staged
            or request["held"] < self.active
            or self.takes_changes > request["takes_changes"]
        ):
            self.sent.clear()
        self.staged, self.active = request["staged"], request["held"]
        self.takes_changes = request["takes_changes"]
        self.last_request = now

    def next_missing(self, machine: typing.Any, now: float) -> document_delivery.MissingDocuments:
        """What to send it now, as next_sequences says, and the document that it holds."""
        sequences = self.next_sequences(machine, now)
        return document_delivery.MissingDocuments(sequences, self.staged if self.takes_changes and sequences else 0)

    def next_sequences(self, machine: typing.Any, now: float) -> tuple[int, ...]:
        """The documents to send now: the newest and the active one, if it lacks them and they are not on their way."""
        self.sent = {s: at for s, at in self.sent.items() if now - at < constants.DOCUMENT_RESEND_S}
        needed = set()
        if self.staged < machine.latest:
            needed.add(machine.latest)
        if self.active < machine.active != self.staged:
            needed.add(machine.active)
        due = sorted(s for s in needed if s in machine.docs and s not in self.sent)
        self.sent.update((s, now) for s in due)
        return tuple(due)
