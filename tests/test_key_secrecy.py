"""API keys never appear at replicas, in logs, counters, pages, error texts or records; on disk only once.

Each test exercises one path of a request or of an operator's call, and then searches all output for the key.
"""

import json

import eliot
import pytest

import mothshed.data_plane.delivery as delivery
import mothshed.data_plane.permits as permits
import mothshed.runtime.log_buffer as log_buffer
import mothshed.transport.records as records
import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site

KEY, MISTYPED = "zq7-secret-92cqf75rjvz48wuakn2f", "zq7-secret-mistyped"
MARK = "zq7-secret"  # part of every key here
TENANTS = [{"name": "kaje80", "permits": [KEY], "rate_per_s": 5}, {"name": "nono58", "permits": [KEY + "-b"]}]
BEARER = [("Authorization", f"Bearer {KEY}")]


@pytest.fixture
def log_file(tmp_path, monkeypatch):
    """The file that the log buffer is written to; the buffer is empty at the start."""
    monkeypatch.setattr(log_buffer, "STATE", dict(log_buffer.STATE, path=f"{tmp_path}/ring", last=-1e9, name="test"))
    monkeypatch.setattr(log_buffer, "JOURNALS", [])
    eliot.add_destinations(log_buffer.handle_message)
    log_buffer.MESSAGES.clear()
    yield tmp_path / "ring"
    eliot.remove_destination(log_buffer.handle_message)
    log_buffer.MESSAGES.clear()


def crash(_sequence, _document, _pool, request, *_more):
    """Raise an error whose text contains the request."""
    raise RuntimeError(f"no plan for {request!r}")


@pytest.fixture
def site(log_file, monkeypatch):
    """A site that records its requests as they were read (`read_requests`) and grants every permit."""
    site = platform_site.Site()
    site.read_requests = []
    original = delivery.Delivery.__init__

    def record(self, router, request):
        site.read_requests.append(request)
        original(self, router, request)

    monkeypatch.setattr(delivery.Delivery, "__init__", record)
    monkeypatch.setattr(site.router.permits, "take", lambda *order: None)
    log_buffer.attach_journal(site.router.journal)
    site.lease.active = site.lease.staged = 0  # needed by the condition page of the router
    site.lease.change(senders=TENANTS)
    yield site
    site.stop()


def log_output(log_file):
    """Everything that the log buffer holds or has written, with the events of the journals."""
    log_buffer.write()
    return log_file.read_text()


def request_output(site, response, replicas, log_file):
    """Everything that a request left behind, except at the caller itself."""
    router = site.router
    return "\n".join(
        [
            repr([(r.method, r.target, r.headers, r.body) for replica in replicas for r in replica.requests]),
            repr([(response.status, response.headers.items(), response.body)]),
            repr(list(router.journal.events)),
            router.totals.text(router.environment.figures()),
            json.dumps(router.condition(), default=repr),
            repr(site.read_requests),
            repr(vars(router.permits)),
            repr(router.lease.document()["tenants"] if router.lease.document() else None),
            log_output(log_file),
        ]
    )


def test_the_key_of_a_served_request_never_appears(site, log_file):
    for roles, engine in (("pd", True), ("d", True), ("d", False)):
        host, replicas = site.service(roles, engine=engine)
        _request_id, response = site.ask(host, headers=BEARER)
        assert response.status == 200 and MARK not in request_output(site, response, replicas, log_file)


def test_the_key_of_a_resumed_stream_never_appears(site, log_file):
    host, replicas = site.service("pdd", resumable=True, tries=2)
    platform_site.inject_fault_once(replicas[1:], {"break": 2})
    _request_id, response = site.ask(host, headers=BEARER)
    assert response.complete and response.body == platform_site.event_bytes()
    assert MARK not in request_output(site, response, replicas, log_file)


@pytest.mark.parametrize(
    "headers",
    [
        [("Authorization", f"Bearer {MISTYPED}")],
        [*BEARER, *BEARER],
        [("Authorization", f"Basic {KEY}")],
        [("Authorization", KEY)],
    ],
    ids=["mistyped", "two", "another scheme", "no scheme"],
)
def test_the_key_of_a_request_refused_for_it_never_appears(site, log_file, headers):
    host, replicas = site.service("d", engine=False)
    _request_id, response = site.ask(host, headers=headers)
    assert response.status == 401 and MARK not in request_output(site, response, replicas, log_file)


def test_the_key_of_a_request_over_the_limit_never_appears(site, log_file, monkeypatch):
    def refuse(*_arguments):
        raise permits.over_limit_rejection(1.0)

    monkeypatch.setattr(site.router.permits, "take", refuse)
    host, replicas = site.service("d", engine=False)
    _request_id, response = site.ask(host, headers=BEARER)
    assert response.status == 429 and MARK not in request_output(site, response, replicas, log_file)


def test_the_key_of_a_request_without_a_replica_never_appears(site, log_file):
    host, replicas = site.service("")
    _request_id, response = site.ask(host, headers=BEARER)
    assert response.status == 503 and MARK not in request_output(site, response, replicas, log_file)


