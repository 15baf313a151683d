"""Replication to a lagging follower: the window, resending of lost entries, and snapshots in chunks."""

import json
import random

import mothshed.constants as constants
import mothshed.control_plane.progress as progress_module
import mothshed.control_plane.snapshot_transfer as snapshot_transfer
import tests.group_model as group_model
import tools.changes as changes


def make_progress(next_index=1):
    return progress_module.Progress(next_index, 0.0)


def test_the_window_fills_and_an_acknowledgement_opens_it():
    progress = make_progress()
    progress.record_sent(1, 4, constants.REPLICATION_WINDOW_BYTES - 10)
    progress.record_sent(2, 6, 10)
    assert progress.available_window_bytes() == 0 and progress.next_index == 7
    progress.record_accepted(4, 1)
    assert progress.available_window_bytes() == constants.REPLICATION_WINDOW_BYTES - 10 and (
        progress.match_index,
        progress.next_index,
    ) == (4, 7)


def test_an_echo_of_a_later_round_marks_unacknowledged_entries_as_lost():
    progress = make_progress()
    progress.record_sent(1, 4, 10)
    progress.record_accepted(0, 2)  # the empty append of round 2 arrived, the entries of round 1 did not
    assert progress.next_index == 1 and not progress.in_flight


def test_an_echo_of_an_earlier_round_does_not_affect_entries_in_flight():
    progress = make_progress()
    progress.record_sent(3, 4, 10)
    progress.record_accepted(0, 2)
    assert progress.next_index == 5 and len(progress.in_flight) == 1


def test_only_the_first_of_several_rejections_starts_over():
    progress = make_progress(9)
    for round_number in (4, 5, 6):
        progress.record_sent(round_number, 8 + round_number, 10)
    progress.record_rejected(2, 4, newest_round=6)
    assert progress.next_index == 3
    progress.record_sent(7, 14, 10)
    progress.record_rejected(2, 5, newest_round=7)
    progress.record_rejected(2, 6, newest_round=7)
    assert progress.next_index == 15
    progress.record_rejected(2, 7, newest_round=7)
    assert progress.next_index == 3


def transfer(state, lose=lambda turn: False, corrupt=lambda fields: fields):
    """Transfers a snapshot over a link that loses some chunks and responses; returns (snapshot, attempts)."""
    sender = snapshot_transfer.SnapshotTransfer(
        snapshot_transfer.EncodedSnapshot({"index": 7, "term": 2, "state": state})
    )
    receiver, now = snapshot_transfer.SnapshotAssembler(), 0.0
    for turn in range(1, 2000):
        now += 0.1
        if not sender.chunk_due(now):
            continue
        fields = corrupt(sender.next_chunk(now))
        if lose(2 * turn):
            continue
        snapshot = receiver.add_chunk(fields)
        if snapshot is not None:
            return snapshot, turn
        if not lose(2 * turn + 1):
            sender.acknowledged(7, receiver.received_chars)
    raise AssertionError("the snapshot was never completed")


def test_a_snapshot_is_completed_over_a_link_that_loses_chunks_and_responses(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 50)
    state = {"rows": list(range(300)), "text": "é" * 40}
    chance = random.Random(3)
    snapshot, _ = transfer(state, lose=lambda turn: chance.random() < 0.4)
    assert snapshot["state"] == state


def test_a_corrupted_chunk_is_not_installed(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 50)
    state, corrupted = {"rows": list(range(100))}, []

    def corrupt(fields):
        if fields["offset"] == 100 and not corrupted:
            corrupted.append(True)
            return {**fields, "piece": "9" * len(fields["piece"])}
        return fields

    snapshot, _ = transfer(state, corrupt=corrupt)
    assert snapshot["state"] == state and corrupted


def test_chunks_of_two_snapshots_are_never_combined(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 50)
    older = snapshot_transfer.EncodedSnapshot({"index": 7, "term": 2, "state": list(range(100))})
    newer = snapshot_transfer.EncodedSnapshot({"index": 9, "term": 2, "state": list(range(100, 200))})
    first, second, receiver = (
        *map(snapshot_transfer.SnapshotTransfer, (older, newer)),
        snapshot_transfer.SnapshotAssembler(),
    )
    assert receiver.add_chunk(first.next_chunk(0.0)) is None
    first.acknowledged(7, receiver.received_chars)
    assert receiver.add_chunk(second.next_chunk(0.0)) is None  # the newer one starts with its own first chunk
    assert (
        receiver.add_chunk(first.next_chunk(1.0)) is None and receiver.received_chars == 0
    )  # the older one must start again
    snapshot = None
    while snapshot is None:
        second.acknowledged(9, receiver.received_chars)
        snapshot = receiver.add_chunk(second.next_chunk(2.0))
    assert snapshot == json.loads(newer.text)


def test_one_chunk_of_a_snapshot_is_in_flight_at_a_time(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_INTERVAL_ENTRIES", 8)
    monkeypatch.setattr(constants, "MAX_RETAINED_LOG_ENTRIES", 1)
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 64)
    group = group_model.Group(3, 1)
    group.converge()
    leader = next(name for name, member in group.members.items() if member.is_leader)
    lagging = next(name for name in group.members if name != leader)
    group.crash(lagging)
    for _ in range(40):
        group.propose(leader)
        group.pool.time += constants.MIN_ROUND_INTERVAL_S
        while group.pool.waiting:
            group.pool.deliver(0)
    group.boot(lagging)
    max_in_flight = 0
    for _ in range(60):
        group.pool.time += group_model.STEP
        group.tick(leader)
        max_in_flight = max(max_in_flight, sum(kind == "snap" for _, _, kind, _ in group.pool.waiting))
        while group.pool.waiting:
            group.pool.deliver(0)
            max_in_flight = max(max_in_flight, sum(kind == "snap" for _, _, kind, _ in group.pool.waiting))
    assert max_in_flight == 1
    assert group.members[lagging].machine.rows == group.members[leader].machine.rows
    assert not group.members[leader].active_transfers() and group.members[leader].encoded_snapshot is None


def test_storage_and_traffic_do_not_grow_with_the_number_of_changes():
    few, many = changes.measure_changes(100), changes.measure_changes(400)
    assert many.sent_to_catch_up < 2 * few.sent_to_catch_up + constants.SNAPSHOT_CHUNK_CHARS
    assert many.entries <= constants.SNAPSHOT_INTERVAL_ENTRIES + constants.MAX_RETAINED_LOG_ENTRIES
    assert many.log < 2 * few.log + constants.MAX_RETAINED_LOG_BYTES
    assert many.sent_while_away < 5 * few.sent_while_away  # the cost of a change does not depend on how many there were
    assert max(few.caught_up, many.caught_up) < 1.0
