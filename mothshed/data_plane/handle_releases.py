"""Handle releases: the KV memory behind every handle is released, however its request ends.

Releases are queued and sent by one task, so that no stream waits for them. A release that
fails is retried, each time after twice the delay, until the replica has certainly expired
the handle by itself. A replica that has restarted replies that it holds none.
"""

import collections

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.replicas.replica_adapter as replica_adapter


class HandleReleases:
    """The queue of handles to release, and the retries of releases that failed."""

    def __init__(self, environment, journal, release_handle=None):
        self.environment, self.journal = environment, journal
        self.release_handle = release_handle or replica_adapter.release_handle
        self.queue = collections.deque(maxlen=constants.MAX_PENDING_RELEASES)
        self.retries = []  # (due, next delay, handle)
        self.sending = []  # handles whose release is due or has been sent and not yet answered
        self.event = environment.new_event()
        self.notify_finished = lambda handle: None  # called once a release has succeeded or expired

    def enqueue(self, handle):
        """Queue a handle for release; returns at once."""
        self.queue.append(handle)
        self.event.set()

    def run(self):
        """Send the queued releases and the retries that are due, as long as the process lives."""
        while True:
            self.event.wait(constants.HANDLE_RELEASE_RETRY_INTERVAL_S)
            self.event.clear()
            self.send_due()

    def send_due(self) -> None:
        """Send the queued releases and the retries that are due; each stays pending until it has been answered."""
        now = self.environment.now()
        due = [entry[1:] for entry in self.retries if entry[0] <= now]
        self.sending = [handle for _delay, handle in due]
        self.retries = [entry for entry in self.retries if entry[0] > now]
        while self.queue:
            self.sending.append(self.queue[0])
            due.append((constants.HANDLE_RELEASE_RETRY_INTERVAL_S, self.queue.popleft()))
        for delay, handle in due:
            self.release(handle, delay)
            self.sending.pop(0)

    def release(self, handle, delay):
        """Send one release; on failure, schedule a retry after the delay, and after twice the delay the next time."""
        try:
            done = self.release_handle(self.environment, handle)
        except http_client.ExchangeError:
            done = False
        self.journal.add("free", outcome="done" if done else "failed")
        if done or self.environment.now() - handle.created_at >= constants.HANDLE_RELEASE_TTL_S:
            self.notify_finished(handle)
        else:
            self.retries.append((self.environment.now() + delay, 2 * delay, handle))

    def count_pending(self):
        """Number of releases not yet done, except retries for handles that were never confirmed."""
        return len(self.queue) + len(self.sending) + sum(entry[2].confirmed for entry in self.retries)
