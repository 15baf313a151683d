"""The log on a real disk: torn tails are truncated, damage elsewhere is reported."""

import json
import types

import pytest

import mothshed.constants as constants
import mothshed.control_plane.member as member
import mothshed.storage.disk as disk
import mothshed.storage.disk_log as disk_log
import tests.all_orders as all_orders
import tools.keep_on_bad_disk as keep_on_bad_disk


def entry(index, term=1, text="x"):
    return {"i": index, "t": term, "c": {"op": "note", "text": text * 20}}


def log(folder):
    return disk_log.PartLog(disk.Disk(folder), 1)


def last_segment(folder):
    return sorted(folder.glob("part-1-seg-*"))[-1]


def test_a_last_write_torn_at_any_byte_is_truncated(tmp_path):
    one = log(tmp_path)
    one.put_term(3, "a/1")
    one.put([entry(1)])
    before = len(last_segment(tmp_path).read_bytes())
    one.put([entry(2), entry(3)])
    content = last_segment(tmp_path).read_bytes()
    for cut in range(1, len(content) - before + 1):
        last_segment(tmp_path).write_bytes(content[:-cut])
        two = log(tmp_path)
        assert (two.last, two.term, two.vote) == (1, 3, "a/1")
        two.put([entry(2)])
        assert log(tmp_path).last == 2
        last_segment(tmp_path).write_bytes(content)
    assert log(tmp_path).last == 3


def test_damage_before_a_complete_frame_is_never_treated_as_a_torn_tail(tmp_path):
    one, ends = log(tmp_path), []
    for index in (1, 2, 3):
        one.put([entry(index)])
        ends.append(len(last_segment(tmp_path).read_bytes()))
    content = last_segment(tmp_path).read_bytes()
    for at in range(ends[1]):
        last_segment(tmp_path).write_bytes(content[:at] + bytes([content[at] ^ 0xFF]) + content[at + 1 :])
        with pytest.raises(disk.DiskCorruptionError):
            log(tmp_path)
    torn = content[: ends[0] + 11] + content[ends[0] + 20 :]  # a partly written frame, followed by a later one
    last_segment(tmp_path).write_bytes(torn)
    with pytest.raises(disk.DiskCorruptionError):
        log(tmp_path)


def test_snapshot_and_segments_are_read_back_unchanged(tmp_path, monkeypatch):
    monkeypatch.setattr(constants, "LOG_SEGMENT_BYTES", 300)
    one = log(tmp_path)
    for n in range(1, 20):
        one.put([entry(n)])
    one.put([entry(15, term=2, text="y")])  # an overwritten tail
    one.put_snapshot({"index": 12, "term": 1, "members": {"a": {}}, "state": [1]}, 10)
    one.put([entry(16, term=2)])
    two = log(tmp_path)
    assert (two.base, two.last, two.term_at(15), two.snapshot["state"]) == (10, 16, 2, [1])
    assert [e["i"] for e in two.entries] == list(range(11, 17))
    assert len(list(tmp_path.glob("part-1-snap-*"))) == 1


def test_a_snapshot_that_is_not_yet_renamed_changes_nothing(tmp_path, monkeypatch):
    one = log(tmp_path)
    one.put([entry(n) for n in range(1, 9)])

    def fail(name, new_name):
        raise OSError("rename failed")

    monkeypatch.setattr(one.disk.files, "rename", fail)
    with pytest.raises(disk.DiskError):
        one.put_snapshot({"index": 6, "term": 1, "members": {}, "state": []}, 4)
    two = log(tmp_path)
    assert two.last == 8 and two.snapshot is None and [e["i"] for e in two.entries] == list(range(1, 9))
    two.put_snapshot({"index": 6, "term": 1, "members": {}, "state": []}, 4)
    three = log(tmp_path)
    assert three.last == 8 and three.snapshot["index"] == 6 and [e["i"] for e in three.entries] == [5, 6, 7, 8]


