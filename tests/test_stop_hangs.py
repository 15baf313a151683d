"""Stops of real processes while a file that they use hangs: settings that can't be read, a log that nobody reads."""

import json
import os

import pytest

import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet
import tests.stop_judge as stop_judge

GRACE_S = 5.0
STREAM_EVENTS = 50  # 3 s: a stream that is taken as late as allowed is still under way at the cut


class UnreadPipe:
    """The write end of a full pipe that nobody reads."""

    def __enter__(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.write_end, False)
        try:
            while True:
                os.write(self.write_end, b"x" * 65536)
        except BlockingIOError:
            os.set_blocking(self.write_end, True)
        return self.write_end

    def __exit__(self, *_error):
        os.close(self.read_end)
        os.close(self.write_end)


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


# Guards against a process that its own log holds up: it neither drains nor ends.
def test_a_router_stops_while_nobody_reads_its_log(fleet):
    router = fleet.routers[0]
    fleet.stop_node(router, [(0.0, "SIGTERM")])
    with UnreadPipe() as log:
        fleet.launch(router, log)
        stop_fleet.platform_site.wait_until(lambda: fleet.is_ready(router), stop_fleet.START_TIMEOUT_S)
        stop, verdict = stop_under_load(fleet, router, [(0.0, "SIGTERM")])
    assert verdict.violations == {} and not stop.was_killed
    assert verdict.outcomes["complete"] and fleet.handles_left() == 0


def test_a_keeper_stops_while_nobody_reads_its_log(fleet):
    keeper = fleet.keepers[0]
    fleet.stop_node(keeper, [(0.0, "SIGTERM")])
    with UnreadPipe() as log:
        fleet.launch(keeper, log)
        stop_fleet.platform_site.wait_until(
            lambda: fleet.status(keeper, "signal_box", "GET", "/configuration") == 200, stop_fleet.START_TIMEOUT_S
        )
        assert not fleet.stop_node(keeper, [(0.0, "SIGTERM")]).was_killed
