"""The caller of a request: detects its disconnect and cancels the work for it.

A caller counts as disconnected once it has closed its side of the connection, even if unread
bytes beyond its request are left in it. The server's monitor thread checks all connections
that carry a request and cancels the work for disconnected callers; code that is about to start
work calls `has_disconnected` itself.
"""

import select
import socket
import typing

import mothshed.constants as constants
import mothshed.runtime.cancellation as cancellation
import mothshed.runtime.clock as clock

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection."""
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
    """The caller of one request. conn: the server connection that carries it; None for an internal request."""

    def __init__(self, conn: typing.Any = None) -> None:
        self.conn = conn
        self.arrived: float | None = conn.arrived if conn is not None else None
        self.cancellation = cancellation.Cancellation()
        if conn is not None:
            conn.caller = self  # lets the monitor thread cancel this request
            if conn.disconnected_at is not None:
                self.cancellation.cancel()

    def end_reading(self) -> None:
        """Note that the request has been received whole: from now on the limit on its response holds."""
        if self.conn is not None and self.conn.reading:
            self.close_after(clock.now() + constants.RESPONSE_TIMEOUT_S)

    def close_after(self, moment: float) -> None:
        """Have the connection shut down after this time of the boot clock, even if the response is still being sent."""
        if self.conn is not None:
            self.conn.deadline, self.conn.reading = moment, False

    def has_disconnected(self) -> bool:
        """Return whether the caller no longer waits for the response."""
        if self.conn is None or self.cancellation.cancelled:
            return self.cancellation.cancelled
        return peer_closed(self.conn.socket)

    def disconnected_at(self) -> float | None:
        """Return when the disconnect was first detected, in seconds of the boot clock, or None."""
        return self.conn.disconnected_at if self.conn is not None else None
