"""The times of a stop over the range of grace times, on a simulated clock, and with real processes."""

import pytest

import mothshed.runtime.stop_schedule as stop_schedule
import tests.platform_site as platform_site
import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet
import tests.stop_judge as stop_judge

GRACE_TIMES_S = [4, 4.5, 5, 6, 7, 8, 10, 12, 15, 20, 25, 30]
MIN_EXIT_MARGIN_S = 0.2  # from the end of a process to its kill
ENDLESS = 100000  # events
BUSY_PROCESSES = 8


@pytest.mark.parametrize("grace_s", GRACE_TIMES_S)
def test_the_times_of_a_stop_are_in_order_and_within_the_grace_time(grace_s):
    schedule = stop_schedule.from_settings({"grace_s": grace_s, "drain_s": 99, "linger_s": 99})
    assert 0 < schedule.accept_s < stop_judge.SENT_IN_TIME_S
    assert schedule.accept_s < stop_judge.EXCUSED_SHARE * grace_s < schedule.cut_s < schedule.exit_s
    assert schedule.exit_s <= grace_s - MIN_EXIT_MARGIN_S and schedule.leave_s < schedule.cut_s


def test_without_a_grace_time_the_settings_state_the_times():
    schedule = stop_schedule.from_settings({"drain_s": 6.0, "linger_s": 1.5})
    assert (schedule.accept_s, schedule.cut_s, schedule.leave_s) == (1.5, 7.5, 6.0) and schedule.exit_s > 7.5
    assert stop_schedule.from_settings({}).leave_s < stop_schedule.from_settings({}).cut_s


class SteppedEnvironment:
    """Stands in for the environment of a router: its clock advances by sleeping only."""

    def __init__(self, usual):
        self.usual, self.clock = usual, 1000.0

    def __getattr__(self, name):
        return getattr(self.usual, name)

    def now(self):
        return self.clock

    def sleep(self, duration_s):
        self.clock += duration_s


@pytest.fixture(scope="module")
def site():
    made = platform_site.Site()
    yield made
    made.stop()


# Guards against a drain that ends before the last sixth of the grace time begins, or never.
@pytest.mark.parametrize("grace_s", GRACE_TIMES_S)
def test_a_request_that_outlives_the_drain_is_cut_in_the_last_sixth(site, monkeypatch, grace_s):
    environment, cut_at = SteppedEnvironment(site.environment), []
    monkeypatch.setattr(site.router, "environment", environment)
    monkeypatch.setattr(site.router, "is_busy", lambda: True)
    monkeypatch.setattr(site.router, "cut_requests", lambda: cut_at.append(environment.now()))
    for name in ("leaving", "stopping", "accept_until"):
        monkeypatch.setattr(site.router, name, getattr(site.router, name))
    begun_at = environment.now()
    environment.sleep(0.3)  # the signal is acted on late
    assert not site.router.drain(stop_schedule.for_grace_time(grace_s), begun_at)
    assert grace_s * stop_judge.EXCUSED_SHARE < cut_at[0] - begun_at < grace_s
    assert cut_at[0] - begun_at < environment.now() - begun_at < grace_s


@pytest.mark.parametrize("at_s, taken", [(0.0, True), (2.4, True), (2.6, False), (7.0, False)])
def test_requests_are_taken_for_less_than_three_seconds_however_late_the_drain_runs(site, monkeypatch, at_s, taken):
    environment = SteppedEnvironment(site.environment)
    monkeypatch.setattr(site.router, "environment", environment)
    monkeypatch.setattr(site.router, "accept_until", environment.now() + stop_schedule.for_grace_time(8).accept_s)
    environment.sleep(at_s)  # while the drain itself has not run yet
    assert site.router.begin_request() is taken
    if taken:
        site.router.end_request()


# Guards against a router that only the kill ends, and streams that end with it instead of in the last sixth.
@pytest.mark.parametrize("grace_s, busy", [(5.0, 0), (8.0, BUSY_PROCESSES), (20.0, 0)])
def test_a_router_with_endless_streams_ends_by_itself_within_the_grace_time(tmp_path, grace_s, busy):
    fleet = stop_fleet.Fleet(tmp_path, 1, 1, grace_s, stop_fleet.ROOT)
    try:
        fleet.start()
        node = fleet.routers[0]
        callers = [
            stop_callers.Caller(node, fleet.gates["counter"], f"{n}", (ENDLESS,)) for n in range(stop_callers.CALLERS)
        ]
        for caller in callers:
            caller.start()
        platform_site.wait_until(lambda: sum(len(r.work) for r in fleet.replicas) == len(callers), 20.0)
        with stop_fleet.BusyProcesses(busy):
            stop = fleet.stop_node(node, [(0.0, "SIGTERM")])
        for caller in callers:
            caller.ended.set()
            caller.join(stop_callers.DEADLINE_S)
        verdict = stop_judge.Judge(fleet).judge(a for caller in callers for a in caller.attempts)
        assert verdict.violations == {} and (stop.code, stop.was_killed) == (1, False)
        assert verdict.outcomes["excused"] == len(callers) or grace_s > stop_callers.DEADLINE_S
        assert fleet.handles_left() == 0
    finally:
        fleet.close()
