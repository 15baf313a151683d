"""A process without a list of replicas finds the process that reads it for all, without waiting a whole interval."""

import contextlib
import types

import pytest

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.replicas.listed_replicas as listed_replicas
import mothshed.runtime.journal as journal
import tests.all_orders as all_orders


class TimedEnvironment(all_orders.ManualEnvironment):
    """A manual environment that records the delay of the next call."""

    def call_later(self, delay, call):
        self.delay = delay
        return super().call_later(delay, call)


ROW = {"url": "http://d1", "cell": "a", "service": "s", "labels": {"service": "s"}, "leaving": False}


def news(**rows):
    return {"part": 1, "number": 7, "held": 0, "age": 0.1, "whole": True, "rows": rows, "gone": []}


@pytest.fixture
def process():
    pool = all_orders.Pool()
    environment = TimedEnvironment(pool, "r:1")
    found = listed_replicas.ListedReplicas(environment, "", journal.Journal(), None, lambda: ["dead:1", "b:1", "c:1"])
    return types.SimpleNamespace(pool=pool, environment=environment, listed=found)


def test_the_list_is_requested_at_short_intervals_until_it_is_received(process):
    process.listed.tick()
    assert process.environment.delay <= 1.1 * constants.INITIAL_LIST_REQUEST_INTERVAL_S
    process.listed.on_list_news("b:1", news(d1={**ROW, "role": "decode", "slots": 8}))
    process.listed.tick()
    assert process.environment.delay >= 0.9 * constants.LIST_REQUEST_INTERVAL_S


def test_a_process_whose_first_keeper_is_dead_gets_the_list_within_half_a_second(process):
    """Requests go to each keeper in turn; one that knows the leader names it, and the next request goes there."""
    waited, replicas = 0.0, {"d1": {**ROW, "role": "decode", "slots": 8}}
    while not process.listed.rows:
        process.listed.tick()
        for destination, _sender, kind, _body in process.pool.waiting:
            if kind == "list_ask" and destination == "b:1":
                process.listed.leaders.on_look_elsewhere("b:1", {"part": 1, "leader": "c:1"})
            if kind == "list_ask" and destination == "c:1":
                process.listed.on_list_news("c:1", news(**replicas))
        process.pool.waiting.clear()
        waited += process.environment.delay
        process.pool.time += process.environment.delay
    assert waited <= 0.5


class LateList:
    """A list whose first so many readings fail after LIST_READ_TIMEOUT_S; further ones succeed at once."""

    def __init__(self, pool, timeouts, fault):
        self.pool, self.timeouts, self.fault = pool, timeouts, fault

    def rows(self, environment, url):
        if self.timeouts:
            self.timeouts -= 1
            self.pool.time += constants.LIST_READ_TIMEOUT_S
            raise self.fault
        return {"d1": {**ROW, "role": "decode", "slots": 8}}


@pytest.mark.parametrize(
    "fault", [http_client.ExchangeError("timed out", True), RuntimeError("no thread can be started")]
)
@pytest.mark.parametrize("timeouts", [0, 1, 3])
def test_a_process_that_receives_no_list_reads_it_until_that_succeeds(process, timeouts, fault):
    """The first reading is due within two times LIST_MAX_AGE_S, each further one within a request interval."""
    reads = []
    process.environment.spawn = reads.append
    process.listed.speech = LateList(process.pool, timeouts, fault)
    interval = 1.1 * constants.INITIAL_LIST_REQUEST_INTERVAL_S
    bound = (
        2 * constants.LIST_MAX_AGE_S
        + timeouts * (constants.LIST_READ_TIMEOUT_S + constants.LIST_REQUEST_INTERVAL_S + interval)
        + 2 * interval
    )
    end = process.pool.time + bound
    while not process.listed.rows:
        assert process.pool.time <= end
        process.listed.tick()
        process.pool.time += process.environment.delay
        while reads:
            with contextlib.suppress(RuntimeError):  # a failed task is only logged
                reads.pop()()
