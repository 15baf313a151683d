"""What a lagging follower is sent: windows, resending only what was lost, snapshots in pieces."""

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


def test_an_echo_of_a_later_round_shows_what_was_lost():
    progress = make_progress()
    progress.record_sent(1, 4, 10)
    progress.record_accepted(0, 2)  # the empty append of round 2 came, the entries of round 1 did not
    assert progress.next_index == 1 and not progress.in_flight


def test_an_echo_of_an_earlier_round_says_nothing_of_what_is_under_way():
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


def transfer(state, lose=lambda turn: False, spoil=lambda fields: fields):
    """Carries a snapshot over a link that loses some pieces and answers; (snapshot, pieces sent)."""
    sender = snapshot_transfer.SnapshotTransfer(
        snapshot_transfer.EncodedSnapshot({"index": 7, "term": 2, "state": state})
    )
    receiver, now = snapshot_transfer.SnapshotAssembler(), 0.0
    for turn in range(1, 2000):
        now += 0.1
        if not sender.chunk_due(now):
            continue
        fields = spoil(sender.next_chunk(now))
        if lose(2 * turn):
            continue
        found = receiver.add_chunk(fields)
        if found is not None:
            return found, turn
        if not lose(2 * turn + 1):
            sender.acknowledged(7, receiver.received_chars)
    raise AssertionError("the snapshot never came")


def test_a_snapshot_comes_whole_over_a_link_that_loses_pieces_and_answers(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 50)
    state = {"rows": list(range(300)), "text": "é" * 40}
    chance = random.Random(3)
    found, _ = transfer(state, lose=lambda turn: chance.random() < 0.4)
    assert found["state"] == state


def test_a_piece_that_was_spoilt_on_its_way_is_not_installed(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 50)
    state, spoilt = {"rows": list(range(100))}, []

    def spoil(fields):
        if fields["offset"] == 100 and not spoilt:
            spoilt.append(True)
            return {**fields, "piece": "9" * len(fields["piece"])}
        return fields

    found, _ = transfer(state, spoil=spoil)
    assert found["state"] == state and spoilt


def test_pieces_of_two_snapshots_are_never_joined(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 50)
    older = snapshot_transfer.EncodedSnapshot({"index": 7, "term": 2, "state": list(range(100))})
    newer = snapshot_transfer.EncodedSnapshot({"index": 9, "term": 2, "state": list(range(100, 200))})
    first, second, receiver = (
        *map(snapshot_transfer.SnapshotTransfer, (older, newer)),
        snapshot_transfer.SnapshotAssembler(),
    )
    assert receiver.add_chunk(first.next_chunk(0.0)) is None
    first.acknowledged(7, receiver.received_chars)
    assert receiver.add_chunk(second.next_chunk(0.0)) is None  # the newer one begins at its own first piece
    assert (
        receiver.add_chunk(first.next_chunk(1.0)) is None and receiver.received_chars == 0
    )  # the older one must begin anew
    found = None
    while found is None:
        second.acknowledged(9, receiver.received_chars)
        found = receiver.add_chunk(second.next_chunk(2.0))
    assert found == json.loads(newer.text)


def test_a_large_snapshot_is_under_way_in_one_piece_at_a_time(monkeypatch):
    monkeypatch.setattr(constants, "SNAPSHOT_INTERVAL_ENTRIES", 8)
    monkeypatch.setattr(constants, "MAX_RETAINED_LOG_ENTRIES", 1)
    monkeypatch.setattr(constants, "SNAPSHOT_CHUNK_CHARS", 64)
    group = group_model.Group(3, 1)
    group.rest()
    leader = next(name for name, seat in group.seats.items() if seat.is_leader)
    away = next(name for name in group.seats if name != leader)
    group.crash(away)
    for _ in range(40):
        group.propose(leader)
        group.pool.time += constants.MIN_ROUND_INTERVAL_S
        while group.pool.waiting:
            group.pool.deliver(0)
    group.boot(away)
    most = 0
    for _ in range(60):
        group.pool.time += group_model.STEP
        group.tick(leader)
        most = max(most, sum(kind == "snap" for _, _, kind, _ in group.pool.waiting))
        while group.pool.waiting:
            group.pool.deliver(0)
            most = max(most, sum(kind == "snap" for _, _, kind, _ in group.pool.waiting))
    assert most == 1
    assert group.seats[away].machine.rows == group.seats[leader].machine.rows
    assert not group.seats[leader].active_transfers() and group.seats[leader].encoded_snapshot is None


def test_what_is_kept_and_sent_is_level_in_the_number_of_changes():
    few, many = changes.one(100), changes.one(400)
    assert many.sent_to_catch_up < 2 * few.sent_to_catch_up + constants.SNAPSHOT_CHUNK_CHARS
    assert many.entries <= constants.SNAPSHOT_INTERVAL_ENTRIES + constants.MAX_RETAINED_LOG_ENTRIES
    assert many.log < 2 * few.log + constants.MAX_RETAINED_LOG_BYTES
    assert many.sent_while_away < 5 * few.sent_while_away  # a change costs the same, however many there were
    assert max(few.caught_up, many.caught_up) < 1.0
