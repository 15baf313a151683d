"""Idle connections of callers: how long they may rest, and when they are closed.

A caller may take up a connection for as long as the limit it knows allows. When the
limit becomes shorter, the longer one therefore holds on for its own span. Ages are
read off the monotonic clock: a step of the wall clock ends no connection. One that
has something to read is never closed here: its request is served.
"""

import select

import cheroot.connections

import mothshed.constants as constants
import mothshed.runtime.clock as clock


class IdleLimit:
    """The idle time callers may count on, in seconds, through its changes."""

    def __init__(self, seconds):
        self.current = seconds
        self.former = []  # (seconds, until when it still holds)

    def change(self, seconds, now):
        if seconds != self.current:
            self.former.append((self.current, now + self.current))
            self.current = seconds

    def longest(self, now):
        self.former = [entry for entry in self.former if entry[1] > now]
        return max([self.current, *(seconds for seconds, end in self.former)])


def has_input(sock):
    """Whether a socket has bytes, an end or a fault to read."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


class IdleConnections(cheroot.connections.ConnectionManager):
    """The library's selector of idle connections, with an expiry of our own."""

    def put(self, conn):
        conn.idle_since = clock.now()
        super().put(conn)

    def _expire(self, threshold):
        """Closes what rested for the whole limit and a margin; the library's threshold is not used."""
        now = clock.now()
        oldest_kept = now - self.server.idle_limit.longest(now) - constants.IDLE_CLOSE_MARGIN_S
        for descriptor, conn in list(self._selector.connections):
            if conn is self.server or conn.idle_since > oldest_kept or has_input(conn.socket):
                continue
            self._selector.unregister(descriptor)
            conn.close()
