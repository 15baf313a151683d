"""Stops of real processes while a file that they use hangs."""

import json
import os

import pytest

import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet
import tests.stop_judge as stop_judge

GRACE_S = 5.0
STREAM_EVENTS = 50  # 3 s: a stream that is taken as late as allowed is still under way at the cut


@pytest.fixture
def fleet(tmp_path):
    made = stop_fleet.Fleet(tmp_path, 1, 1, GRACE_S, stop_fleet.ROOT)
    try:
        made.start()
        yield made
    finally:
        made.close()


def stop_under_load(fleet, node, series):
    """Stop a router while clients send streams to it; return its stop and the verdict on all requests."""
    callers = [
        stop_callers.Caller(node, fleet.gates["counter"], f"{n}", (STREAM_EVENTS,)) for n in range(stop_callers.CALLERS)
    ]
    for caller in callers:
        caller.start()
    stop_fleet.platform_site.wait_until(
        lambda: all(caller.attempts and caller.attempts[0].request_id in passed_on(fleet) for caller in callers)
    )
    stop = fleet.stop_node(node, series)
    for caller in callers:
        caller.ended.set()
        caller.join(stop_callers.DEADLINE_S)
    return stop, stop_judge.Judge(fleet).judge(a for caller in callers for a in caller.attempts)


def passed_on(fleet):
    return {work.request_id for replica in fleet.replicas for work in list(replica.work)}


# Guards against a SIGTERM that is never acted on because a SIGHUP before it waits for the settings.
def test_a_router_stops_while_its_settings_cant_be_read(fleet):
    router = fleet.routers[0]
    router.settings.unlink()
    os.mkfifo(router.settings)
    stop, verdict = stop_under_load(fleet, router, [(0.0, "SIGHUP"), (0.3, "SIGTERM")])
    assert verdict.violations == {} and not stop.was_killed
    rows = [json.loads(line) for line in router.log.read_text().splitlines() if line.startswith("{")]
    assert rows[-1]["message_type"] == "stop_ended"
