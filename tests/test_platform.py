"""A router on the platform over real sockets: the normal path, and what is forwarded unchanged."""

import time

import pytest

import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

PIECES = b"".join(stand_in.event(n, 4) for n in range(1, 5))


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def held(replica):
    return dict(replica.held)


def test_prefill_and_decode_run_on_different_replicas(site):
    host, (prefill_replica, decode_replica) = site.service("pd")
    request_id, answer = site.ask(host)
    assert (answer.status, answer.body, answer.complete) == (200, PIECES, True)
    (first,), (second,) = prefill_replica.requests, decode_replica.requests
    assert first.get("Leg") == "prefill" and not first.get("Cache-From")
    assert not second.get("Leg") and second.get("Cache-From").startswith(prefill_replica.address + "/")
    assert [r.get("Expect-Replica") for r in (first, second)] == [prefill_replica.name, decode_replica.name]
    assert {r.get("Try-Id") for r in (first, second)} == {request_id}
    assert all(0 < int(r.get("Time-Left")) <= 4000 for r in (first, second))
    (run,) = site.platform.ran(request_id)
    assert run["replica"] == decode_replica.name and answer.headers.get_all("Postmark") == [run["stamp"]]
    assert answer.headers.get_all("Try-Id") == [request_id] and answer.headers["Weight-Versions"] == "m=1"
    assert answer.headers["Content-Type"] == "text/event-stream"


def test_a_handle_is_released_after_the_first_event_and_not_shown_to_the_caller(site):
    host, (prefill_replica, decode_replica) = site.service("pd", facts={"gap": 0.3})
    started_at = time.monotonic()
    request_id, answer = site.ask(host)
    handle = decode_replica.requests[0].get("Cache-From").partition("/")[2]
    platform_site.wait_until(lambda: prefill_replica.released == [handle], 1.0)
    assert held(prefill_replica) == {} and time.monotonic() - started_at > 0.9  # the stream was still running
    response = answer.body + str(answer.headers).encode()
    assert (
        handle.encode() not in response
        and b"consignment" not in response
        and prefill_replica.address.encode() not in response
    )


def test_the_handle_of_one_request_is_never_given_to_another(site):
    host, (prefill_replica, decode_replica) = site.service("pd")
    for _ in range(5):
        site.ask(host)
    sources = [r.get("Cache-From") for r in decode_replica.requests]
    assert len(set(sources)) == 5 and all(site.platform.ran(r.get("Try-Id")) for r in decode_replica.requests)


