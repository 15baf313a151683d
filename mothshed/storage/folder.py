"""The operating system's calls on the files of one folder.

`Disk` is written against this small interface, so that the simulator can put a
folder in its place that loses power between any two calls. Every method may raise
OSError; nothing here retries.
"""

import os
import pathlib


class Folder:
    """One directory of the real file system; files are named relative to it."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.mkdir(parents=True, exist_ok=True)

    def names(self):
        """The names of all files, sorted."""
        return sorted(entry.name for entry in self.path.iterdir())

    def read(self, name):
        """The content of a file; empty bytes if there is no such file."""
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return b""

    def create(self, name):
        """A handle on a file of this name that is empty."""
        return os.open(self.path / name, os.O_CREAT | os.O_TRUNC | os.O_WRONLY)

    def open(self, name):
        """A handle that appends to a file, which must exist."""
        return os.open(self.path / name, os.O_WRONLY | os.O_APPEND)

    def write(self, handle, data):
        """Writes some of the data, and says how many bytes."""
        return os.write(handle, data)

    def fsync(self, handle):
        """Returns once the file's content survives a loss of power."""
        os.fsync(handle)

    def close(self, handle):
        """Gives the handle back; says nothing of what is durable."""
        os.close(handle)

    def rename(self, name, new_name):
        """Atomically puts the file in the place of any that had the new name."""
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name):
        """Removes a file; no error if there is none."""
        (self.path / name).unlink(missing_ok=True)

    def sync_directory(self):
        """Returns once names that were made, renamed or removed survive a loss of power."""
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
