"""Random walks over a part's group: the grants of all its leaders stay within the limit's bound."""

import dataclasses

import pytest

import mothshed.constants as constants
import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.member as member_module
import tests.permit_group as permit_group

STEPS = 60
WALKS = 12
MAX_WALKS = 300  # within which a missing protection must show
SMALL = {"SNAPSHOT_INTERVAL_ENTRIES": 4, "MAX_RETAINED_LOG_ENTRIES": 1}


@pytest.fixture(autouse=True)
def small_logs(monkeypatch):
    """Take snapshots after a few entries."""
    for name, value in SMALL.items():
        monkeypatch.setattr(constants, name, value)


@pytest.mark.parametrize("number", range(WALKS))
def test_no_walk_grants_more_than_the_limit_allows(number):
    group = permit_group.PermitGroup(3, 1, number)
    group.walk(STEPS)
    assert len(group.grants) > 3


def assert_walks_fail(reason, first=0):
    """Check that some walk fails for this reason. first: the first walk, chosen so that a rare case comes soon."""
    with pytest.raises(AssertionError, match=reason):
        for number in range(first, first + MAX_WALKS):
            permit_group.PermitGroup(3, 1, number).walk(STEPS)


def test_the_walks_detect_a_leader_that_grants_without_a_confirmed_majority(monkeypatch):
    monkeypatch.setattr(member_module.Member, "has_quorum", lambda self: self.is_leader and self.ready)
    assert_walks_fail("granted in a window")


def test_the_walks_detect_a_leader_that_starts_with_a_full_bucket(monkeypatch):
    monkeypatch.setattr(limit_bounds.LimitBounds, "initial_level", limit_bounds.LimitBounds.capacity)
    monkeypatch.setattr(permit_group.RecordingTask, "start", start_with_credit)
    assert_walks_fail("granted in a window")


def start_with_credit(self):
    """Start with a credit whenever the previous leader started."""
    super(permit_group.RecordingTask, self).start()
    self.with_credit = True


def test_the_walks_detect_a_credit_sooner_than_a_window(monkeypatch):
    no_wait = dataclasses.replace(permit_group.BOUNDS, window_s=0.0)
    monkeypatch.setattr(permit_group.PermitGroup, "task_bounds", no_wait)
    assert_walks_fail("credits .* s apart")


def test_the_walks_detect_a_snapshot_that_hides_a_leader(monkeypatch):
    monkeypatch.setattr(permit_group.PermitRecorder, "restore", permit_group.group_model.Recorder.restore)
    assert_walks_fail("credits .* s apart", first=30)


class LateClock(permit_group.RecordingTask):
    """Reads the clock after the quorum check."""

    def grant(self, tenant, row, count, now):
        return super().grant(tenant, row, count, self.environment.now())


def test_the_walks_detect_a_grant_that_counts_from_after_a_freeze(monkeypatch):
    monkeypatch.setattr(permit_group.PermitGroup, "task_class", LateClock)
    assert_walks_fail("granted in a window")
