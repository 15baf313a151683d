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


class Unclear(Exception):
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

    def end(self, result: typing.Any) -> None:
        """Hand the result, or an exception, to the thread that waits."""
        self.result = result
        self.event.set()

    def wait(self, span: float) -> typing.Any:
        """The result within span seconds; NotConfirmed if the call was never begun, Unclear if it has not ended."""
        if not self.event.wait(span):
            raise NotConfirmed() if self.claim() else Unclear()
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

    def read(self, give: collections.abc.Callable[[], typing.Any]) -> typing.Any:
        """What give() returns once a majority has confirmed this leader; raises NotConfirmed."""

        def begin(call: PendingCall) -> None:
            self.member.confirm_leadership(lambda good: call.end(give() if good else NotConfirmed()))

        try:
            return self.run(begin)
        except Unclear as unclear:
            raise NotConfirmed() from unclear

    def write(self, command: dict[str, typing.Any]) -> typing.Any:
        """What became of a command; raises NotConfirmed or Unclear."""
        return self.run(lambda call: self.begin_write(command, call))

    def change(
        self, command: dict[str, typing.Any], complete: collections.abc.Callable[[typing.Any], typing.Any]
    ) -> typing.Any:
        """What became of a command whose document complete() makes from the newest one.

        Raises NotConfirmed, Unclear, and whatever complete() raises; then nothing was written. The newest
        document is the one that the command builds on, or the command is known to change nothing; should
        another one be taken meanwhile, the command's base no longer holds and the write is a conflict.
        """
        machine = self.member.machine
        until = self.member.environment.now() + constants.OPERATOR_CALL_TIMEOUT_S
        known, newest = self.read(lambda: (machine.known_result(command), machine.newest_document()))
        if known:
            return known
        whole = {**command, "doc": complete(newest)}
        return self.run(lambda call: self.begin_write(whole, call), max(0.0, until - self.member.environment.now()))

    def begin_write(self, command: dict[str, typing.Any], call: PendingCall) -> None:
        """Propose the command, or have its known result confirmed; within the mailbox."""
        machine = self.member.machine
        known = machine.known_result(command) if command["base"] <= machine.latest else None
        if known:  # it would change nothing: no entry is needed, only a majority's word that this is the newest
            self.member.confirm_leadership(lambda good: call.end(known if good else NotConfirmed()))
        elif command["id"] in self.proposed:  # sent again while the first is under way: one entry is enough
            self.proposed[command["id"]].append(call)
        else:
            self.proposed[command["id"]] = [call]
            self.member.propose(command, lambda result: self.end_write(command["id"], result))

    def end_write(self, order_id: str, result: typing.Any) -> None:
        """Hand the end of an entry to all calls that wait for it."""
        for call in self.proposed.pop(order_id):
            call.end(Unclear() if result is None else result)

    def run(
        self, begin: collections.abc.Callable[[PendingCall], None], span: float = constants.OPERATOR_CALL_TIMEOUT_S
    ) -> typing.Any:
        """Begin a call within the mailbox while a majority is in touch, and wait span seconds for its end."""
        if not self.member.has_quorum():  # also read here: the mailbox may be held up by its disk
            raise NotConfirmed()
        call = PendingCall(self.mailbox.new_event())

        def begin_once() -> None:
            if not call.claim():
                return
            if self.member.has_quorum():
                begin(call)
            else:
                call.end(NotConfirmed())

        self.member.environment.post(begin_once)
        return call.wait(span)