def test_entries_that_conflict_with_the_snapshot_are_dropped(tmp_path):
    one = log(tmp_path)
    one.put([entry(n) for n in range(1, 9)])
    one.put_snapshot({"index": 6, "term": 2, "members": {}, "state": []}, 6)
    for each in (one, log(tmp_path)):
        assert (each.base, each.base_term, each.last, each.last_term) == (6, 2, 6, 2)


def test_entries_after_a_gap_and_older_snapshots_are_rejected(tmp_path):
    one = log(tmp_path)
    one.put([entry(1)])
    for entries in ([entry(3)], [entry(2), entry(4)]):
        with pytest.raises(ValueError):
            one.put(entries)
    one.put([entry(2), entry(3)])
    one.put_snapshot({"index": 3, "term": 1, "members": {}, "state": []}, 1)
    with pytest.raises(ValueError):
        one.put_snapshot({"index": 2, "term": 1, "members": {}, "state": []}, 1)
    assert (log(tmp_path).last, log(tmp_path).snapshot["index"]) == (3, 3)


def test_a_file_whose_write_failed_accepts_no_append_until_replaced(tmp_path, monkeypatch):
    one = disk.Disk(tmp_path)
    one.put("a", b"whole ")

    def fail(handle):
        raise OSError("I/O error")

    with monkeypatch.context() as patch:
        patch.setattr(one.files, "fsync", fail)
        one.append("a", b"unsure ")
        with pytest.raises(disk.DiskError):
            one.sync("a")
    for call in (lambda: one.append("a", b"later"), lambda: one.sync("a")):
        with pytest.raises(disk.DiskError):
            call()
    one.put("a", b"whole ")
    one.append("a", b"later")
    one.sync("a")
    assert one.read("a") == b"whole later"


def test_os_errors_of_reading_and_listing_become_disk_errors(tmp_path):
    one = disk.Disk(tmp_path / "data")
    (tmp_path / "data" / "folder").mkdir()
    with pytest.raises(disk.DiskError):
        one.read("folder")
    with pytest.raises(disk.DiskError):
        one.append("absent", b"x")
    (tmp_path / "data" / "folder").rmdir()
    (tmp_path / "data").rmdir()
    with pytest.raises(disk.DiskError):
        one.names()


def test_a_path_that_is_not_a_folder_is_a_disk_error(tmp_path):
    blocked = tmp_path / "file"
    blocked.write_text("not a folder")
    with pytest.raises(disk.DiskError):
        disk.Disk(blocked)


def test_a_member_that_cannot_write_stops_and_reports_it_once():
    reported_states, pool = [], all_orders.Pool()
    failing_member = member.Member(
        all_orders.ManualEnvironment(pool, "a:1"),
        all_orders.disk(),
        0,
        "A/1",
        "",
        ["a:1"],
        types.SimpleNamespace(apply=None),
    )
    failing_member.disk_fault_callback = lambda: reported_states.append(failing_member.chart.state)

    def fail(*rest):
        raise disk.DiskError("no space")

    for _ in range(2):
        failing_member.handle_disk_faults(fail)()
    assert reported_states == ["stopped"]


def test_the_faulty_disk_of_the_fleet_tests_fails_as_its_faults_file_says(tmp_path):
    one = keep_on_bad_disk.FaultyDisk(tmp_path / "data")
    faults = tmp_path / "data.faults"
    part = disk_log.PartLog(one, 1)
    part.put([entry(1)])
    for fault in ("full", "sync_fails"):
        faults.write_text(json.dumps({fault: True}))
        for call in (
            lambda part=part: part.put([entry(2)]),
            lambda: one.put("a", b"x"),
            lambda: disk_log.PartLog(one, 1),
        ):
            with pytest.raises(disk.DiskError):
                call()
        faults.unlink()
        with pytest.raises(disk.DiskError):  # the disk works again, but this log must be reopened
            part.put([entry(2)])
        part = disk_log.PartLog(one, 1)
        assert part.get(1) == entry(1)
    part.put([entry(part.last + 1)])
    assert disk_log.PartLog(one, 1).last == part.last
