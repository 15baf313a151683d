"""A pipe that wakes a thread out of its selector."""

import os

import mothshed.constants as constants


class Waker:
    """reader is what the thread's selector watches; any thread may wake it."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)

    def wake(self) -> None:
        """Make the reader readable."""
        try:
            os.write(self.writer, b".")
        except OSError:
            pass  # the pipe is full, so the thread is about to wake; or it has ended

    def clear(self) -> None:
        """Take what woke the thread."""
        os.read(self.reader, constants.SOCKET_READ_BYTES)

    def close(self) -> None:
        """Let go of the pipe."""
        os.close(self.reader)
        os.close(self.writer)
