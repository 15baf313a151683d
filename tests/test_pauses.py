"""Streams that pause for longer than their route allows are counted by the cause of the pause."""

import types

import pytest

import mothshed.data_plane.pauses as pauses
import mothshed.data_plane.placement_wait as placement_wait

PauseCause = pauses.PauseCause


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def long_pause_causes(limit_s, *spans):
    """The causes recorded after blocks of these (cause, seconds)."""
    clock = Clock()
    monitor = pauses.PauseMonitor(clock, limit_s)
    for cause, seconds in spans:
        with monitor.watch(cause):
            clock.now += seconds
    return monitor.causes


def test_only_pauses_longer_than_the_limit_of_the_route_are_recorded():
    assert long_pause_causes(0.15, (PauseCause.REPLICA, 0.14), (PauseCause.CALLER, 0.1)) == set()
    assert long_pause_causes(0.15, (PauseCause.REPLICA, 0.16), (PauseCause.CALLER, 0.1)) == {PauseCause.REPLICA}
    assert long_pause_causes(0.15, (PauseCause.REPLICA, 0.1), (PauseCause.CALLER, 0.2)) == {PauseCause.CALLER}


def test_a_route_without_a_limit_has_no_long_pauses():
    assert long_pause_causes(None, (PauseCause.REPLICA, 60.0)) == set()


def test_a_pause_that_ends_in_an_error_counts():
    clock = Clock()
    monitor = pauses.PauseMonitor(clock, 0.15)
    with pytest.raises(OSError, match="broke"), monitor.watch(PauseCause.REPLICA):
        clock.now += 1.2
        raise OSError("broke")
    assert monitor.causes == {PauseCause.REPLICA}


def test_each_cause_is_counted_once_per_request():
    rows = []
    delivery = placement_wait.PlacementWait()
    delivery.pauses = types.SimpleNamespace(
        causes=long_pause_causes(0.15, (PauseCause.REPLICA, 0.3), (PauseCause.REPLICA, 0.4))
    )
    delivery.request = types.SimpleNamespace(id="r1")
    delivery.router = types.SimpleNamespace(
        journal=types.SimpleNamespace(add=lambda *kind, **fields: rows.append((kind, fields)))
    )
    delivery.record_long_pauses()
    assert rows == [(("late",), {"outcome": "pause_replica", "request": "r1"})]
