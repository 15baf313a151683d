"""The operator client retries its calls while keepers start and elect a leader, for any number of addresses."""

import pytest

import mothshed.constants as constants
import mothshed.programs.operator_client as operator_client

ADDRESSES = ["k1:1", "k2:1", "k3:1"]
NO_LEADER = (503, {"error": {"message": "the configuration part has no leader now", "verdict": "not_run"}})


class FakeKeepers:
    """Fake keepers with a simulated clock: they refuse connections until `up_at` and have no leader until `leader_at`.

    Each call takes `cost` seconds.
    """

    def __init__(self, up_at, leader_at, cost=0.0):
        self.up_at, self.leader_at, self.cost = up_at, leader_at, cost
        self.now, self.calls = 0.0, []

    def monotonic(self):
        return self.now

    def sleep(self, duration):
        self.now += duration

    def follow_redirects(self, pool, method, url, body):
        self.calls.append(url)
        self.now += self.cost
        if self.now < self.up_at:
            raise ConnectionRefusedError
        return NO_LEADER if self.now < self.leader_at else (200, {"sequence": 1})


@pytest.fixture
def simulated(monkeypatch):
    def simulate(keepers):
        monkeypatch.setattr(operator_client, "time", keepers)
        monkeypatch.setattr(operator_client, "follow_redirects", keepers.follow_redirects)
        return keepers

    return simulate


@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_call_is_retried_until_a_leader_is_elected(simulated, count):
    simulated(FakeKeepers(up_at=2.0, leader_at=4.0))
    assert operator_client.first_answer(ADDRESSES[:count], "GET", "/configuration") == (200, {"sequence": 1})


def test_a_document_is_applied_after_keepers_start_slowly(simulated):
    keepers = simulated(FakeKeepers(up_at=4.2, leader_at=5.6))
    assert operator_client.apply_document(ADDRESSES, 0, {}, "me", "first") == (0, {"sequence": 1})
    assert keepers.now < 6.0


def test_calls_to_keepers_without_a_leader_end_after_a_limited_time(simulated):
    keepers = simulated(FakeKeepers(up_at=0.0, leader_at=1e9))
    assert operator_client.first_answer(ADDRESSES, "GET", "/configuration") == NO_LEADER
    assert constants.MIN_QUERY_TIME_S <= keepers.now < constants.MIN_QUERY_TIME_S + 2 * constants.QUERY_RETRY_INTERVAL_S


def test_slow_failures_end_after_the_minimum_number_of_calls(simulated):
    keepers = simulated(FakeKeepers(up_at=1e9, leader_at=1e9, cost=1.0))
    status, body = operator_client.first_answer(ADDRESSES, "GET", "/configuration")
    assert (status, body["error"]["verdict"]) == (503, "may_have_run")
    assert len(keepers.calls) == constants.MIN_QUERY_ATTEMPTS
