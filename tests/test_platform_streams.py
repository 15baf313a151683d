"""Broken streams on the platform: which are resumed and where, without duplicate or missing events."""

import http.client
import time

import pytest

import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


@pytest.mark.parametrize("count", [1, 3, 4])
def test_a_stream_that_may_not_be_resumed_ends_where_it_broke(site, count):
    host, (prefill_replica, *decode_replicas) = site.service("pddd", tries=3, facts={"events": 6})
    for decode_replica in decode_replicas:
        decode_replica.always = {"break": count}
    request_id, answer = site.ask(host)
    assert len(site.platform.ran(request_id)) == 1 and platform_site.request_count(decode_replicas) == 1
    assert answer.status == 200 and not answer.complete
    assert answer.body == platform_site.event_bytes(1, count, 6)  # whole events only


@pytest.mark.parametrize("legs", ["pdd", "dd", "ppddd"])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_resumable_stream_continues_on_another_replica_with_the_first_head(site, legs, count):
    host, replicas = site.service(legs, tries=2, resumable=True)
    decode_replicas = [r for r in replicas if r.leg == "decode"]
    platform_site.inject_fault_once(decode_replicas, {"break": count})
    request_id, answer = site.ask(host)
    first, second = site.platform.ran(request_id)
    assert (first["after"], second["after"]) == (0, count) and first["replica"] != second["replica"]
    assert answer.headers.get_all("Postmark") == [first["stamp"]]
    assert (answer.status, answer.body, answer.complete) == (200, platform_site.event_bytes(1), True)


def test_a_stream_resumed_by_its_caller_continues_after_the_last_event(site):
    host, replicas = site.service("pdd", tries=2, resumable=True, facts={"events": 8})
    platform_site.inject_fault_once(replicas[1:], {"break": 2})
    request_id, answer = site.ask(host, headers=[("Last-Event-Id", "3")])
    assert [run["after"] for run in site.platform.ran(request_id)] == [3, 5]
    assert answer.body == platform_site.event_bytes(4, 8, 8) and answer.complete


def test_a_resumable_stream_goes_to_no_more_replicas_than_its_tries(site):
    host, replicas = site.service("pdddd", tries=3, resumable=True, facts={"events": 9})
    for decode_replica in replicas[1:]:
        decode_replica.always = {"break": 2}
    request_id, answer = site.ask(host)
    assert [run["after"] for run in site.platform.ran(request_id)] == [0, 2, 4]
    assert not answer.complete and answer.body == platform_site.event_bytes(1, 6, 9)


def test_a_resumable_stream_broken_before_its_first_event_restarts_on_another_replica(site):
    host, replicas = site.service("pdd", tries=2, resumable=True)
    platform_site.inject_fault_once(replicas[1:], {"break": 0})
    request_id, answer = site.ask(host)
    assert (
        [run["after"] for run in site.platform.ran(request_id)] == [0, 0]
        and answer.body == platform_site.event_bytes(1)
        and answer.complete
    )
    assert answer.headers["Postmark"] == site.platform.ran(request_id)[1]["stamp"]


@pytest.mark.parametrize("after", [0, 1])
def test_a_replica_that_resumes_too_early_causes_no_duplicate_event(site, after):
    host, replicas = site.service("pdd", tries=2, resumable=True)
    for decode_replica in replicas[1:]:
        decode_replica.always = {"after": after}
    platform_site.inject_fault_once(replicas[1:], {"break": 2})
    request_id, answer = site.ask(host)
    assert (
        len(site.platform.ran(request_id)) == 2
        and not answer.complete
        and answer.body == platform_site.event_bytes(1, 2)
    )


def test_a_resumed_reply_with_another_id_is_not_forwarded(site):
    host, replicas = site.service("pddd", tries=3, resumable=True)
    for decode_replica in replicas[1:]:
        decode_replica.always = {"id": "another"}
    platform_site.inject_fault_once(replicas[1:], {"break": 2})
    request_id, answer = site.ask(host)
    assert not answer.complete and answer.body == platform_site.event_bytes(1, 2, 4)


def test_a_truncated_body_is_no_success(site):
    for kind, runs in (("once_only", 1), ("repeatable", 2)):
        host, replicas = site.service("ddd", engine=False, kind=kind, tries=2, facts={"events": 0, "body": b"b" * 5000})
        for replica in replicas:
            replica.always = {"break": 1}
        request_id, answer = site.ask(host, prompt=False)
        assert len(site.platform.ran(request_id)) == runs and answer.status in (502, 504)


def test_events_are_forwarded_without_delay(site):
    host, (prefill_replica, decode_replica) = site.service("pd", facts={"events": 3, "gap": 0.3})
    conn, spans = http.client.HTTPConnection(site.address, timeout=5), []
    conn.request("POST", "/p/x", b"", {"Host": host, "Try-Id": "paced", **platform_site.PROMPT})
    response, started_at = conn.getresponse(), time.monotonic()
    while response.readline():
        spans.append(time.monotonic() - started_at)
    conn.close()
    assert spans[0] < 0.15 and 0.2 < spans[3] < 0.45 and 0.5 < spans[6] < 0.8


def test_a_caller_that_disconnects_ends_the_execution(site):
    host, (prefill_replica, decode_replica) = site.service("pd", facts={"events": 100, "gap": 0.05})
    conn = http.client.HTTPConnection(site.address, timeout=5)
    conn.request("POST", "/p/x", b"", {"Host": host, "Try-Id": "gone", **platform_site.PROMPT})
    assert conn.getresponse().read(5)
    conn.close()
    platform_site.wait_until(
        lambda: decode_replica.left == 1 and site.router.in_flight == 0 and not prefill_replica.held, 3.0
    )
