"""Cancels the blocking exchange of a request from another thread.

A thread that blocks on a socket can't check anything else. It therefore registers the socket here
first; cancelling shuts that socket down, so that the blocking call returns at once with an error
and the peer sees the connection end.
"""

import socket
import threading


class Cancellation:
    """The cancellation of one request and the socket it blocks on now. A cancellation can't be undone."""

    def __init__(self) -> None:
        self.cancelled = False
        self.lock = threading.Lock()
        self.held: socket.socket | None = None

    def hold(self, sock: socket.socket) -> None:
        """Register the socket that is about to block; it is shut down at once if already cancelled."""
        with self.lock:
            self.held = sock
            if self.cancelled:
                shut_down(sock)

    def release(self) -> None:
        """Unregister the socket; a later cancellation does not touch it."""
        with self.lock:
            self.held = None

    def cancel(self) -> None:
        """Shut down the registered socket, if there is one, and every socket registered later."""
        with self.lock:
            self.cancelled = True
            if self.held is not None:
                shut_down(self.held)


def shut_down(sock: socket.socket) -> None:
    """Shut down both directions; does nothing if the socket is already closed."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
