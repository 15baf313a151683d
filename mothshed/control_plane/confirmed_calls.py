"""Operators' reads and writes on one part, answered well before their callers give up.

A leader that is not sure of its majority answers at once: a read is not confirmed and
nothing of a write is proposed. A call that its mailbox has not begun in time is
withdrawn, so that it is known not to have been written. Only a write that was proposed
and is not committed in time is unclear.
"""

import threading

import mothshed.common.constants as constants


class NotConfirmed(Exception):
    """No majority confirms this member as leader now: nothing was read and nothing was written."""


class Unclear(Exception):
    """A write that was proposed and may yet be committed."""


class PendingCall:
    """One call between the thread that waits for it and the mailbox that carries it out."""

    def __init__(self, gate):
        self.gate = gate
        self.result = None
        self.claimed = threading.Lock()  # taken once: by the mailbox to begin, or by the caller to withdraw

    def claim(self):
        return self.claimed.acquire(blocking=False)

    def end(self, result):
        self.result = result
        self.gate.set()

    def wait(self):
        """The result; NotConfirmed if the call was never begun, Unclear if it has not ended."""
        if not self.gate.wait(constants.OPERATOR_WAIT):
            raise NotConfirmed() if self.claim() else Unclear()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class ConfirmedCalls:
    """Calls on a member's machine that count only while a majority confirms the member."""

    def __init__(self, desk, member):
        self.desk, self.member = desk, member

    def read(self, give):
        """What give() returns once a majority has confirmed this leader; raises NotConfirmed."""

        def begin(call):
            self.member.confirm(lambda good: call.end(give() if good else NotConfirmed()))

        try:
            return self.run(begin)
        except Unclear as unclear:
            raise NotConfirmed() from unclear

    def write(self, command):
        """What became of a command; raises NotConfirmed or Unclear."""
        return self.run(lambda call: self.begin_write(command, call))

    def begin_write(self, command, call):
        machine = self.member.machine
        known = machine.known_result(command) if command["base"] <= machine.latest else None
        if known:  # it would change nothing: no entry is needed, only a majority's word that this is the newest
            self.member.confirm(lambda good: call.end(known if good else NotConfirmed()))
        else:
            self.member.propose(command, lambda result: call.end(Unclear() if result is None else result))

    def run(self, begin):
        if not self.member.sure():  # also read here: the mailbox may be held up by its disk
            raise NotConfirmed()
        call = PendingCall(self.desk.gate())

        def begin_once():
            if not call.claim():
                return
            if self.member.sure():
                begin(call)
            else:
                call.end(NotConfirmed())

        self.member.desk.post(begin_once)
        return call.wait()
