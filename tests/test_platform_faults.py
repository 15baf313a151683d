"""A router on the platform when replicas fail: what is retried, what is not, and what callers receive."""

import pytest

import mothshed.constants as constants
import tests.platform_site as platform_site

PLAIN = {"events": 0}
INVALID_REPLIES = [
    {"close": True},
    {"garbage": b"\x00\x01\xfe not an answer\r\n\r\n"},
    {"garbage": b"HTTP/1.1 200 OK\r\nContent-Le"},
    {"id": "another"},
    {"id": ""},
    {"stamp": False},
    {"own": 500, "id": "another"},
    {"bounce": 503, "id": "another"},
    {"cut": 1},
    {"cut": 10},
    {"cut": 23},
    {"cut": 30},
]  # 23: right after a line


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


# --- replicas that prove that nothing ran ----------------------------------


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("kind", ["once_only", "repeatable", "stream"])
def test_a_proof_that_nothing_ran_leads_to_another_replica(site, status, kind):
    host, replicas = site.service(
        "ddd", engine=False, kind=kind, tries=2, facts={"events": 4 if kind == "stream" else 0}
    )
    platform_site.inject_fault_once(replicas, {"bounce": status})
    request_id, answer = site.ask(host, prompt=False)
    assert (
        answer.status == 200 and platform_site.request_count(replicas) == 2 and len(site.platform.ran(request_id)) == 1
    )


@pytest.mark.parametrize("tries", [1, 2, 3])
def test_no_more_replicas_than_tries_are_used_and_then_the_request_is_refused(site, tries):
    host, replicas = site.service("ddddd", engine=False, kind="once_only", tries=tries, facts=PLAIN)
    for replica in replicas:
        replica.always = {"bounce": 503}
    request_id, answer = site.ask(host, prompt=False)
    assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0
    assert (
        platform_site.request_count(replicas) == tries
        and max(len(r.requests) for r in replicas) == 1
        and site.platform.ran(request_id) == []
    )


@pytest.mark.parametrize("tries", [1, 2])
def test_a_rejected_prefill_counts_as_a_try(site, tries):
    """The first accepted prefill does not count as a try; a rejected one does."""
    host, replicas = site.service("ppddd", tries=tries)
    for replica in replicas:
        replica.always = {"bounce": 503}
    request_id, answer = site.ask(host)
    assert answer.status == 503 and platform_site.request_count(replicas) <= tries


def test_a_replica_at_the_address_of_another_does_not_run_its_request(site):
    host, replicas = site.service("dd", engine=False, kind="once_only", tries=2, facts=PLAIN)
    replicas[0].name = "i-new"  # a new incarnation at the old address, not yet listed
    for _ in range(6):
        request_id, answer = site.ask(host, prompt=False)
        assert answer.status == 200 and [run["replica"] for run in site.platform.ran(request_id)] == [replicas[1].name]


def test_without_retry_budget_nothing_is_sent_again(site, monkeypatch):
    host, replicas = site.service("ddd", engine=False, kind="once_only", tries=3, facts=PLAIN)
    for replica in replicas:
        replica.always = {"bounce": 503}
    monkeypatch.setattr(site.router.retry_budget, "slack", 0.0)
    site.router.retry_budget.spent.append((site.environment.now(), len(site.router.retry_budget.request_times)))
    request_id, answer = site.ask(host, prompt=False)
    site.router.retry_budget.spent.clear()
    assert answer.status == 503 and answer.headers["Retry-After"] and platform_site.request_count(replicas) == 1


# --- replies without proof ------------------------------------------


@pytest.mark.parametrize("fault", INVALID_REPLIES, ids=str)
def test_an_invalid_reply_is_neither_forwarded_nor_retried(site, fault):
    for legs, engine, kind in (("ddd", False, "once_only"), ("pddd", True, "stream")):
        host, replicas = site.service(
            legs, engine, kind=kind, tries=3, facts={"events": 0 if kind == "once_only" else 4}
        )
        decode_replicas = replicas[-3:]
        for decode_replica in decode_replicas:
            decode_replica.always = fault
        request_id, answer = site.ask(host, prompt=engine)
        assert (
            answer.status in (502, 504)
            and platform_site.request_count(decode_replicas) == 1
            and len(site.platform.ran(request_id)) <= 1
        )
        assert "Postmark" not in answer.headers and b"piece" not in answer.body


@pytest.mark.parametrize("fault", INVALID_REPLIES, ids=str)
def test_a_repeatable_request_is_served_by_another_replica(site, fault):
    for legs, engine, more in (("ddd", False, {"kind": "repeatable"}), ("pddd", True, {"resumable": True})):
        host, replicas = site.service(legs, engine, tries=2, facts={"events": 4 if engine else 0}, **more)
        platform_site.inject_fault_once(replicas[-3:], fault)
        request_id, answer = site.ask(host, prompt=engine)
        assert (answer.status, answer.body) == (
            200,
            platform_site.event_bytes(1) if engine else b"said",
        ) and platform_site.request_count(replicas[-3:]) == 2
        assert answer.headers["Postmark"] == site.platform.ran(request_id)[-1]["stamp"]


