"""Durable files in one data folder. Bytes are durable only once `sync` or `put` has returned.

`put` replaces a whole file atomically: written under a temporary name, synced,
renamed, folder synced. Any error of the operating system becomes a DiskError, and
whoever was writing then no longer knows what the disk holds. A file whose write or
sync has failed takes no further append: its tail may be a partly written record, and
after a failed fsync the system may have dropped pages that it still shows to readers,
so a later successful fsync would prove nothing. Only `put`, which makes a new file
from bytes that the caller has checked, opens the name again.
"""

import contextlib

import mothshed.storage.folder as folder_module

TEMPORARY_SUFFIX = ".new"  # suffix of a file that `put` has not renamed yet


class DiskError(Exception):
    """The disk did not take or give what it was asked to."""


class DiskCorruptionError(DiskError):
    """Bytes that had been synced are missing or altered: the folder must be wiped."""


@contextlib.contextmanager
def convert_os_errors(action, name):
    """Errors of the operating system inside become a DiskError that names the file."""
    try:
        yield
    except OSError as error:
        raise DiskError(f"{action} {name}: {error}") from error


class Disk:
    """The files of one data folder, whether the operating system's or a simulated one."""

    def __init__(self, path, make_folder=folder_module.Folder):
        with convert_os_errors("open", path):
            self.files = make_folder(path)
        self.handles = {}  # name -> handle of a file being appended to
        self.failed_names = set()  # names that take no append until replaced

    def names(self):
        """The names of all finished files, sorted."""
        with convert_os_errors("list", "the folder"):
            return [name for name in self.files.names() if not name.endswith(TEMPORARY_SUFFIX)]

    def read(self, name):
        """The content of a file; empty bytes if there is no such file."""
        with convert_os_errors("read", name):
            return self.files.read(name)

    def append(self, name, data):
        """Writes at the end of an existing file; durable after `sync`."""
        self.check_usable(name)
        try:
            with convert_os_errors("append", name):
                if name not in self.handles:
                    self.handles[name] = self.files.open(name)
                self.write_all(self.handles[name], data)
        except DiskError:
            self.failed_names.add(name)
            raise

    def sync(self, name):
        """Returns once all that was appended to a file survives a loss of power."""
        self.check_usable(name)
        try:
            with convert_os_errors("sync", name):
                self.files.fsync(self.handles[name])
        except DiskError:
            self.failed_names.add(name)
            raise

    def put(self, name, data):
        """Replaces a whole file; a loss of power leaves the old content or the new."""
        temporary = name + TEMPORARY_SUFFIX
        self.close(name)
        with convert_os_errors("put", name):
            handle = self.files.create(temporary)
            try:
                self.write_all(handle, data)
                self.files.fsync(handle)
            finally:
                self.files.close(handle)
            self.files.rename(temporary, name)
            self.files.sync_directory()
        self.failed_names.discard(name)

    def remove(self, names):
        """Removes files; returns once they cannot come back after a loss of power."""
        for name in names:
            self.close(name)
            with convert_os_errors("remove", name):
                self.files.remove(name)
        if names:
            self.sync_directory()

    def temporary_names(self, prefix):
        """The names of files with this prefix that interrupted calls of `put` have left."""
        with convert_os_errors("list", "the folder"):
            names = self.files.names()
        return [name for name in names if name.startswith(prefix) and name.endswith(TEMPORARY_SUFFIX)]

    def sync_directory(self):
        """Returns once all names made, renamed or removed so far survive a loss of power."""
        with convert_os_errors("sync", "the folder"):
            self.files.sync_directory()

    def write_all(self, handle, data):
        """Writes all of the data; the system may take it in several parts."""
        while data:
            data = data[self.files.write(handle, data) :]

    def check_usable(self, name):
        """Raises DiskError if an earlier write or sync of the file failed."""
        if name in self.failed_names:
            raise DiskError(f"{name}: an earlier write or sync failed")

    def close(self, name):
        """Closes the handle on a file that has been appended to, if there is one."""
        if name in self.handles:
            with convert_os_errors("close", name):
                self.files.close(self.handles.pop(name))
