"""Signals in any order, twice, and while a daemon starts: a stop that has begun is gone through to its end."""

import json
import time

import pytest

import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet
import tests.stop_judge as stop_judge
import tests.stop_replicas as stop_replicas

SERIES = [
    [(0.0, "SIGTERM"), (0.4, "SIGTERM")],
    [(0.0, "SIGTERM"), (0.0, "SIGTERM"), (0.0, "SIGTERM")],
    [(0.0, "SIGTERM"), (0.4, "SIGINT"), (0.5, "SIGINT")],
    [(0.0, "SIGINT"), (0.4, "SIGTERM"), (3.2, "SIGTERM")],
    [(0.0, "SIGHUP"), (0.0, "SIGTERM"), (0.4, "SIGHUP"), (0.4, "SIGTERM")],
]
STREAM_EVENTS = 50  # 3 s, longer than any of these series but shorter than the drain


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    made = stop_fleet.Fleet(tmp_path_factory.mktemp("fleet"), 3, 1, 8.0, stop_fleet.ROOT)
    try:
        made.start()
        yield made
    finally:
        made.close()


def serving(fleet, node):
    """Return a node whose process serves, started anew if it has ended."""
    if node.process.poll() is not None:
        fleet.launch(node)
    is_router = node.role == "route"
    stop_fleet.platform_site.wait_until(
        lambda: fleet.is_ready(node) if is_router else fleet.status(node, "signal_box", "GET", "/configuration"),
        stop_fleet.START_TIMEOUT_S,
    )
    return node


def send_through(fleet, node, series):
    """Send streams to a router while signals reach it; return its stop, and all requests."""
    fleet.stops.clear()
    callers = [
        stop_callers.Caller(node, fleet.gates["counter"], f"{n}", (STREAM_EVENTS,)) for n in range(stop_callers.CALLERS)
    ]
    for caller in callers:
        caller.start()
    stop_fleet.platform_site.wait_until(lambda: all(caller.attempts for caller in callers))
    time.sleep(10 * stop_replicas.GAP_S)
    stop = fleet.stop_node(node, series)
    for caller in callers:
        caller.ended.set()
        caller.join(stop_callers.DEADLINE_S)
    return stop, [attempt for caller in callers for attempt in caller.attempts]


# Guards against a second signal that ends the drain but not the process, which then serves until it is killed.
@pytest.mark.parametrize("series", SERIES, ids=lambda series: "-".join(name for _at, name in series))
def test_a_router_completes_its_stop_whatever_signals_come(fleet, series):
    stop, attempts = send_through(fleet, serving(fleet, fleet.routers[0]), series)
    verdict = stop_judge.Judge(fleet).judge(attempts)
    assert verdict.violations == {} and (stop.code, stop.was_killed) == (0, False)
    assert verdict.outcomes["complete"] >= stop_callers.CALLERS


# Guards against a hanging process that its user can't end.
def test_a_second_sigint_without_sigterm_ends_a_router_at_once(fleet):
    stop, attempts = send_through(
        fleet, serving(fleet, fleet.routers[0]), [(0.0, "SIGINT"), (0.3, "SIGINT"), (7.0, "SIGTERM")]
    )
    assert stop.code == 130 and not stop.has_sigterm
    assert any(attempt.status == 200 and not attempt.is_complete for attempt in attempts)


# Guards against a keeper whose hand-over is cut short by a second signal.
@pytest.mark.parametrize("series", SERIES[:4], ids=lambda series: "-".join(name for _at, name in series))
def test_a_keeper_completes_its_stop_whatever_signals_come(fleet, series):
    keeper = serving(fleet, fleet.keepers[0])
    stop = fleet.stop_node(keeper, series)
    rows = [json.loads(line) for line in keeper.log.read_text().splitlines() if line.startswith("{")]
    assert (stop.code, stop.was_killed) == (0, False)
    assert rows[-1]["message_type"] == "stop_ended" and rows[-1]["completed"]
    assert fleet.configure(20.0) == 200


def is_interrupted_interpreter(output):
    """Return whether the output is of an interpreter that SIGINT ended before it ran any of our code."""
    return output.rstrip().endswith("KeyboardInterrupt") and str(stop_fleet.ROOT) not in output


# Guards against a signal during the start that leaves a process which neither serves nor ends.
@pytest.mark.parametrize("after_s", [0.0, 0.2, 0.5, 1.0])
@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize("role", ["route", "keep"])
def test_a_signal_during_the_start_ends_the_process(fleet, role, name, after_s):
    node = fleet.routers[0] if role == "route" else fleet.keepers[1]
    if node.process.poll() is None:
        fleet.stop_node(node, [(0.0, "SIGTERM")])
    logged_bytes = node.log.stat().st_size
    fleet.launch(node)
    time.sleep(after_s)
    stop = fleet.stop_node(node, [(0.0, name), (0.1, "SIGHUP"), (0.2, "SIGTERM")])
    output = node.log.read_bytes()[logged_bytes:].decode()
    assert not stop.was_killed
    assert stop.code in (0, -2, -15) or stop.code == 1 and name == "SIGINT" and is_interrupted_interpreter(output)
