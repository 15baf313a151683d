"""Who waits for a request's answer: whether it still does, and what ends when it leaves.

A caller has left once its side of the connection has ended, whatever it sent before: bytes
beyond its request that nobody read don't make it present. The front's watcher looks at all
connections that carry a request and cancels what is under way for those that have left; code
that is about to begin something asks `has_left` itself.
"""

import select
import socket
import typing

import mothshed.runtime.cancellation as cancellation

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def hung_up(sock: socket.socket) -> bool:
    """Whether the other side of a connection has ended it."""
    look = select.poll()
    try:
        look.register(sock, ENDED | select.POLLIN)
        events = look.poll(0)
        if not events:
            return False
        return bool(events[0][1] & ENDED) or sock.recv(1, socket.MSG_PEEK) == b""
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
            if conn.left_at is not None:
                self.cancellation.cancel()

    def shut_after(self, moment: float) -> None:
        """Past this moment, in seconds of the boot clock, the connection is shut, whoever stalls on it."""
        if self.conn is not None:
            self.conn.due, self.conn.reading = moment, False

    def has_left(self) -> bool:
        """Whether nobody waits for the answer any more."""
        if self.conn is None or self.cancellation.cancelled:
            return self.cancellation.cancelled
        return hung_up(self.conn.socket)

    def left_at(self) -> float | None:
        """When it was first seen to have left, in seconds of the boot clock, or None."""
        return self.conn.left_at if self.conn is not None else None
