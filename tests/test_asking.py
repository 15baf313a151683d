"""The operator's calls go on while keepers start and elect a leader, however many keepers are named."""

import pytest

import mothshed.constants as constants
import mothshed.programs.ask as ask

KEEPERS = ["k1:1", "k2:1", "k3:1"]
NO_LEADER = (503, {"error": {"message": "the configuration part has no leader now", "verdict": "not_run"}})


class Keepers:
    """Keepers by a clock of their own: no connection until `up`, no leader until `leads`; a call takes `cost` s."""

    def __init__(self, up, leads, cost=0.0):
        self.up, self.leads, self.cost = up, leads, cost
        self.now, self.calls = 0.0, []

    def monotonic(self):
        return self.now

    def sleep(self, span):
        self.now += span

    def one(self, pool, method, url, body):
        self.calls.append(url)
        self.now += self.cost
        if self.now < self.up:
            raise ConnectionRefusedError
        return NO_LEADER if self.now < self.leads else (200, {"sequence": 1})


@pytest.fixture
def answered(monkeypatch):
    def played(keepers):
        monkeypatch.setattr(ask, "time", keepers)
        monkeypatch.setattr(ask, "one", keepers.one)
        return keepers

    return played


@pytest.mark.parametrize("count", [1, 2, 3])
def test_one_call_outlasts_an_election_with_any_number_of_keepers(answered, count):
    answered(Keepers(up=2.0, leads=4.0))
    assert ask.any_of(KEEPERS[:count], "GET", "/configuration") == (200, {"sequence": 1})


def test_a_document_is_taken_by_keepers_that_start_on_a_busy_machine(answered):
    keepers = answered(Keepers(up=4.2, leads=5.6))
    assert ask.apply(KEEPERS, 0, {}, "me", "first") == (0, {"sequence": 1})
    assert keepers.now < 6.0


def test_keepers_without_a_leader_are_given_up_after_a_while(answered):
    keepers = answered(Keepers(up=0.0, leads=1e9))
    assert ask.any_of(KEEPERS, "GET", "/configuration") == NO_LEADER
    assert constants.MIN_QUERY_TIME_S <= keepers.now < constants.MIN_QUERY_TIME_S + 2 * constants.QUERY_RETRY_INTERVAL_S


def test_slow_refusals_end_after_the_least_number_of_calls(answered):
    keepers = answered(Keepers(up=1e9, leads=1e9, cost=1.0))
    status, said = ask.any_of(KEEPERS, "GET", "/configuration")
    assert (status, said["error"]["verdict"]) == (503, "may_have_run")
    assert len(keepers.calls) == constants.MIN_QUERY_ATTEMPTS
