"""File operations of the operating system in one directory.

`Disk` uses only this small interface, so that the simulator can substitute a directory
that loses power between any two calls. Every method may raise OSError; nothing is retried.
"""

import os
import pathlib


class Folder:
    """One directory of the real file system; file names are relative to it."""

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
        """Creates or truncates a file, and returns a handle for writing."""
        return os.open(self.path / name, os.O_CREAT | os.O_TRUNC | os.O_WRONLY)

    def open(self, name):
        """Opens an existing file for appending, and returns its handle."""
        return os.open(self.path / name, os.O_WRONLY | os.O_APPEND)

    def write(self, handle, data):
        """Writes some of the data, and returns the number of bytes written."""
        return os.write(handle, data)

    def fsync(self, handle):
        """Returns once the content of the file is durable."""
        os.fsync(handle)

    def close(self, handle):
        """Closes a handle, without any guarantee of durability."""
        os.close(handle)

    def rename(self, name, new_name):
        """Renames a file atomically, replacing any file of the new name."""
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name):
        """Removes a file; not an error if it does not exist."""
        (self.path / name).unlink(missing_ok=True)

    def sync_directory(self):
        """Returns once files created, renamed or removed before remain so after a power loss."""
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