@pytest.mark.parametrize("word", ["stale", "late"])
def test_a_surplus_reply_on_a_reused_connection_is_not_forwarded(site, word):
    host, (prefill_replica, decode_replica) = site.service("pd")
    decode_replica.always = {word: True}
    for _ in range(6):
        request_id, answer = site.ask(host)
        assert len(site.platform.ran(request_id)) <= 1 and b"surplus" not in answer.body
        assert (
            answer.status in (502, 503, 504)
            or answer.headers["Try-Id"] == request_id
            and answer.body == platform_site.event_bytes(1)
        )


# --- prefills ----------------------------------------------------------------


@pytest.mark.parametrize("resumable", [False, True])
def test_a_prefill_that_executed_the_request_counts_as_its_execution(site, resumable):
    host, replicas = site.service("ppdd", tries=2, resumable=resumable)
    for prefill_replica in replicas[:2]:
        prefill_replica.always = {"run": True}
    request_id, answer = site.ask(host)
    if resumable:  # may run again, with a new head
        last = site.platform.ran(request_id)[-1]
        assert (answer.status, answer.body, answer.headers["Postmark"]) == (
            200,
            platform_site.event_bytes(1),
            last["stamp"],
        )
        assert last["replica"] in [r.name for r in replicas[2:]]
    else:
        assert (
            len(site.platform.ran(request_id)) == 1
            and platform_site.request_count(replicas[2:]) == 0
            and answer.status in (502, 504)
        )


@pytest.mark.parametrize(
    "fault",
    [{"close": True}, {"garbage": b"??"}, {"id": "another"}, {"bounce": 503}, {"bounce": 421}, {"silent": True}],
    ids=str,
)
def test_after_a_failed_prefill_the_request_runs_once(site, fault):
    host, (prefill_replica, *decode_replicas) = site.service("pdd", tries=2)
    prefill_replica.always = fault
    request_id, answer = site.ask(host)
    assert (answer.status, answer.body) == (200, platform_site.event_bytes(1)) and len(
        site.platform.ran(request_id)
    ) == 1 == platform_site.request_count(decode_replicas)
    assert not next(r for w in decode_replicas for r in w.requests).get("Cache-From")


def test_a_lost_handle_proves_that_nothing_ran(site):
    host, (prefill_replica, *decode_replicas) = site.service("pddd", tries=2)
    platform_site.inject_fault_once(decode_replicas, {"forget": True})
    request_id, answer = site.ask(host)
    assert (
        (answer.status, answer.body) == (200, platform_site.event_bytes(1))
        and len(site.platform.ran(request_id)) == 1
        and platform_site.request_count(decode_replicas) == 2
    )
    platform_site.wait_until(lambda prefill_replica=prefill_replica: not prefill_replica.held)


def test_a_decode_replica_without_the_handle_reads_the_prompt_if_the_route_allows_one_try(site):
    host, (prefill_replica, *decode_replicas) = site.service("pdd", tries=1)
    platform_site.inject_fault_once(decode_replicas, {"forget": True})
    request_id, answer = site.ask(host)
    assert (answer.status, answer.body) == (200, platform_site.event_bytes(1)) and len(
        site.platform.ran(request_id)
    ) == 1
    (asked,) = [
        decode_replica for decode_replica in decode_replicas if decode_replica.requests
    ]  # one replica, asked twice
    assert [bool(request.get("Cache-From")) for request in asked.requests] == [True, False]


def test_two_rejections_by_a_decode_replica_end_a_request_with_one_try(site):
    host, (prefill_replica, *decode_replicas) = site.service("pdd", tries=1)
    for decode_replica in decode_replicas:
        decode_replica.always = {"bounce": 503}
    request_id, answer = site.ask(host)
    assert (
        answer.status == 503 and not site.platform.ran(request_id) and platform_site.request_count(decode_replicas) == 2
    )
    platform_site.wait_until(lambda prefill_replica=prefill_replica: not prefill_replica.held)


def test_a_decode_replica_whose_reply_proves_nothing_gets_no_second_send(site):
    host, (prefill_replica, *decode_replicas) = site.service("pdd", tries=1)
    for decode_replica in decode_replicas:
        decode_replica.always = {"close": True}
    request_id, answer = site.ask(host)
    assert answer.status == 502 and platform_site.request_count(decode_replicas) == 1


def test_handles_are_released_after_every_failure(site):
    for fault in [*INVALID_REPLIES, {"bounce": 503}, {"own": 500}, {"break": 0}, {"break": 2}]:
        host, (prefill_replica, *decode_replicas) = site.service("pdd", tries=2)
        for decode_replica in decode_replicas:
            decode_replica.always = fault
        site.ask(host)
        platform_site.wait_until(lambda prefill_replica=prefill_replica: not prefill_replica.held)


# --- callers and time ----------------------------------------------------------


@pytest.mark.parametrize("kind", ["once_only", "repeatable"])
def test_the_wait_for_a_silent_replica_ends_at_the_callers_deadline(site, kind):
    host, replicas = site.service("ddd", engine=False, kind=kind, tries=1, deadline_ms=700, facts=PLAIN)
    for replica in replicas:
        replica.always = {"silent": True}
    request_id, answer = site.ask(host, prompt=False)
    assert answer.status == 504 and 0.5 < answer.duration_s < 1.2 and platform_site.request_count(replicas) == 1


def test_a_body_over_the_limit_is_413_and_sent_nowhere(site):
    host, (replica,) = site.service("d", engine=False)
    status = platform_site.ask(
        site.address, "POST", "/p/x", None, [("Host", host), ("Content-Length", constants.MAX_BODY_BYTES + 1)]
    ).status
    assert status == 413 and replica.requests == []