def test_the_key_of_a_request_without_a_lease_never_appears(site, log_file):
    host, replicas = site.service("d", engine=False)
    site.lease.form = None
    _request_id, response = site.ask(host, headers=BEARER)
    assert response.status == 503 and MARK not in request_output(site, response, replicas, log_file)


@pytest.mark.parametrize("fault", [{"close": 1}, {"own": 500}, {"garbage": b"no answer\r\n\r\n"}, {"stamp": False}])
def test_the_key_of_a_request_that_failed_at_its_replica_never_appears(site, log_file, fault):
    host, replicas = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    replicas[0].always = fault
    _request_id, response = site.ask(host, headers=BEARER)
    assert response.status >= 500 and MARK not in request_output(site, response, replicas, log_file)


def test_a_crash_report_that_contains_the_request_contains_no_key(site, log_file, monkeypatch):
    monkeypatch.setattr(site.router.placement, "reserve_pair", crash)
    host, replicas = site.service("d", engine=False)
    _request_id, response = site.ask(host, headers=BEARER)
    output = request_output(site, response, replicas, log_file)
    assert response.status == 502 and "no plan for" in output and MARK not in output


def test_a_crash_report_contains_no_authorization_where_no_key_is_required(site, log_file, monkeypatch):
    del site.lease.said["senders"]
    monkeypatch.setattr(site.router.placement, "reserve_pair", crash)
    host, replicas = site.service("d", engine=False)
    _request_id, response = site.ask(host, headers=BEARER)
    output = request_output(site, response, replicas, log_file)
    assert response.status == 502 and "no plan for" in output and MARK not in output


@pytest.fixture
def nodes(tmp_path, log_file):
    nodes = platform_nodes.Nodes(tmp_path / "data")
    log_buffer.attach_journal(nodes.router.journal)
    log_buffer.attach_journal(nodes.keeper.journal)
    yield nodes
    nodes.stop()


@pytest.fixture
def packed(monkeypatch):
    """Every record between processes, in packed form."""
    records_sent = []
    original = records.Codec.pack

    def record(self, name, body, release=None):
        records_sent.append(original(self, name, body, release))
        return records_sent[-1]

    monkeypatch.setattr(records.Codec, "pack", record)
    return records_sent


def fetch(nodes, path):
    response = platform_site.ask(nodes.address, "GET", path, None, [("Host", "k")])
    assert response.status in (200, 503)
    return response.body.decode()


def patch(nodes, base, **items):
    body = json.dumps({"edition": base + 1, **items}).encode()
    return platform_site.ask(nodes.address, "PATCH", "/configuration", body, [("Host", "k"), ("If-Match", str(base))])


def nodes_output(nodes, log_file, packed):
    return "\n".join(
        [
            *(fetch(nodes, path) for path in ("/condition", "/metrics", "/configuration/history")),
            repr(list(nodes.keeper.journal.events) + list(nodes.router.journal.events)),
            repr(nodes.router.lease.docs),
            repr(packed),
            log_output(log_file),
        ]
    )


def test_the_keys_of_a_configuration_are_returned_to_its_operator_only(nodes, log_file, packed):
    first = platform_nodes.document(3, senders=TENANTS)
    assert nodes.put(first, 0).body == b'{"edition": 3}'
    assert patch(nodes, 3, deliver={"senders": [{"name": "late", "permits": [KEY + "-c"]}]}).status == 200
    platform_site.wait_until(lambda: nodes.router.lease.sequence() == 4)
    assert nodes.get()[1]["senders"][-1] == {"name": "late", "permits": [KEY + "-c"]}
    assert packed and MARK not in nodes_output(nodes, log_file, packed)


INVALID_SENDERS = {
    "shared": [{"name": "a", "permits": [KEY]}, {"name": "b", "permits": [KEY]}],
    "half a character": [{"name": "a", "permits": [KEY + "\ud800"]}],
    "no list": [{"name": "a", "permits": KEY}],
    "no text": [{"name": "a", "permits": [{KEY: 1}]}],
    "no name": [{"permits": [KEY]}],
    "no row": [KEY],
    "an odd rate": [{"name": "a", "permits": [KEY], "rate_per_s": "x"}],
    "no senders": {"a": KEY},
    "a text": KEY,
}


def test_the_response_to_an_invalid_configuration_contains_no_key(nodes, log_file, packed):
    for name, rows in INVALID_SENDERS.items():
        body = platform_nodes.document(3, senders=rows)
        responses = [
            nodes.put(body, 0),
            nodes.put(json.dumps(body).encode()[:-1], 0),
            nodes.put(json.dumps(body).encode() + b"\xff", 0),
            patch(nodes, 0, deliver={"senders": rows}),
        ]
        assert [response.status for response in responses] == [400] * 4, name
        assert MARK not in repr([response.body for response in responses]), name
    assert MARK not in nodes_output(nodes, log_file, packed)


def test_on_disk_a_key_appears_only_in_the_document_as_sent_by_the_operator(nodes):
    assert nodes.put(platform_nodes.document(3, senders=TENANTS), 0).status == 200
    stored = nodes.keeper.members[0].machine.docs[3]["doc"]
    assert MARK in repr(stored["as_sent"])
    assert MARK not in repr({key: value for key, value in stored.items() if key != "as_sent"})
