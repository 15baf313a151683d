"""Frees: every handle is freed on every way out.

The order for a free is queued and carried out by one task, so that no stream
waits for it. An order that fails is tried again until the replica's own lapse
has surely taken the blocks, each time after a longer pause; a replica that
restarted answers that it holds none.
"""

import collections

import mothshed.constants as constants
import mothshed.http.web as web
import mothshed.replicas.replica_adapter as replica_adapter


class Frees:
    def __init__(self, environment, journal, free=None):
        self.environment, self.journal = environment, journal
        self.free = free or replica_adapter.release_handle
        self.queue = collections.deque(maxlen=constants.MAX_PENDING_RELEASES)
        self.late = []  # (due, pause, handle): failed once, tried again
        self.event = environment.new_event()
        self.settled = lambda handle: None  # told once a free is done or pointless

    def order(self, handle):
        self.queue.append(handle)
        self.event.set()

    def run(self):
        while True:
            self.event.wait(constants.HANDLE_RELEASE_RETRY_INTERVAL_S)
            self.event.clear()
            now = self.environment.now()
            due = [row[1:] for row in self.late if row[0] <= now]
            self.late = [row for row in self.late if row[0] > now]
            while self.queue:
                due.append((constants.HANDLE_RELEASE_RETRY_INTERVAL_S, self.queue.popleft()))
            for span, handle in due:
                self.send(handle, span)

    def send(self, handle, span):
        try:
            done = self.free(self.environment, handle)
        except web.WebFault:
            done = False
        self.journal.add("free", outcome="done" if done else "failed")
        if done or self.environment.now() - handle.created_at >= constants.HANDLE_RELEASE_TTL_S:
            self.settled(handle)
        else:
            self.late.append((self.environment.now() + span, 2 * span, handle))

    def left(self):
        return len(self.queue) + sum(row[2].confirmed for row in self.late)
