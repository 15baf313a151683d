"""Who waits for a request's answer: whether it still does, and what ends when it leaves.

A caller has left once its side of the connection has ended, whatever it sent before: bytes
beyond its request that nobody read don't make it present. The front's watcher looks at all
connections that carry a request and cancels what is under way for those that have left; code
that is about to begin something asks `has_disconnected` itself.
"""

import select
import socket
import typing

import mothshed.runtime.cancellation as cancellation

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def peer_closed(sock: socket.socket) -> bool:
    """Whether the other side of a connection has ended it."""
    poller = select.poll()
    try:
        poller.register(sock, CLOSED_EVENTS | select.POLLIN)
        events = poller.poll(0)
        if not events:
            return False
        return bool(events[0][1] & CLOSED_EVENTS) or sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


class Caller:
    """The caller of one request. conn: the front's connection that carries it; none for a request of our own."""

    def __init__(self, conn: typing.Any = None) -> None:
        self.conn = conn
        self.arrived: float | None = conn.arrived if conn is not None else None
        self.cancellation = cancellation.Cancellation()
        if conn is not None:
            conn.caller = self  # from here on the watcher finds it
            if conn.disconnected_at is not None:
                self.cancellation.cancel()

    def close_after(self, moment: float) -> None:
        """Past this moment, in seconds of the boot clock, the connection is shut, whoever stalls on it."""
        if self.conn is not None:
            self.conn.deadline, self.conn.reading = moment, False

    def has_disconnected(self) -> bool:
        """Whether nobody waits for the answer any more."""
        if self.conn is None or self.cancellation.cancelled:
            return self.cancellation.cancelled
        return peer_closed(self.conn.socket)

    def disconnected_at(self) -> float | None:
        """When it was first seen to have left, in seconds of the boot clock, or None."""
        return self.conn.disconnected_at if self.conn is not None else None
