"""A self-pipe that wakes a thread from its selector."""

import os

import mothshed.constants as constants


class Waker:
    """The thread's selector watches `reader`; any other thread may call `wake`."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)

    def wake(self) -> None:
        """Make `reader` readable."""
        try:
            os.write(self.writer, b".")
        except OSError:
            pass  # the pipe is full, so the thread is about to wake, or the pipe is closed

    def clear(self) -> None:
        """Drain the pipe after a wake-up."""
        os.read(self.reader, constants.SOCKET_READ_BYTES)

    def close(self) -> None:
        """Close both ends of the pipe."""
        os.close(self.reader)
        os.close(self.writer)
