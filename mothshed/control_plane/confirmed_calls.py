"""Operators' reads and writes on one part, answered well before the clients time out.

A leader without a confirmed majority answers immediately: the read is not confirmed, or
the write is not proposed. A call that the mailbox has not started in time is
withdrawn, so it is known that nothing was written. The outcome is unknown only for a write
that was proposed but not committed in time.
"""

import collections.abc
import threading
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.constants as constants
import mothshed.control_plane.document_rows as document_rows

Command = dict[str, typing.Any]


class NotConfirmed(Exception):
    """No majority confirms this member as leader: nothing was read and nothing was written."""


class OutcomeUnknown(Exception):
    """The write was proposed and may still be committed."""


def timeout_of(command: Command) -> float:
    """How long the outcome of a command is waited for, in seconds: longer with a large document."""
    reference = document_rows.reference_of(command)
    document_s = reference.length / configuration_constants.LARGE_WRITE_BYTES_PER_S if reference else 0.0
    return constants.OPERATOR_CALL_TIMEOUT_S + document_s


class PendingCall:
    """One call, shared by the thread that waits for its result and the mailbox that runs it."""

    def __init__(self, event: typing.Any) -> None:
        self.event = event
        self.result: typing.Any = None
        # acquired once: by the mailbox to start the call, or by the caller to withdraw it
        self.claimed = threading.Lock()

    def claim(self) -> bool:
        """Claim the call, to start or to withdraw it; true only for the first claim."""
        return self.claimed.acquire(blocking=False)

    def finish(self, result: typing.Any) -> None:
        """Pass the result, or an exception, to the waiting thread."""
        self.result = result
        self.event.set()

    def wait(self, timeout_s: float) -> typing.Any:
        """Wait up to timeout_s for the result and return it.

        Raises NotConfirmed if the call never started, and OutcomeUnknown if it has not finished.
        """
        if not self.event.wait(timeout_s):
            raise NotConfirmed() if self.claim() else OutcomeUnknown()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class ConfirmedCalls:
    """Calls on a member's state machine that are valid only while a majority confirms the member as leader.

    current_member: returns the member, which is replaced when it is reopened after a disk failure.
    """

    def __init__(self, mailbox: typing.Any, current_member: collections.abc.Callable[[], typing.Any]) -> None:
        self.mailbox, self.current_member = mailbox, current_member
        self.proposed: dict[str, list[PendingCall]] = {}  # order id -> calls that wait for its commit

    @property
    def member(self) -> typing.Any:
        """The current member."""
        return self.current_member()

    def read(self, query: collections.abc.Callable[[], typing.Any]) -> typing.Any:
        """Return query() once a majority has confirmed this leader; raises NotConfirmed."""

        def begin(call: PendingCall) -> None:
            self.member.confirm_leadership(lambda confirmed: call.finish(query() if confirmed else NotConfirmed()))

        try:
            return self.run(begin)
        except OutcomeUnknown as error:
            raise NotConfirmed() from error

    def write(self, command: Command) -> typing.Any:
        """Run a command and return its result; raises NotConfirmed or OutcomeUnknown."""
        return self.run(lambda call: self.begin_write(command, call), timeout_of(command))

    def change(
        self,
        command: Command,
        build_fields: collections.abc.Callable[[document_rows.StoredDocument | None], Command],
    ) -> typing.Any:
        """Run a command whose document build_fields() derives from the newest one, and return its result.

        Raises NotConfirmed, OutcomeUnknown, and whatever build_fields() raises, in which case nothing was
        written. Either the newest document is the command's base, or the command is known to change nothing. If
        another document is accepted in the meantime, the base is no longer the newest and the write is a conflict.
        """
        machine = self.member.machine
        deadline = self.member.environment.now() + constants.OPERATOR_CALL_TIMEOUT_S
        known_result, newest = self.read(lambda: (machine.known_result(command), machine.newest_document()))
        if known_result:
            return known_result
        in_progress = command["id"] in self.proposed
        complete_command = command if in_progress else {**command, **build_fields(newest)}
        remaining_s = deadline - self.member.environment.now()
        if remaining_s < constants.OPERATOR_CALL_TIMEOUT_S / 2:  # a large document took its time; the caller is patient
            remaining_s = timeout_of(complete_command)
        return self.run(lambda call: self.begin_write(complete_command, call), remaining_s)

    def is_known(self, order_id: str) -> bool:
        """Whether an order with this id was accepted or is in progress, so that its document isn't needed again."""
        return order_id in self.proposed or self.member.machine.accepted.sequence_of(order_id) is not None

    def begin_write(self, command: Command, call: PendingCall) -> None:
        """Propose the command, or have its known result confirmed; runs in the mailbox."""
        machine = self.member.machine
        known_result = machine.known_result(command) if command["base"] <= machine.latest else None
        if known_result:  # changes nothing: confirm the leadership instead of appending an entry
            self.member.confirm_leadership(lambda confirmed: call.finish(known_result if confirmed else NotConfirmed()))
        elif command["id"] in self.proposed:  # repeated while the first is in progress: one entry is enough
            self.proposed[command["id"]].append(call)
        elif not document_rows.has_document(command):  # the one in progress has failed meanwhile
            call.finish(NotConfirmed())
        else:
            self.proposed[command["id"]] = [call]
            self.member.propose(command, lambda result: self.finish_write(command["id"], result))

    def finish_write(self, order_id: str, result: typing.Any) -> None:
        """Pass the result of an entry to all calls that wait for it."""
        for call in self.proposed.pop(order_id):
            call.finish(OutcomeUnknown() if result is None else result)

    def run(
        self, begin: collections.abc.Callable[[PendingCall], None], timeout_s: float = constants.OPERATOR_CALL_TIMEOUT_S
    ) -> typing.Any:
        """Start a call in the mailbox if a majority is in contact, and wait up to timeout_s for its result."""
        if not self.member.has_quorum():  # checked here as well, since the mailbox may be blocked by its disk
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
