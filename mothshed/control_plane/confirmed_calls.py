"""Operators' reads and writes on one part, answered well before their callers give up.

A leader that is not sure of its majority answers at once: a read is not confirmed and
nothing of a write is proposed. A call that its mailbox has not begun in time is
withdrawn, so that it is known not to have been written. Only a write that was proposed
and is not committed in time is unclear.
"""

import collections.abc
import threading
import typing

import mothshed.constants as constants


class NotConfirmed(Exception):
    """No majority confirms this member as leader now: nothing was read and nothing was written."""


class OutcomeUnknown(Exception):
    """A write that was proposed and may yet be committed."""


class PendingCall:
    """One call between the thread that waits for it and the mailbox that carries it out."""

    def __init__(self, event: typing.Any) -> None:
        self.event = event
        self.result: typing.Any = None
        self.claimed = threading.Lock()  # taken once: by the mailbox to begin, or by the caller to withdraw

    def claim(self) -> bool:
        """Take the call, to begin or to withdraw it; true for the first taker only."""
        return self.claimed.acquire(blocking=False)

    def finish(self, result: typing.Any) -> None:
        """Hand the result, or an exception, to the thread that waits."""
        self.result = result
        self.event.set()

    def wait(self, timeout_s: float) -> typing.Any:
        """Wait up to timeout_s for the result and return it.

        Raises NotConfirmed if the call never began, and OutcomeUnknown if it has not finished.
        """
        if not self.event.wait(timeout_s):
            raise NotConfirmed() if self.claim() else OutcomeUnknown()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class ConfirmedCalls:
    """Calls on a member's machine that count only while a majority confirms the member.

    current_member: gives the member; another one once its disk had failed and it was opened again.
    """

    def __init__(self, mailbox: typing.Any, current_member: collections.abc.Callable[[], typing.Any]) -> None:
        self.mailbox, self.current_member = mailbox, current_member
        self.proposed: dict[str, list[PendingCall]] = {}  # order id -> the calls that wait for its commit

    @property
    def member(self) -> typing.Any:
        """The member as it is now."""
        return self.current_member()

    def read(self, query: collections.abc.Callable[[], typing.Any]) -> typing.Any:
        """What query() returns once a majority has confirmed this leader; raises NotConfirmed."""

        def begin(call: PendingCall) -> None:
            self.member.confirm_leadership(lambda confirmed: call.finish(query() if confirmed else NotConfirmed()))

        try:
            return self.run(begin)
        except OutcomeUnknown as error:
            raise NotConfirmed() from error

    def write(self, command: dict[str, typing.Any]) -> typing.Any:
        """What became of a command; raises NotConfirmed or OutcomeUnknown."""
        return self.run(lambda call: self.begin_write(command, call))

    def change(
        self, command: dict[str, typing.Any], build_document: collections.abc.Callable[[typing.Any], typing.Any]
    ) -> typing.Any:
        """What became of a command whose document build_document() makes from the newest one.

        Raises NotConfirmed, OutcomeUnknown, and whatever build_document() raises; then nothing was written. The newest
        document is the one that the command builds on, or the command is known to change nothing; should
        another one be taken meanwhile, the command's base no longer holds and the write is a conflict.
        """
        machine = self.member.machine
        deadline = self.member.environment.now() + constants.OPERATOR_CALL_TIMEOUT_S
        known_result, newest = self.read(lambda: (machine.known_result(command), machine.newest_document()))
        if known_result:
            return known_result
        complete_command = {**command, "doc": build_document(newest)}
        return self.run(
            lambda call: self.begin_write(complete_command, call), max(0.0, deadline - self.member.environment.now())
        )

    def begin_write(self, command: dict[str, typing.Any], call: PendingCall) -> None:
        """Propose the command, or have its known result confirmed; within the mailbox."""
        machine = self.member.machine
        known_result = machine.known_result(command) if command["base"] <= machine.latest else None
        if known_result:  # it would change nothing: no entry is needed, only a majority's word that this is the newest
            self.member.confirm_leadership(lambda confirmed: call.finish(known_result if confirmed else NotConfirmed()))
        elif command["id"] in self.proposed:  # sent again while the first is under way: one entry is enough
            self.proposed[command["id"]].append(call)
        else:
            self.proposed[command["id"]] = [call]
            self.member.propose(command, lambda result: self.finish_write(command["id"], result))

    def finish_write(self, order_id: str, result: typing.Any) -> None:
        """Hand the end of an entry to all calls that wait for it."""
        for call in self.proposed.pop(order_id):
            call.finish(OutcomeUnknown() if result is None else result)

    def run(
        self, begin: collections.abc.Callable[[PendingCall], None], timeout_s: float = constants.OPERATOR_CALL_TIMEOUT_S
    ) -> typing.Any:
        """Begin a call within the mailbox while a majority is in touch, and wait timeout_s seconds for its end."""
        if not self.member.has_quorum():  # also read here: the mailbox may be held up by its disk
            raise NotConfirmed()
        call = PendingCall(self.mailbox.new_event())

        def begin_unless_withdrawn() -> None:
            if not call.claim():
                return
            if self.member.has_quorum():
                begin(call)
            else:
                call.finish(NotConfirmed())

        self.member.environment.post(begin_unless_withdrawn)
        return call.wait(timeout_s)
