"""A router on the platform when replicas fail: what runs again, what never does, what callers are told."""

import pytest

import mothshed.constants as constants
import tests.platform_site as platform_site

PLAIN = {"events": 0}
NOT_ANSWERS = [
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
    platform_site.let(replicas, {"bounce": status})
    own, answer = site.ask(host, prompt=False)
    assert answer.status == 200 and platform_site.asked(replicas) == 2 and len(site.platform.ran(own)) == 1


@pytest.mark.parametrize("tries", [1, 2, 3])
def test_never_more_replicas_than_tries_and_then_a_refusal_that_holds(site, tries):
    host, replicas = site.service("ddddd", engine=False, kind="once_only", tries=tries, facts=PLAIN)
    for replica in replicas:
        replica.always = {"bounce": 503}
    own, answer = site.ask(host, prompt=False)
    assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0
    assert (
        platform_site.asked(replicas) == tries
        and max(len(r.asked) for r in replicas) == 1
        and site.platform.ran(own) == []
    )


@pytest.mark.parametrize("tries", [1, 2])
def test_a_prefill_turned_away_counts_among_the_tries(site, tries):
    """The first prefill that is taken up counts for nothing; one turned away is a try like any other."""
    host, replicas = site.service("ppddd", tries=tries)
    for replica in replicas:
        replica.always = {"bounce": 503}
    own, answer = site.ask(host)
    assert answer.status == 503 and platform_site.asked(replicas) <= tries


def test_a_replica_in_the_place_of_another_does_not_run_it(site):
    host, replicas = site.service("dd", engine=False, kind="once_only", tries=2, facts=PLAIN)
    replicas[0].name = "i-new"  # a new life on the old address, before the list shows it
    for _ in range(6):
        own, answer = site.ask(host, prompt=False)
        assert answer.status == 200 and [run["replica"] for run in site.platform.ran(own)] == [replicas[1].name]


def test_with_the_budget_spent_nothing_is_sent_again(site, monkeypatch):
    host, replicas = site.service("ddd", engine=False, kind="once_only", tries=3, facts=PLAIN)
    for replica in replicas:
        replica.always = {"bounce": 503}
    monkeypatch.setattr(site.router.retry_budget, "slack", 0.0)
    site.router.retry_budget.spent.append((site.environment.now(), len(site.router.retry_budget.request_times)))
    own, answer = site.ask(host, prompt=False)
    site.router.retry_budget.spent.clear()
    assert answer.status == 503 and answer.headers["Retry-After"] and platform_site.asked(replicas) == 1


# --- replies that belong to nobody ------------------------------------------


@pytest.mark.parametrize("fault", NOT_ANSWERS, ids=str)
def test_what_is_no_answer_of_this_request_is_never_passed_on_nor_sent_again(site, fault):
    for legs, engine, kind in (("ddd", False, "once_only"), ("pddd", True, "stream")):
        host, replicas = site.service(
            legs, engine, kind=kind, tries=3, facts={"events": 0 if kind == "once_only" else 4}
        )
        writers = replicas[-3:]
        for writer in writers:
            writer.always = fault
        own, answer = site.ask(host, prompt=engine)
        assert answer.status in (502, 504) and platform_site.asked(writers) == 1 and len(site.platform.ran(own)) <= 1
        assert "Postmark" not in answer.headers and b"piece" not in answer.body


@pytest.mark.parametrize("fault", NOT_ANSWERS, ids=str)
def test_what_may_be_repeated_is_served_by_another_replica(site, fault):
    for legs, engine, more in (("ddd", False, {"kind": "repeatable"}), ("pddd", True, {"resumable": True})):
        host, replicas = site.service(legs, engine, tries=2, facts={"events": 4 if engine else 0}, **more)
        platform_site.let(replicas[-3:], fault)
        own, answer = site.ask(host, prompt=engine)
        assert (answer.status, answer.body) == (
            200,
            platform_site.pieces(1) if engine else b"said",
        ) and platform_site.asked(replicas[-3:]) == 2
        assert answer.headers["Postmark"] == site.platform.ran(own)[-1]["stamp"]


@pytest.mark.parametrize("word", ["stale", "late"])
def test_a_surplus_answer_on_a_kept_connection_is_given_to_nobody(site, word):
    host, (reader, writer) = site.service("pd")
    writer.always = {word: True}
    for _ in range(6):
        own, answer = site.ask(host)
        assert len(site.platform.ran(own)) <= 1 and b"surplus" not in answer.body
        assert (
            answer.status in (502, 503, 504)
            or answer.headers["Try-Id"] == own
            and answer.body == platform_site.pieces(1)
        )


# --- prefills ----------------------------------------------------------------


@pytest.mark.parametrize("resumable", [False, True])
def test_a_prefill_that_ran_is_a_run(site, resumable):
    host, replicas = site.service("ppdd", tries=2, resumable=resumable)
    for reader in replicas[:2]:
        reader.always = {"run": True}
    own, answer = site.ask(host)
    if resumable:  # may run again, under a head of its own
        last = site.platform.ran(own)[-1]
        assert (answer.status, answer.body, answer.headers["Postmark"]) == (200, platform_site.pieces(1), last["stamp"])
        assert last["replica"] in [r.name for r in replicas[2:]]
    else:
        assert (
            len(site.platform.ran(own)) == 1 and platform_site.asked(replicas[2:]) == 0 and answer.status in (502, 504)
        )


@pytest.mark.parametrize(
    "fault",
    [{"close": True}, {"garbage": b"??"}, {"id": "another"}, {"bounce": 503}, {"bounce": 421}, {"silent": True}],
    ids=str,
)
def test_a_prefill_that_fails_leaves_the_request_to_be_run_once(site, fault):
    host, (reader, *writers) = site.service("pdd", tries=2)
    reader.always = fault
    own, answer = site.ask(host)
    assert (answer.status, answer.body) == (200, platform_site.pieces(1)) and len(
        site.platform.ran(own)
    ) == 1 == platform_site.asked(writers)
    assert not next(r for w in writers for r in w.asked).get("Cache-From")


def test_a_handle_that_is_gone_is_a_proof_that_nothing_ran(site):
    host, (reader, *writers) = site.service("pddd", tries=2)
    platform_site.let(writers, {"forget": True})
    own, answer = site.ask(host)
    assert (
        (answer.status, answer.body) == (200, platform_site.pieces(1))
        and len(site.platform.ran(own)) == 1
        and platform_site.asked(writers) == 2
    )
    platform_site.until(lambda reader=reader: not reader.held)


def test_a_writer_that_cannot_have_the_memory_reads_the_prompt_itself_where_the_route_allows_no_other(site):
    host, (reader, *writers) = site.service("pdd", tries=1)
    platform_site.let(writers, {"forget": True})
    own, answer = site.ask(host)
    assert (answer.status, answer.body) == (200, platform_site.pieces(1)) and len(site.platform.ran(own)) == 1
    (asked,) = [writer for writer in writers if writer.asked]  # one replica, asked twice
    assert [bool(request.get("Cache-From")) for request in asked.asked] == [True, False]


def test_a_writer_that_turns_both_sends_away_ends_a_request_that_may_go_to_one_replica(site):
    host, (reader, *writers) = site.service("pdd", tries=1)
    for writer in writers:
        writer.always = {"bounce": 503}
    own, answer = site.ask(host)
    assert answer.status == 503 and not site.platform.ran(own) and platform_site.asked(writers) == 2
    platform_site.until(lambda reader=reader: not reader.held)


def test_a_writer_whose_answer_proves_nothing_is_not_asked_again(site):
    host, (reader, *writers) = site.service("pdd", tries=1)
    for writer in writers:
        writer.always = {"close": True}
    own, answer = site.ask(host)
    assert answer.status == 502 and platform_site.asked(writers) == 1


def test_no_handle_is_left_behind_by_any_failure(site):
    for fault in [*NOT_ANSWERS, {"bounce": 503}, {"own": 500}, {"break": 0}, {"break": 2}]:
        host, (reader, *writers) = site.service("pdd", tries=2)
        for writer in writers:
            writer.always = fault
        site.ask(host)
        platform_site.until(lambda reader=reader: not reader.held)


# --- callers and time ----------------------------------------------------------


@pytest.mark.parametrize("kind", ["once_only", "repeatable"])
def test_a_silent_replica_is_waited_for_no_longer_than_the_caller_waits(site, kind):
    host, replicas = site.service("ddd", engine=False, kind=kind, tries=1, deadline_ms=700, facts=PLAIN)
    for replica in replicas:
        replica.always = {"silent": True}
    own, answer = site.ask(host, prompt=False)
    assert answer.status == 504 and 0.5 < answer.span < 1.2 and platform_site.asked(replicas) == 1


def test_a_body_over_the_limit_is_413_and_sent_nowhere(site):
    host, (replica,) = site.service("d", engine=False)
    status = platform_site.ask(
        site.address, "POST", "/p/x", None, [("Host", host), ("Content-Length", constants.MAX_BODY_BYTES + 1)]
    ).status
    assert status == 413 and replica.asked == []
