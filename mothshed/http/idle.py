"""Idle client connections: the idle timeout and its expiry.

A client may reuse a connection for as long as the timeout it knows of allows. After the
timeout is shortened, the longer one therefore stays valid for its own duration. Ages are
measured on the boot clock, so that a change of the wall clock closes no connection. A
connection with unread input is never closed here: its request is served.
"""

import select

import cheroot.connections

import mothshed.constants as constants
import mothshed.runtime.clock as clock


class IdleLimit:
    """The idle timeout that clients may rely on, in seconds, across its changes."""

    def __init__(self, seconds):
        self.current = seconds
        self.former = []  # (seconds, valid until)

    def change(self, seconds, now):
        if seconds != self.current:
            self.former.append((self.current, now + self.current))
            self.current = seconds

    def longest(self, now):
        self.former = [entry for entry in self.former if entry[1] > now]
        return max([self.current, *(seconds for seconds, end in self.former)])


def has_input(sock):
    """Return whether a socket has bytes, an end of stream or an error to read."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


class IdleConnections(cheroot.connections.ConnectionManager):
    """The library's connection manager with its own expiry of idle connections."""

    def put(self, conn):
        conn.idle_since = clock.now()
        super().put(conn)

    def _expire(self, threshold):
        """Close connections idle for longer than the timeout and a margin; the library's threshold is ignored."""
        now = clock.now()
        oldest_kept = now - self.server.idle_limit.longest(now) - constants.IDLE_CLOSE_MARGIN_S
        for descriptor, conn in list(self._selector.connections):
            if conn is self.server or conn.idle_since > oldest_kept or has_input(conn.socket):
                continue
            self._selector.unregister(descriptor)
            conn.close()
