"""Ends the exchange that a request waits for, from another thread.

A thread that waits on a socket can't look at anything else meanwhile. It holds the socket here
first; cancelling shuts that socket down, so that the wait ends at once with an error and the
other side sees the connection end.
"""

import socket
import threading


class Cancellation:
    """One request's: what it waits on now, and whether it is to wait no more. Never undone."""

    def __init__(self) -> None:
        self.cancelled = False
        self.lock = threading.Lock()
        self.held: socket.socket | None = None

    def hold(self, sock: socket.socket) -> None:
        """This socket is waited on from now on; after a cancellation it is shut down at once."""
        with self.lock:
            self.held = sock
            if self.cancelled:
                shut_down(sock)

    def release(self) -> None:
        """Nothing is waited on any more; a later cancellation leaves the socket alone."""
        with self.lock:
            self.held = None

    def cancel(self) -> None:
        """End the wait under way, if there is one, and every later one."""
        with self.lock:
            self.cancelled = True
            if self.held is not None:
                shut_down(self.held)


def shut_down(sock: socket.socket) -> None:
    """Shut both directions down; a socket that has ended already is left as it is."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
