"""Streams that stand still for longer than their route allows are counted, by where they did."""

import types

import pytest

import mothshed.data_plane.pauses as pauses
import mothshed.data_plane.place_wait as place_wait

Cause = pauses.Cause


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def watched(longest_s, *spans):
    """The causes found after blocks of these (cause, seconds)."""
    clock = Clock()
    found = pauses.Pauses(clock, longest_s)
    for cause, seconds in spans:
        with found.watch(cause):
            clock.now += seconds
    return found.found


def test_only_pauses_past_the_routes_bound_are_found():
    assert watched(0.15, (Cause.REPLICA, 0.14), (Cause.CALLER, 0.1)) == set()
    assert watched(0.15, (Cause.REPLICA, 0.16), (Cause.CALLER, 0.1)) == {Cause.REPLICA}
    assert watched(0.15, (Cause.REPLICA, 0.1), (Cause.CALLER, 0.2)) == {Cause.CALLER}


def test_a_route_without_a_bound_has_no_late_pauses():
    assert watched(None, (Cause.REPLICA, 60.0)) == set()


def test_a_pause_that_ends_in_a_failure_counts():
    clock = Clock()
    found = pauses.Pauses(clock, 0.15)
    with pytest.raises(OSError, match="broke"), found.watch(Cause.REPLICA):
        clock.now += 1.2
        raise OSError("broke")
    assert found.found == {Cause.REPLICA}


def test_each_cause_counts_once_for_a_request():
    events = []
    way = place_wait.PlaceWait()
    way.pauses = types.SimpleNamespace(found=watched(0.15, (Cause.REPLICA, 0.3), (Cause.REPLICA, 0.4)))
    way.ask = types.SimpleNamespace(id="r1")
    way.router = types.SimpleNamespace(
        journal=types.SimpleNamespace(add=lambda *kind, **row: events.append((kind, row)))
    )
    way.note_pauses()
    assert events == [(("late",), {"outcome": "pause_replica", "request": "r1"})]