@pytest.mark.parametrize(
    "method, target, body",
    [
        ("POST", "/p/a%2Fb%20c%25?x=%41&y=a+b%26&y=", b"\x00\xff{}\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
        ("GET", "/p/?", None),
        ("PUT", "/p//b/./../c;d=1?q=/p/?#", b"x" * 70000),
        ("DELETE", "/p/%7Euser/~user/%e4%f6", None),
        ("PATCH", "/p/x?a=b%0d%0ac", b""),
        ("OPTIONS", "/p/x", b"o"),
    ],
)
def test_method_path_query_and_body_reach_the_replica_as_they_came(site, method, target, body):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    request_id, answer = site.ask(host, target, body, method, prompt=False)
    (seen,) = replica.requests
    assert answer.status == 200 and (seen.method, seen.target, seen.body) == (method, target, body or b"")
    assert answer.body == b"said" and answer.headers["Content-Type"] == "text/x-own"


@pytest.mark.parametrize("size", [0, 1, 200000])
def test_a_body_in_chunks_arrives_whole(site, size):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    request_id, answer = site.ask(host, body=b"y" * size, prompt=False, chunked=True)
    assert answer.status == 200 and replica.requests[0].body == b"y" * size


def test_headers_are_forwarded_except_hop_by_hop_ones(site):
    host, (prefill_replica, decode_replica) = site.service("pd")
    rows = [
        ("X-Own", 'a, b;c="d"'),
        ("Cookie", "k=v; l=w"),
        ("Accept", "*/*"),
        ("User-Agent", "own/1"),
        ("Accept-Encoding", "identity"),
        ("Connection", "close, X-Private"),
        ("X-Private", "1"),
        ("Keep-Alive", "timeout=3"),
        ("TE", "trailers"),
        ("Content-Type", "text/own; charset=x"),
        ("Authorization", "Bearer z"),
    ]
    request_id, answer = site.ask(host, headers=rows)
    assert answer.status == 200
    for seen in (prefill_replica.requests[0], decode_replica.requests[0]):
        for name, value in rows:
            one = name not in ("Connection", "X-Private", "Keep-Alive", "TE")
            assert seen.all(name) == ([value] if one else []), name
        for name, value in platform_site.PROMPT.items():
            assert seen.all(name) == [value]
        assert seen.all("Host") == [host]


def test_a_header_that_comes_twice_is_passed_on_with_both_values(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    site.ask(host, headers=[("X-Twice", "one"), ("X-Twice", "two")], prompt=False)
    seen = [w.strip() for v in replica.requests[0].all("X-Twice") for w in v.split(",")]
    assert seen == ["one", "two"]


def test_an_urgency_that_the_caller_gave_is_left_as_it_is(site):
    host, (prefill_replica, decode_replica) = site.service("pd")
    site.ask(host, headers=[("Urgency", "7")])
    assert [r.all("Urgency") for r in (prefill_replica.requests[0], decode_replica.requests[0])] == [["7"], ["7"]]


def test_a_request_without_a_declared_prompt_has_no_prefill(site):
    host, (prefill_replica, decode_replica) = site.service("pd")
    request_id, answer = site.ask(host, prompt=False)
    assert answer.status == 200 and answer.body == PIECES and prefill_replica.requests == []
    assert not decode_replica.requests[0].get("Cache-From")


def test_a_caller_that_resumes_after_an_event_gets_the_rest_only(site):
    host, (prefill_replica, decode_replica) = site.service("pd", resumable=True)
    request_id, answer = site.ask(host, headers=[("Last-Event-Id", "2")])
    assert decode_replica.requests[0].all("Last-Event-Id") == ["2"]
    assert answer.body == b"".join(stand_in.event(n, 4) for n in (3, 4)) and answer.complete


@pytest.mark.parametrize("most, size, status", [(6000000, 5000000, 200), (100000, 100000, 200), (100000, 100001, 413)])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_may_be_as_long_as_the_caps_in_force_allow(site, most, size, status, chunked):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    site.lease.change(caps={"parcel_bytes": most})
    try:
        request_id, answer = site.ask(host, body=b"z" * size, prompt=False, chunked=chunked)
    finally:
        site.lease.change(caps={})
    assert answer.status == status and [len(r.body) for r in replica.requests] == ([size] if status == 200 else [])


@pytest.mark.parametrize(
    "events, kind, more",
    [(0, "once_only", []), (0, "repeatable", []), (0, "stream", []), (4, "stream", [("Last-Event-Id", "4")])],
)
def test_an_empty_body_is_complete(site, events, kind, more):
    host, (replica,) = site.service("d", engine=False, kind=kind, facts={"events": events, "body": b""})
    request_id, answer = site.ask(host, headers=more, prompt=False)
    assert (answer.status, answer.body, answer.complete) == (200, b"", True) and len(site.platform.ran(request_id)) == 1


@pytest.mark.parametrize("host, target", [(None, "/q/x"), (None, "/p"), ("nobody.example", "/p/x"), ("", "/p/x")])
def test_without_a_route_the_answer_is_404(site, host, target):
    own_host, (replica,) = site.service("d", engine=False)
    request_id, answer = site.ask(own_host if host is None else host, target)
    assert answer.status == 404 and replica.requests == []


def test_the_longest_prefix_matches_and_a_removed_route_is_404(site):
    host, (replica,) = site.service("d", engine=False, kind="repeatable", facts={"events": 0, "body": b"short"})
    inner, (other,) = site.service("d", engine=False, kind="repeatable", facts={"events": 0, "body": b"long"})
    site.lease.change([platform_site.route("inner", host, other.depot, prefix="/p/in/")])
    assert [site.ask(host, t, prompt=False)[1].body for t in ("/p/in/x", "/p/inner", "/p/")] == [
        b"long",
        b"short",
        b"short",
    ]
    site.lease.change(without=[f"r-{replica.depot}"])
    assert [site.ask(host, t, prompt=False)[1].status for t in ("/p/in/x", "/p/inner")] == [200, 404]


def test_without_a_replica_a_request_is_refused_promptly_with_retry_after(site):
    host, none = site.service("")
    request_id, answer = site.ask(host)
    assert answer.status == 503 and answer.duration_s < 1.0 and 0 < float(answer.headers["Retry-After"]) <= 2
    assert "Postmark" not in answer.headers


def test_without_a_lease_a_request_is_refused_promptly(site, monkeypatch):
    host, (replica,) = site.service("d", engine=False)
    monkeypatch.setattr(site.lease, "sequence", lambda: None)
    request_id, answer = site.ask(host)
    assert answer.status == 503 and answer.duration_s < 1.0 and answer.headers["Retry-After"] and replica.requests == []


@pytest.mark.parametrize("kind", ["stream", "repeatable", "once_only"])
@pytest.mark.parametrize("status", [500, 504, 404])
def test_a_replicas_own_failure_is_passed_on_unchanged(site, kind, status):
    host, replicas = site.service("dd", engine=False, kind=kind, facts={"events": 4 if kind == "stream" else 0})
    for replica in replicas:
        replica.always = {"own": status}
    request_id, answer = site.ask(host, prompt=False)
    (run,) = site.platform.ran(request_id)  # tries is 1
    assert (answer.status, answer.body, answer.headers["Postmark"]) == (status, b"own failure", run["stamp"])


def test_all_pages_of_the_list_are_read_and_leaving_replicas_get_no_new_requests(site, monkeypatch):
    monkeypatch.setattr(site.platform, "page", 2)
    host, replicas = site.service("d" * 7, engine=False, kind="repeatable", facts={"events": 0})
    for replica in replicas[:5]:
        replica.facts["condition"] = "winding_down"
    platform_site.wait_until(
        lambda: set(site.router.replicas.usable({"service": replicas[0].depot})) == {r.name for r in replicas[5:]}
    )
    before = [len(r.requests) for r in replicas[:5]]
    assert all(site.ask(host, prompt=False)[1].status == 200 for _ in range(12))
    assert [len(r.requests) for r in replicas[:5]] == before and all(r.requests for r in replicas[5:])


def test_after_a_failed_list_request_the_previous_list_stays_in_use(site, monkeypatch):
    host, (replica,) = site.service("d", engine=False)
    calls = site.platform.calls
    monkeypatch.setattr(site.platform, "status", 429)
    platform_site.wait_until(lambda: site.platform.calls > calls + 2)
    assert site.ask(host, prompt=False)[1].status == 200


@pytest.mark.parametrize(
    "status, taken", [(202, True), (200, True), (409, False), (412, False), (400, False), (421, False)]
)
def test_the_outcome_of_an_order_without_a_response_body_follows_its_status(site, status, taken):
    host, (replica,) = site.service("p")
    replica.order_status = status
    place = site.router.replicas.endpoint(replica.name)
    assert site.router.replica_protocol.order_role(site.environment, place, "decode", 41, "k1", 3) == taken
    assert replica.orders == [{"order": "leg", "leg": "decode", "bearer": "k1", "fence_no": 41}]


def test_one_an_order_is_rejected_by_another_replica_that_now_has_the_address(site):
    host, (replica,) = site.service("p")
    place = site.router.replicas.endpoint(replica.name)
    replica.name = "i-another"  # a new incarnation, perhaps of another service, not yet listed
    assert not site.router.replica_protocol.order_role(site.environment, place, "decode", 41, "k1", 3)
    assert replica.orders == []
