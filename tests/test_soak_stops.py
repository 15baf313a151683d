"""A short soak of stops, through real processes; and the checks of its judge."""

import collections
import types

import pytest

import tests.soak_stops as soak_stops
import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet
import tests.stop_judge as stop_judge
import tests.stop_replicas as stop_replicas

SHORT_GRACE_S = 5.0


@pytest.mark.parametrize("seed", [101, 102])
def test_no_request_is_lost_and_no_process_has_to_be_killed(seed):
    verdict, fleet = soak_stops.run(seed, SHORT_GRACE_S, callers=8, rounds=2)
    assert verdict.violations == {}
    assert len(fleet.stops) >= 2 and verdict.outcomes["complete"] > 10
    assert all("Traceback" not in node.log_text for node in (*fleet.routers, *fleet.keepers))


STOP = stop_fleet.Stop("r", 8.0, [("SIGHUP", 99.0), ("SIGTERM", 100.0)], 107.0, 1, False)


def judged(runs=1, stop=STOP, worked_until=107.0, requests=True, **attempt):
    """Judge one request to a router that was stopped at 100 s; return the violations."""
    replica = types.SimpleNamespace(
        requests=[types.SimpleNamespace(get=lambda name: "t")] if requests else [],
        work=[stop_replicas.Work("t", worked_until, False)] if runs else [],
    )
    platform = types.SimpleNamespace(runs=[{"id": "t"}] * runs)
    fleet = types.SimpleNamespace(stops=[stop], platform=platform, replicas=[replica])
    row = stop_callers.Attempt("t", "r", 70, **{"sent_at": 100.5, "status": 200, "ended_at": 107.0, **attempt})
    return stop_judge.Judge(fleet).judge([row])


LOST = "LOST: passed on and cut"


@pytest.mark.parametrize(
    "expected, facts",
    [
        ([], {"is_complete": True}),
        ([], {}),  # sent in time, and cut in the last sixth
        ([LOST], {"sent_at": 103.1}),
        ([LOST], {"worked_until": 106.6, "ended_at": 106.6}),
        ([LOST], {"status": 0, "worked_until": 101.0, "ended_at": 101.0}),
        ([], {"sent_at": 80.0, "ended_at": 100.5}),  # at its deadline
        (["LOST: read and not answered"], {"runs": 0, "requests": False, "status": 0}),
        ([], {"runs": 0, "requests": False, "status": 0, "was_reset": True}),
        ([], {"runs": 0, "requests": False, "status": 0, "ended_at": 100.6}),
        ([], {"runs": 0, "requests": False, "status": 503, "is_complete": True}),
        (["REFUSED: refused, yet it ran"], {"status": 503, "is_complete": True}),
    ],
)
def test_the_judge_reports_what_breaks_the_rule(expected, facts):
    assert sorted(judged(**facts).violations) == expected


def test_the_judge_reports_a_process_that_had_to_be_killed():
    killed = stop_fleet.Stop("r", 8.0, STOP.signals, 108.0, -9, True)
    verdict = judged(stop=killed, is_complete=True)
    assert sorted(verdict.violations) == ["a process did not end by itself"]
    assert verdict.outcomes == collections.Counter(complete=1)
