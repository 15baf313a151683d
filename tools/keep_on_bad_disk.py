"""Runs mothshed-keep on a disk that can be made slow, stalled, full or failing.

python -m tools.keep_on_bad_disk --settings keep.json      (for tests; the daemon itself has no such switch)

The file DATA.faults beside the data folder holds JSON: delay (s for each sync),
full, sync_fails. It is read before each call; without it the disk works normally.
"""

import errno
import json
import pathlib
import time

import mothshed.programs.keep as keep
import mothshed.storage.disk as disk_module
import mothshed.storage.folder as folder_module


class FaultyFolder(folder_module.Folder):
    """A folder whose writes and syncs fail as the faults file says."""

    def read_fault(self, name, default):
        """Return one value of the faults file."""
        try:
            return json.loads(pathlib.Path(f"{self.path}.faults").read_text()).get(name, default)
        except (OSError, ValueError):
            return default

    def check_space(self):
        """Raise OSError while the disk is simulated to be full."""
        if self.read_fault("full", False):
            raise OSError(errno.ENOSPC, "no space left on device")

    def before_sync(self):
        """Delay or fail a sync as the faults file says."""
        time.sleep(self.read_fault("delay", 0.0))
        if self.read_fault("sync_fails", False):
            raise OSError(errno.EIO, "sync fails")

    def create(self, name):
        """Like Folder, but fails while the disk is full."""
        self.check_space()
        return super().create(name)

    def write(self, handle, data):
        """Like Folder, but fails while the disk is full."""
        self.check_space()
        return super().write(handle, data)

    def fsync(self, handle):
        """Like Folder, but may be slow or fail."""
        self.before_sync()
        super().fsync(handle)

    def sync_directory(self):
        """Like Folder, but may be slow or fail."""
        self.before_sync()
        super().sync_directory()


class FaultyDisk(disk_module.Disk):
    """The product's Disk over a FaultyFolder."""

    def __init__(self, path):
        super().__init__(path, FaultyFolder)


if __name__ == "__main__":
    disk_module.Disk = FaultyDisk
    keep.main()
