"""What the leader of the configuration part knows of one process that serves under its leases."""

import collections.abc
import dataclasses
import typing

import mothshed.constants as constants


@dataclasses.dataclass
class Leaseholder:
    """One process that asks for leases."""

    until: float = 0.0  # when its newest lease has surely lapsed
    staged: int = 0  # the newest sequence that it has said it holds
    active: int = 0  # the sequence that it serves under
    asked: float = 0.0  # when it last asked
    sent: dict = dataclasses.field(default_factory=dict)  # sequence -> when its document was last sent

    def take_sequences(self, machine: typing.Any, now: float) -> tuple[int, ...]:
        """The documents to send now: the newest and the active one, if it lacks them and they are not on their way."""
        self.sent = {s: at for s, at in self.sent.items() if now - at < constants.RESEND_AFTER}
        needed = set()
        if self.staged < machine.latest:
            needed.add(machine.latest)
        if self.active < machine.active != self.staged:
            needed.add(machine.active)
        due = sorted(s for s in needed if s in machine.docs and s not in self.sent)
        self.sent.update((s, now) for s in due)
        return tuple(due)


def documents(machine: typing.Any, sequences: collections.abc.Iterable[int]) -> list[list[typing.Any]]:
    """Documents as they are sent: rows of a sequence and its document."""
    return [[sequence, delivered_form(machine.docs[sequence]["doc"])] for sequence in sequences]


def delivered_form(document: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """The document as processes that serve need it: without the text that its operator sent."""
    return {key: value for key, value in document.items() if key != "as_sent"}
