"""mothshed-keep on a disk that can be made slow, stalled, full or failing.

python -m tools.keep_on_bad_disk --settings keep.json      (for tests; the daemon itself has no such switch)

The file DATA.faults beside the data folder holds JSON: delay (s for each sync),
full, sync_fails. It is read before each call; without it the disk is a plain one.
"""

import errno
import json
import pathlib
import time

import mothshed.programs.keep as keep
import mothshed.storage.disk as disk_module
import mothshed.storage.folder as folder_module


class BadFolder(folder_module.Folder):
    """A folder whose writes and syncs fail as the faults file says."""

    def fault(self, name, usual):
        """One row of the faults file."""
        try:
            return json.loads(pathlib.Path(f"{self.path}.faults").read_text()).get(name, usual)
        except (OSError, ValueError):
            return usual

    def check_room(self):
        """Raises OSError while the disk is to be full."""
        if self.fault("full", False):
            raise OSError(errno.ENOSPC, "no space left on device")

    def before_sync(self):
        """Waits and fails as each sync is to do."""
        time.sleep(self.fault("delay", 0.0))
        if self.fault("sync_fails", False):
            raise OSError(errno.EIO, "sync fails")

    def create(self, name):
        """As in Folder, unless full."""
        self.check_room()
        return super().create(name)

    def write(self, handle, data):
        """As in Folder, unless full."""
        self.check_room()
        return super().write(handle, data)

    def fsync(self, handle):
        """As in Folder, slowed or failing."""
        self.before_sync()
        super().fsync(handle)

    def sync_directory(self):
        """As in Folder, slowed or failing."""
        self.before_sync()
        super().sync_directory()


class BadDisk(disk_module.Disk):
    """The product's Disk over a BadFolder."""

    def __init__(self, path):
        super().__init__(path, BadFolder)


if __name__ == "__main__":
    disk_module.Disk = BadDisk
    keep.main()
