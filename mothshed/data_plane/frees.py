"""Frees: every handle is freed on every way out.

The order for a free is queued and carried out by one task, so that no stream
waits for it. An order that fails is tried again until the replica's own lapse
has surely taken the blocks; a replica that restarted answers that it holds none.
"""

import collections

import mothshed.common.constants as constants
import mothshed.common.replica_adapter as replica_adapter
import mothshed.common.web as web


class Frees:
    def __init__(self, desk, journal):
        self.desk, self.journal = desk, journal
        self.queue = collections.deque(maxlen=constants.FREES_MOST)
        self.late = []          # (due, handle): failed once, tried again
        self.gate = desk.gate()

    def order(self, handle):
        self.queue.append(handle)
        self.gate.set()

    def run(self):
        while True:
            self.gate.wait(constants.FREE_BEAT)
            self.gate.clear()
            now = self.desk.now()
            due = [h for at, h in self.late if at <= now]
            self.late = [(at, h) for at, h in self.late if at > now]
            while self.queue:
                due.append(self.queue.popleft())
            for handle in due:
                self.send(handle)

    def send(self, handle):
        try:
            done = replica_adapter.free(self.desk, handle)
        except web.WebFault:
            done = False
        self.journal.add("free", outcome="done" if done else "failed")
        if not done and self.desk.now() - handle.born < constants.FREE_LIFE:
            self.late.append((self.desk.now() + constants.FREE_BEAT, handle))

    def left(self):
        return len(self.queue) + len(self.late)
