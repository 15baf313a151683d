"""The log on a real disk: torn tails are cut off, damage elsewhere is not passed over."""

import types

import pytest

import mothshed.common.constants as constants
import mothshed.common.disk as disk
import mothshed.common.disk_log as disk_log
import mothshed.control_plane.keeper as keeper
import mothshed.control_plane.member as member
import tests.all_orders as all_orders


def entry(index, term=1, text="x"):
    return {"i": index, "t": term, "c": {"op": "note", "text": text * 20}}


def log(folder):
    return disk_log.PartLog(disk.Disk(folder), 1)


def last_segment(folder):
    return sorted(folder.glob("part-1-seg-*"))[-1]


def test_every_torn_length_of_the_last_row_is_cut_off(tmp_path):
    one = log(tmp_path)
    one.put_term(3, "a/1")
    one.put([entry(1), entry(2)])
    whole = last_segment(tmp_path).read_bytes()
    size = len(disk_log.row(entry(2)))
    for cut in [1, 2, 7, 8, 9, size // 2, size - 8, size - 7, size - 1]:
        last_segment(tmp_path).write_bytes(whole[:-cut])
        two = log(tmp_path)
        assert (two.last, two.term, two.vote) == (1, 3, "a/1")
        two.put([entry(2)])
        assert log(tmp_path).last == 2
        last_segment(tmp_path).write_bytes(whole)


def test_damage_before_a_whole_row_is_never_taken_for_a_torn_tail(tmp_path):
    one = log(tmp_path)
    one.put([entry(1), entry(2), entry(3)])
    whole = last_segment(tmp_path).read_bytes()
    first = len(disk_log.row(entry(1)))
    for at in (0, 5, 9, first, first + 3, first + 12):
        last_segment(tmp_path).write_bytes(whole[:at] + bytes([whole[at] ^ 0xFF]) + whole[at + 1 :])
        with pytest.raises(disk.DiskFault):
            log(tmp_path)
    torn = whole[: first + 11] + whole[first + 20 :]  # a half-written row, then later ones
    last_segment(tmp_path).write_bytes(torn)
    with pytest.raises(disk.DiskFault):
        log(tmp_path)


def test_snapshot_and_segments_give_back_the_same(tmp_path, monkeypatch):
    monkeypatch.setattr(constants, "SEGMENT_BYTES", 300)
    one = log(tmp_path)
    for n in range(1, 20):
        one.put([entry(n)])
    one.put([entry(15, term=2, text="y")])  # an overwritten tail
    one.put_snap({"index": 12, "term": 1, "members": {"a": {}}, "state": [1]}, 10)
    one.put([entry(16, term=2)])
    two = log(tmp_path)
    assert (two.base, two.last, two.term_at(15), two.snap["state"]) == (10, 16, 2, [1])
    assert [e["i"] for e in two.entries] == list(range(11, 17))
    assert len(list(tmp_path.glob("part-1-snap-*"))) == 1


def test_a_crash_between_snapshot_and_new_segment_loses_nothing(tmp_path, monkeypatch):
    one = log(tmp_path)
    one.put([entry(n) for n in range(1, 9)])

    def crash(bodies):
        raise disk.DiskFault("crashed here")

    monkeypatch.setattr(one, "write", crash)
    with pytest.raises(disk.DiskFault):
        one.put_snap({"index": 6, "term": 1, "members": {}, "state": []}, 4)
    two = log(tmp_path)
    assert two.last == 8 and two.snap["index"] == 6 and [e["i"] for e in two.entries] == [7, 8]


def test_a_folder_that_cannot_be_written_is_a_fault(tmp_path):
    blocked = tmp_path / "file"
    blocked.write_text("not a folder")
    with pytest.raises(disk.DiskFault):
        disk.Disk(blocked)


def test_a_keeper_whose_disk_failed_starts_anew_once_when_it_takes_writes_again():
    full, log = [True] * 3, []

    def put(name, data):
        if full and full.pop():
            raise disk.DiskFault("no space")

    desk = types.SimpleNamespace(pause=lambda span: log.append("pause"), spawn=lambda call: log.append(call))
    stub = types.SimpleNamespace(
        waiting=False, desk=desk, disk=types.SimpleNamespace(put=put), ended=lambda: log.append("ended")
    )
    stub.wait_for_disk = lambda: keeper.Keeper.wait_for_disk(stub)
    keeper.Keeper.disk_failed(stub)
    keeper.Keeper.disk_failed(stub)  # a second member on the same disk
    assert len(log) == 1
    log.pop()()
    assert log == ["pause"] * 4 + ["ended"]


def test_a_member_that_cannot_write_stops_and_says_so_once():
    told, pool = [], all_orders.Pool()
    seat = member.Member(
        all_orders.HandDesk(pool, "a:1"), all_orders.disk(), 0, "A/1", "", ["a:1"], types.SimpleNamespace(apply=None)
    )
    seat.failed = lambda: told.append(seat.chart.state)

    def fail(*rest):
        raise disk.DiskFault("no space")

    for _ in range(2):
        seat.guard(fail)()
    assert told == ["stopped"]
