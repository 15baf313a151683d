"""The first start of a system, remembered by each keeper until its groups stand.

Groups are bootstrapped only by the keepers that start the system together, with empty disks. A keeper is told once that
it is one of them; if it is killed before its groups stand, it is not told again. So it records the addresses of all
of them before it says anything to another keeper. The record is on the same disk as its logs: a keeper whose disk was
lost has none, and takes no part in the bootstrap of a second group.
"""

import json
import threading
import typing

import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module

FILE_NAME = "first-start"


class FirstStart:
    """The keepers that bootstrap the groups together.

    disk: storage.disk.Disk. configured_addresses: those of the settings; empty unless this is the first start.
    Raises DiskError if they can't be recorded.
    """

    def __init__(self, disk: typing.Any, configured_addresses: list[str]) -> None:
        self.disk = disk
        self.lock = threading.Lock()
        recorded = disk.read(FILE_NAME)
        self.is_recorded = bool(recorded)
        self.addresses = configured_addresses or (json.loads(recorded) if recorded else [])
        if configured_addresses and configured_addresses != (json.loads(recorded) if recorded else []):
            disk.put(FILE_NAME, json.dumps(configured_addresses).encode())
            self.is_recorded = True

    def forget(self) -> None:
        """Remove the record, as all groups of this keeper stand; repeatable. A record that stays does no harm."""
        with self.lock:
            if not self.is_recorded:
                return
            try:
                self.disk.remove([FILE_NAME])
                self.is_recorded = False
            except disk_module.DiskError as error:
                log_buffer.failure("first_start_not_forgotten", error)
