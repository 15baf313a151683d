"""With any protection of a part's log removed, the same script must show a loss."""

import errno

import pytest

import mothshed.storage.disk as disk_module
import mothshed.storage.disk_log as disk_log
import mothshed.storage.log_format as log_format
import tests.log_crashes as log_crashes
import tools.simulator.volatile_folder as volatile_folder


def put_without_file_sync(self, name, data):
    """Disk.put without the sync of the new file."""
    handle = self.files.create(name + disk_module.TEMPORARY_SUFFIX)
    self.write_all(handle, data)
    self.files.rename(name + disk_module.TEMPORARY_SUFFIX, name)
    self.files.sync_directory()


def put_without_directory_sync(self, name, data):
    """Disk.put without the sync of the directory."""
    self.close(name)
    handle = self.files.create(name + disk_module.TEMPORARY_SUFFIX)
    self.write_all(handle, data)
    self.files.fsync(handle)
    self.files.rename(name + disk_module.TEMPORARY_SUFFIX, name)


def put_in_place(self, name, data):
    """Disk.put without a temporary file."""
    handle = self.files.create(name)
    self.write_all(handle, data)
    self.files.fsync(handle)
    self.files.sync_directory()


def put_frame_per_entry(self, entries):
    """PartLog.put with one frame per entry, all synced together."""
    rows = [log_format.encode(entry) for entry in entries]
    if not self.segment:
        self.begin_segment(rows[:1])
        rows = rows[1:]
    if rows:
        self.disk.append(self.segment_name(self.segment), b"".join(log_format.frame([row]) for row in rows))
        self.disk.sync(self.segment_name(self.segment))
    for entry in entries:
        self.store_entry(entry, 1)


def put_snapshot_removing_first(self, snapshot, keep, put_snapshot=disk_log.PartLog.put_snapshot):
    """PartLog.put_snapshot that removes old files before it writes."""
    self.disk.remove([name for name in self.disk.names()])
    put_snapshot(self, snapshot, keep)


PROTECTIONS = {
    "a new file is synced before it is renamed": (disk_module.Disk, {"put": put_without_file_sync}),
    "the folder is synced after a rename": (disk_module.Disk, {"put": put_without_directory_sync}),
    "a file is replaced by a rename": (disk_module.Disk, {"put": put_in_place}),
    "an append is synced": (disk_module.Disk, {"sync": lambda self, name: None}),
    "names are synced at opening": (disk_module.Disk, {"sync_directory": lambda self: None}),
    "the entries of one put are one frame": (disk_log.PartLog, {"put": put_frame_per_entry}),
    "old files are removed last": (disk_log.PartLog, {"put_snapshot": put_snapshot_removing_first}),
}


@pytest.mark.parametrize("name", PROTECTIONS)
def test_without_the_protection_a_power_loss_breaks_the_log(name, monkeypatch):
    target, changes = PROTECTIONS[name]
    states = log_crashes.states_during(log_crashes.SCRIPT)
    for attribute, value in changes.items():
        monkeypatch.setattr(target, attribute, value)
    with pytest.raises((AssertionError, disk_module.DiskCorruptionError)):
        for interruption in log_crashes.interruptions(log_crashes.SCRIPT, states=states):
            log_crashes.check_interruption(interruption)


def test_without_a_new_file_at_opening_data_of_a_failed_sync_is_trusted(monkeypatch):
    monkeypatch.setattr(disk_log.PartLog, "read_segment", log_crashes.read_segment_in_place)
    with pytest.raises((AssertionError, disk_module.DiskCorruptionError)):
        for interruption in log_crashes.interruptions(log_crashes.SCRIPT, lambda: OSError(errno.EIO, "refused")):
            log_crashes.check_interruption(interruption)


def test_without_refusing_writes_after_an_error_a_later_write_is_lost(monkeypatch):
    """A full disk leaves a partial frame, after which the next acknowledged frame is written."""
    folder = volatile_folder.VolatileFolder()
    log = log_crashes.open_log(folder)
    log.put([log_crashes.entry(1)])
    folder.room = 20
    with pytest.raises(disk_module.DiskError):
        log.put([log_crashes.entry(2)])
    folder.room, log.failed = None, False
    log.disk.failed_names.clear()
    log.put([log_crashes.entry(2)])
    with pytest.raises(disk_module.DiskCorruptionError):
        log_crashes.open_log(folder)
