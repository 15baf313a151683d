"""Streams that break on the platform: which are taken up, where, and that no piece comes twice or is left out."""

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
def test_a_stream_that_runs_once_is_cut_where_it_broke(site, count):
    host, (reader, *writers) = site.service("pddd", tries=3, facts={"events": 6})
    for writer in writers:
        writer.always = {"break": count}
    own, answer = site.ask(host)
    assert len(site.platform.ran(own)) == 1 and platform_site.asked(writers) == 1
    assert answer.status == 200 and not answer.complete
    assert answer.body == platform_site.pieces(1, count, 6)  # whole events only


@pytest.mark.parametrize("legs", ["pdd", "dd", "ppddd"])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_resumable_stream_goes_on_at_another_replica_under_the_first_head(site, legs, count):
    host, replicas = site.service(legs, tries=2, resumable=True)
    writers = [r for r in replicas if r.leg == "decode"]
    platform_site.let(writers, {"break": count})
    own, answer = site.ask(host)
    first, second = site.platform.ran(own)
    assert (first["after"], second["after"]) == (0, count) and first["replica"] != second["replica"]
    assert answer.headers.get_all("Postmark") == [first["stamp"]]
    assert (answer.status, answer.body, answer.complete) == (200, platform_site.pieces(1), True)


def test_a_resumable_stream_that_a_caller_took_up_goes_on_after_its_last_event(site):
    host, replicas = site.service("pdd", tries=2, resumable=True, facts={"events": 8})
    platform_site.let(replicas[1:], {"break": 2})
    own, answer = site.ask(host, headers=[("Last-Event-Id", "3")])
    assert [run["after"] for run in site.platform.ran(own)] == [3, 5]
    assert answer.body == platform_site.pieces(4, 8, 8) and answer.complete


def test_a_resumable_stream_goes_to_no_more_replicas_than_its_tries(site):
    host, replicas = site.service("pdddd", tries=3, resumable=True, facts={"events": 9})
    for writer in replicas[1:]:
        writer.always = {"break": 2}
    own, answer = site.ask(host)
    assert [run["after"] for run in site.platform.ran(own)] == [0, 2, 4]
    assert not answer.complete and answer.body == platform_site.pieces(1, 6, 9)


def test_a_resumable_stream_broken_before_its_first_event_begins_anew_elsewhere(site):
    host, replicas = site.service("pdd", tries=2, resumable=True)
    platform_site.let(replicas[1:], {"break": 0})
    own, answer = site.ask(host)
    assert (
        [run["after"] for run in site.platform.ran(own)] == [0, 0]
        and answer.body == platform_site.pieces(1)
        and answer.complete
    )
    assert answer.headers["Postmark"] == site.platform.ran(own)[1]["stamp"]


@pytest.mark.parametrize("after", [0, 1])
def test_a_replica_that_begins_too_early_gives_no_piece_twice(site, after):
    host, replicas = site.service("pdd", tries=2, resumable=True)
    for writer in replicas[1:]:
        writer.always = {"after": after}
    platform_site.let(replicas[1:], {"break": 2})
    own, answer = site.ask(host)
    assert len(site.platform.ran(own)) == 2 and not answer.complete and answer.body == platform_site.pieces(1, 2)


def test_a_resumed_answer_that_belongs_to_nobody_is_not_joined(site):
    host, replicas = site.service("pddd", tries=3, resumable=True)
    for writer in replicas[1:]:
        writer.always = {"id": "another"}
    platform_site.let(replicas[1:], {"break": 2})
    own, answer = site.ask(host)
    assert not answer.complete and answer.body == platform_site.pieces(1, 2, 4)


def test_a_body_that_is_cut_short_is_no_success(site):
    for kind, runs in (("once_only", 1), ("repeatable", 2)):
        host, replicas = site.service("ddd", engine=False, kind=kind, tries=2, facts={"events": 0, "body": b"b" * 5000})
        for replica in replicas:
            replica.always = {"break": 1}
        own, answer = site.ask(host, prompt=False)
        assert len(site.platform.ran(own)) == runs and answer.status in (502, 504)


def test_events_are_passed_on_as_they_come(site):
    host, (reader, writer) = site.service("pd", facts={"events": 3, "gap": 0.3})
    conn, spans = http.client.HTTPConnection(site.address, timeout=5), []
    conn.request("POST", "/p/x", b"", {"Host": host, "Try-Id": "paced", **platform_site.PROMPT})
    response, began = conn.getresponse(), time.monotonic()
    while response.readline():
        spans.append(time.monotonic() - began)
    conn.close()
    assert spans[0] < 0.15 and 0.2 < spans[3] < 0.45 and 0.5 < spans[6] < 0.8


def test_a_caller_that_hangs_up_ends_its_run(site):
    host, (reader, writer) = site.service("pd", facts={"events": 100, "gap": 0.05})
    conn = http.client.HTTPConnection(site.address, timeout=5)
    conn.request("POST", "/p/x", b"", {"Host": host, "Try-Id": "gone", **platform_site.PROMPT})
    assert conn.getresponse().read(5)
    conn.close()
    platform_site.until(lambda: writer.left == 1 and site.router.in_flight == 0 and not reader.held, 3.0)
