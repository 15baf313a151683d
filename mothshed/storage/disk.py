"""Durable files in one data folder. Bytes are durable only once `sync` or `put` has returned.

`put` replaces a whole file atomically: it writes a temporary file, syncs it, renames it
and syncs the directory. Every OSError is converted to DiskError, after which the
writer does not know what the disk holds. A file whose write or sync has failed accepts
no further append: its tail may be a partial record, and after a failed fsync the kernel
may have dropped dirty pages that readers still see, so a later successful fsync would
prove nothing. Only `put`, which writes a new file from bytes that the caller has
verified, makes the name usable again.
"""

import contextlib

import mothshed.storage.constants as storage_constants
import mothshed.storage.folder as folder_module

TEMPORARY_SUFFIX = ".new"  # suffix of a file that `put` has not renamed yet


class DiskError(Exception):
    """An operation on the disk failed."""


class DiskCorruptionError(DiskError):
    """Bytes that had been synced are missing or altered; the data folder must be wiped."""


@contextlib.contextmanager
def convert_os_errors(action, name):
    """Converts an OSError in the block to a DiskError that names the action and the file."""
    try:
        yield
    except OSError as error:
        raise DiskError(f"cannot {action} {name}: {error}") from error


class Disk:
    """The files of one data folder, of the operating system or simulated."""

    def __init__(self, path, make_folder=folder_module.Folder):
        with convert_os_errors("open", path):
            self.files = make_folder(path)
        self.handles = {}  # name -> open handle of a file that is appended to
        self.failed_names = set()  # names that accept no append until replaced

    def names(self):
        """The names of all files except temporary ones, sorted."""
        with convert_os_errors("list", "the folder"):
            return [name for name in self.files.names() if not name.endswith(TEMPORARY_SUFFIX)]

    def read(self, name):
        """The content of a file; empty bytes if there is no such file."""
        with convert_os_errors("read", name):
            return self.files.read(name)

    def append(self, name, data):
        """Appends to an existing file; durable after `sync`."""
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
        """Returns once everything appended to a file is durable across a power loss."""
        self.check_usable(name)
        try:
            with convert_os_errors("sync", name):
                self.files.fsync(self.handles[name])
        except DiskError:
            self.failed_names.add(name)
            raise

    def put(self, name, data):
        """Replaces a whole file atomically; a power loss leaves the old content or the new.

        A long file is synced piece by piece, so that a sync of another file doesn't wait for all of it.
        """
        temporary = name + TEMPORARY_SUFFIX
        self.close(name)
        with convert_os_errors("put", name):
            handle = self.files.create(temporary)
            try:
                for start in range(0, len(data) or 1, storage_constants.MAX_UNSYNCED_BYTES):
                    self.write_all(handle, data[start : start + storage_constants.MAX_UNSYNCED_BYTES])
                    self.files.fsync(handle)
            finally:
                self.files.close(handle)
            self.files.rename(temporary, name)
            self.files.sync_directory()
        self.failed_names.discard(name)

    def remove(self, names):
        """Removes files; returns once a power loss cannot bring them back."""
        for name in names:
            self.close(name)
            with convert_os_errors("remove", name):
                self.files.remove(name)
        if names:
            self.sync_directory()

    def temporary_names(self, prefix):
        """The names of temporary files with this prefix, left by interrupted calls of `put`."""
        with convert_os_errors("list", "the folder"):
            names = self.files.names()
        return [name for name in names if name.startswith(prefix) and name.endswith(TEMPORARY_SUFFIX)]

    def sync_directory(self):
        """Returns once all files created, renamed or removed so far remain so after a power loss."""
        with convert_os_errors("sync", "the folder"):
            self.files.sync_directory()

    def write_all(self, handle, data):
        """Writes all of the data, in several calls if the system accepts only a part."""
        while data:
            data = data[self.files.write(handle, data) :]

    def check_usable(self, name):
        """Raises DiskError if an earlier write or sync of the file failed."""
        if name in self.failed_names:
            raise DiskError(f"cannot write {name}: an earlier write or sync failed")

    def close(self, name):
        """Closes the open handle of a file, if there is one."""
        if name in self.handles:
            with convert_os_errors("close", name):
                self.files.close(self.handles.pop(name))
