"""Replicas that are silent for a while and then go on: no answer ends because of the silence (issue 45)."""

import socket
import threading
import time

import pytest

import mothshed.constants as constants
import tests.platform_site as platform_site
import tests.resting_replicas as resting


@pytest.fixture
def site():
    found = platform_site.Site()
    yield found
    found.stop()


# Guards against review/1: a stream was cut because its replica was silent, once the retry budget was spent.
@pytest.mark.parametrize("moment", resting.MOMENTS)
def test_a_silent_replica_is_waited_for_when_the_retry_budget_is_spent(site, moment):
    host, replicas, decode_replicas = resting.serve_stream(site)
    resting.rest_once(decode_replicas, moment, resting.REST_S)
    resting.spend_budget(site)
    request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and len(site.platform.ran(request_id)) == 1
    resting.check_nothing_is_left(site, replicas)


@pytest.mark.parametrize("moment", resting.MOMENTS)
def test_a_silent_replica_is_waited_for_when_there_is_no_other(site, moment):
    host, replicas, decode_replicas = resting.serve_stream(site, "pd")
    resting.rest_once(decode_replicas, moment, resting.REST_S)
    request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and len(site.platform.ran(request_id)) == 1
    resting.check_nothing_is_left(site, replicas)


@pytest.mark.parametrize("fault", [{"bounce": 503}, {"close": True}, {"own": 500}, {"silent": True}])
@pytest.mark.parametrize("moment", resting.MOMENTS)
def test_a_silent_replica_is_waited_for_when_the_other_fails(site, moment, fault):
    host, replicas, decode_replicas = resting.serve_stream(site)
    first = resting.rest_once(decode_replicas, moment, resting.REST_S)
    resting.reject_second(decode_replicas, first, **fault)
    _request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and not first[0].left
    resting.check_nothing_is_left(site, replicas)


@pytest.mark.parametrize("moment", resting.MOMENTS)
def test_another_replica_takes_over_from_a_silent_one(site, moment):
    host, replicas, decode_replicas = resting.serve_stream(site)
    first = resting.rest_once(decode_replicas, moment, resting.FOREVER_S)
    request_id, answer = site.ask(host)
    runs = site.platform.ran(request_id)
    assert resting.is_whole(answer) and [run["after"] for run in runs] == [0, max(0, moment - 1)]
    assert answer.headers["Postmark"] == runs[0 if moment == resting.BETWEEN_EVENTS else 1]["stamp"]
    assert answer.duration_s < 2.2
    platform_site.wait_until(lambda: first[0].left == 1, 0.5)  # counted by the replica's own thread
    resting.check_nothing_is_left(site, replicas)


