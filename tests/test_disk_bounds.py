"""The disk space and open handles of a part's log are bounded, however long it runs."""

import mothshed.constants as constants
import mothshed.storage.disk as disk
import mothshed.storage.disk_log as disk_log
import tests.log_crashes as log_crashes
import tools.simulator.volatile_folder as volatile_folder


def entry(index, term=1):
    return log_crashes.entry(index, term, "x" * 20)


def log(folder):
    return disk_log.PartLog(disk.Disk(folder), 1)


def test_entries_retained_below_a_snapshot_are_bounded_in_bytes(tmp_path, monkeypatch):
    one = log(tmp_path)
    one.put([entry(n) for n in range(1, 11)])
    size = one.entry_bytes(2)
    assert one.bytes_from(1) == sum(one.entry_bytes(n) for n in range(1, 11))
    monkeypatch.setattr(constants, "MAX_RETAINED_LOG_BYTES", 3 * size)
    one.put_snapshot({"index": 8, "term": 1, "members": {}, "state": []}, 2)
    for each in (one, log(tmp_path)):
        assert [e["i"] for e in each.entries] == [6, 7, 8, 9, 10]
        assert each.bytes_from(9) == each.entry_bytes(9) + each.entry_bytes(10)
        assert each.entry_bytes(8) == size


def test_bytes_since_the_snapshot_equal_the_size_of_the_segments(tmp_path, monkeypatch):
    monkeypatch.setattr(constants, "LOG_SEGMENT_BYTES", 300)
    one = log(tmp_path)
    for n in range(1, 9):
        one.put([entry(n)])
    one.put_snapshot({"index": 8, "term": 1, "members": {}, "state": []}, 8)
    assert one.bytes_since_snapshot == 0
    for n in range(9, 20):
        one.put([entry(n)])
    size = sum(len(path.read_bytes()) for path in tmp_path.glob("part-1-seg-*"))
    assert one.bytes_since_snapshot == log(tmp_path).bytes_since_snapshot == size > 900


def test_only_the_last_segment_stays_open(tmp_path, monkeypatch):
    monkeypatch.setattr(constants, "LOG_SEGMENT_BYTES", 100)
    one = log(tmp_path)
    for n in range(1, 30):
        one.put([entry(n)])
        one.put_term(n, "a/1")
    assert one.segment > 10 and len(one.disk.handles) <= 1


def test_bytes_on_disk_do_not_grow_over_thousands_of_entries(monkeypatch):
    """Measures the size at every call, including while the old and the new generation both exist."""
    monkeypatch.setattr(constants, "SNAPSHOT_INTERVAL_BYTES", 20000)
    monkeypatch.setattr(constants, "MAX_RETAINED_LOG_BYTES", 5000)
    monkeypatch.setattr(constants, "LOG_SEGMENT_BYTES", 4000)
    folder = volatile_folder.VolatileFolder()
    peaks = [0]

    def count(step, name):
        peaks[-1] = max(peaks[-1], sum(len(folder.read(name)) for name in folder.names()))

    folder.before_step = count
    part = log_crashes.open_log(folder)
    for n in range(1, 4001):
        if n % 400 == 0:
            part = log_crashes.open_log(folder)
            peaks.append(0)
        part.put([entry(n)])
        if part.bytes_since_snapshot > constants.SNAPSHOT_INTERVAL_BYTES:
            part.put_snapshot(log_crashes.snapshot(n), part.base)
    snapshot_file = constants.MAX_RETAINED_LOG_BYTES + 1000
    most = 2 * snapshot_file + constants.SNAPSHOT_INTERVAL_BYTES + constants.LOG_SEGMENT_BYTES
    assert max(peaks) < most and max(peaks[1:-1]) < 1.05 * min(peaks[1:-1])
