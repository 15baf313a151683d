"""Streams that stand still for longer than their route allows are counted, by where they did."""

import types

import pytest

import mothshed.data_plane.pauses as pauses
import mothshed.data_plane.placement_wait as placement_wait

PauseCause = pauses.PauseCause


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def watched(limit_s, *spans):
    """The causes found after blocks of these (cause, seconds)."""
    clock = Clock()
    monitor = pauses.PauseMonitor(clock, limit_s)
    for cause, seconds in spans:
        with monitor.watch(cause):
            clock.now += seconds
    return monitor.causes


def test_only_pauses_past_the_routes_bound_are_found():
    assert watched(0.15, (PauseCause.REPLICA, 0.14), (PauseCause.CALLER, 0.1)) == set()
    assert watched(0.15, (PauseCause.REPLICA, 0.16), (PauseCause.CALLER, 0.1)) == {PauseCause.REPLICA}
    assert watched(0.15, (PauseCause.REPLICA, 0.1), (PauseCause.CALLER, 0.2)) == {PauseCause.CALLER}


def test_a_route_without_a_bound_has_no_late_pauses():
    assert watched(None, (PauseCause.REPLICA, 60.0)) == set()


def test_a_pause_that_ends_in_a_failure_counts():
    clock = Clock()
    monitor = pauses.PauseMonitor(clock, 0.15)
    with pytest.raises(OSError, match="broke"), monitor.watch(PauseCause.REPLICA):
        clock.now += 1.2
        raise OSError("broke")
    assert monitor.causes == {PauseCause.REPLICA}


def test_each_cause_counts_once_for_a_request():
    events = []
    delivery = placement_wait.PlacementWait()
    delivery.pauses = types.SimpleNamespace(causes=watched(0.15, (PauseCause.REPLICA, 0.3), (PauseCause.REPLICA, 0.4)))
    delivery.request = types.SimpleNamespace(id="r1")
    delivery.router = types.SimpleNamespace(
        journal=types.SimpleNamespace(add=lambda *kind, **row: events.append((kind, row)))
    )
    delivery.record_long_pauses()
    assert events == [(("late",), {"outcome": "pause_replica", "request": "r1"})]