def test_the_work_of_the_other_replica_ends_once_the_silent_one_goes_on(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    first = resting.rest_once(decode_replicas, resting.BETWEEN_EVENTS, 1.8)
    resting.reject_second(decode_replicas, first, silent=True)
    _request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and answer.duration_s < 2.2
    platform_site.wait_until(lambda: sum(replica.left for replica in decode_replicas) == 1)
    assert not first[0].left
    resting.check_nothing_is_left(site, replicas)


def test_the_answer_of_the_other_replica_is_kept_if_the_silent_one_breaks(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    chosen, connections = resting.rest_once(decode_replicas, resting.BETWEEN_EVENTS, resting.FOREVER_S), []
    for replica in decode_replicas:

        def run(conn, request, fault, headers, replica=replica, rested=replica.run):
            if chosen and chosen[0] is not replica:  # the other one: slow, and the first breaks meanwhile
                time.sleep(0.4)
                connections[0].shutdown(socket.SHUT_RDWR)
                time.sleep(0.4)
            connections.append(conn)
            return rested(conn, request, fault, headers)

        replica.run = run
    request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and len(site.platform.ran(request_id)) == 2
    resting.check_nothing_is_left(site, replicas)


def test_a_whole_answer_is_waited_for(site):
    host, replicas = site.service("ddd", engine=False, kind="repeatable", tries=2, facts={"events": 0})
    for moment in (resting.BEFORE_HEAD, 2):
        for replica in replicas:
            resting.rest(replica, moment, resting.REST_S)
        resting.spend_budget(site)
        request_id, answer = site.ask(host, prompt=False)
        assert (answer.status, answer.body) == (200, b"abc") and len(site.platform.ran(request_id)) == 1


def test_a_silent_prefill_is_waited_for_when_the_retry_budget_is_spent(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    take = replicas[0].take
    replicas[0].take = lambda conn, request, fault: (
        not resting.is_closed_within(replicas[0], conn, resting.REST_S) and take(conn, request, fault)
    )
    resting.spend_budget(site)
    request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and len(site.platform.ran(request_id)) == 1
    assert [request.get("Cache-From") for replica in decode_replicas for request in replica.requests][0]
    resting.check_nothing_is_left(site, replicas)


def test_a_decode_replica_takes_over_from_a_silent_prefill(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    replicas[0].always = {"silent": True}
    request_id, answer = site.ask(host)
    assert resting.is_whole(answer) and len(site.platform.ran(request_id)) == 1
    platform_site.wait_until(lambda: replicas[0].left == 1, 0.5)
    assert answer.duration_s < constants.MIN_PREFILL_TIMEOUT_S + 0.8
    resting.check_nothing_is_left(site, replicas)


def test_a_caller_that_leaves_during_a_silence_ends_the_work_of_both_replicas(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    first = resting.rest_once(decode_replicas, resting.BETWEEN_EVENTS, resting.FOREVER_S)
    resting.reject_second(decode_replicas, first, silent=True)
    address, port = site.address.split(":")
    with socket.create_connection((address, int(port))) as conn:
        rows = [("Host", host), ("Try-Id", "leaves"), *platform_site.PROMPT.items(), ("Content-Length", 0)]
        conn.sendall(b"POST /p/x HTTP/1.1\r\n" + b"".join(f"{k}: {v}\r\n".encode() for k, v in rows) + b"\r\n")
        platform_site.wait_until(lambda: platform_site.request_count(decode_replicas) == 2)
    platform_site.wait_until(lambda: sum(replica.left for replica in decode_replicas) == 2, 1.0)
    resting.check_nothing_is_left(site, replicas)


def test_a_stopping_router_waits_for_a_silent_replica(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    resting.rest_once(decode_replicas, resting.BETWEEN_EVENTS, resting.REST_S)
    resting.spend_budget(site)
    ended = []
    threading.Timer(0.3, lambda: ended.append(platform_site.drain(site.router, 5.0))).start()
    _request_id, answer = site.ask(host)
    platform_site.wait_until(lambda: ended)
    assert resting.is_whole(answer) and ended == [True]


def test_a_silent_replica_is_waited_for_when_no_thread_can_be_started(site):
    host, replicas, decode_replicas = resting.serve_stream(site)
    resting.rest_once(decode_replicas, resting.BETWEEN_EVENTS, resting.REST_S)

    def refuse(call):
        raise RuntimeError("can't start new thread")

    usual, site.environment.spawn = site.environment.spawn, refuse
    request_id, answer = site.ask(host)
    site.environment.spawn = usual
    assert resting.is_whole(answer) and len(site.platform.ran(request_id)) == 1
    resting.check_nothing_is_left(site, replicas)


def test_a_replica_that_stays_silent_is_given_up_at_the_deadline(site):
    host, replicas, decode_replicas = resting.serve_stream(site, "pd", deadline_ms=3000)
    resting.rest_once(decode_replicas, resting.BEFORE_HEAD, resting.FOREVER_S)
    started_at = time.monotonic()
    _request_id, answer = site.ask(host)
    assert answer.status == 504 and 2.9 < time.monotonic() - started_at < 3.4
    resting.check_nothing_is_left(site, replicas)
