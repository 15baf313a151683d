"""The data folder. Bytes count as kept only once `sync` or `put` has returned.

`put` replaces a whole file: written beside, synced, renamed, folder synced. Any
error of the operating system becomes a DiskFault; whoever was writing then no
longer knows what the disk holds, so it steps down instead of trying again.
"""

import os
import pathlib


class DiskFault(Exception):
    """The disk did not take or give what it was asked to."""


class Disk:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.open = {}
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
        except OSError as e:
            raise DiskFault(f"{folder}: {e}") from e

    def names(self):
        return sorted(p.name for p in self.folder.iterdir() if not p.name.endswith(".new"))

    def read(self, name):
        path = self.folder / name
        return path.read_bytes() if path.exists() else b""

    def append(self, name, data):
        try:
            if name not in self.open:
                self.open[name] = os.open(self.folder / name, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
                self.sync_folder()
            while data:
                data = data[os.write(self.open[name], data) :]
        except OSError as e:
            raise DiskFault(f"append {name}: {e}") from e

    def sync(self, name):
        try:
            os.fsync(self.open[name])
        except OSError as e:
            raise DiskFault(f"sync {name}: {e}") from e

    def put(self, name, data):
        self.close(name)
        beside = self.folder / (name + ".new")
        try:
            with open(beside, "wb") as f:
                f.write(data)
                f.flush()
                os.fsync(f.fileno())
            os.replace(beside, self.folder / name)
            self.sync_folder()
        except OSError as e:
            raise DiskFault(f"put {name}: {e}") from e

    def sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self, name):
        if name in self.open:
            os.close(self.open.pop(name))

    def remove(self, name):
        self.close(name)
        try:
            (self.folder / name).unlink(missing_ok=True)
        except OSError as e:
            raise DiskFault(f"remove {name}: {e}") from e
