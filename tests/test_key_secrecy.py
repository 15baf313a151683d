"""A tenant's key shows nowhere: not at replicas, in logs, counters, pages, error texts or records; on disk only once.

Each test brings one way of a request, or of an order, about and then searches all that was written or may be shown.
"""

import json

import eliot
import pytest

import mothshed.data_plane.delivery as delivery
import mothshed.data_plane.permits as permits
import mothshed.runtime.log_buffer as log_buffer
import mothshed.transport.records as records
import tests.platform_door as platform_door
import tests.platform_site as platform_site

KEY, MISTYPED = "zq7-secret-92cqf75rjvz48wuakn2f", "zq7-secret-mistyped"
MARK = "zq7-secret"  # stands in every key here
TENANTS = [{"name": "kaje80", "permits": [KEY], "rate_per_s": 5}, {"name": "nono58", "permits": [KEY + "-b"]}]
BEARER = [("Authorization", f"Bearer {KEY}")]


@pytest.fixture
def ring_file(tmp_path, monkeypatch):
    """The file that the log buffer is written to; what stood in memory before is forgotten."""
    monkeypatch.setattr(log_buffer, "STATE", dict(log_buffer.STATE, path=f"{tmp_path}/ring", last=-1e9, name="test"))
    monkeypatch.setattr(log_buffer, "JOURNALS", [])
    eliot.add_destinations(log_buffer.handle_message)
    log_buffer.MESSAGES.clear()
    yield tmp_path / "ring"
    eliot.remove_destination(log_buffer.handle_message)
    log_buffer.MESSAGES.clear()


def crash(_sequence, _document, _pool, ask, *_more):
    """Stands in for a part whose fault shows the request."""
    raise RuntimeError(f"no plan for {ask!r}")


@pytest.fixture
def site(ring_file, monkeypatch):
    """A site whose requests are kept as they were read (`read_requests`) and that grants every permit."""
    found = platform_site.Site()
    found.read_requests = []
    former = delivery.Delivery.__init__

    def keep(self, router, ask):
        found.read_requests.append(ask)
        former(self, router, ask)

    monkeypatch.setattr(delivery.Delivery, "__init__", keep)
    monkeypatch.setattr(found.router.permits, "take", lambda *order: None)
    log_buffer.attach_journal(found.router.journal)
    found.lease.active = found.lease.staged = 0  # for the page of the router's condition
    found.lease.change(senders=TENANTS)
    yield found
    found.stop()


def shown_by_ring(ring_file):
    """Everything the log buffer holds or has written, with the journals' events."""
    log_buffer.write()
    return ring_file.read_text()


def shown(site, answer, replicas, ring_file):
    """Everything that a request left behind, but for the caller's own memory of it."""
    router = site.router
    return "\n".join(
        [
            repr([(r.method, r.target, r.headers, r.body) for replica in replicas for r in replica.asked]),
            repr([(answer.status, answer.headers.items(), answer.body)]),
            repr(list(router.journal.events)),
            router.totals.text(router.environment.figures()),
            json.dumps(router.condition(), default=repr),
            repr(site.read_requests),
            repr(vars(router.permits)),
            repr(router.lease.document()["tenants"] if router.lease.document() else None),
            shown_by_ring(ring_file),
        ]
    )


def test_a_served_request_shows_its_key_nowhere(site, ring_file):
    for legs, engine in (("pd", True), ("d", True), ("d", False)):
        host, replicas = site.service(legs, engine=engine)
        _own, answer = site.ask(host, headers=BEARER)
        assert answer.status == 200 and MARK not in shown(site, answer, replicas, ring_file)


def test_a_stream_that_is_taken_up_again_shows_its_key_nowhere(site, ring_file):
    host, replicas = site.service("pdd", resumable=True, tries=2)
    platform_site.let(replicas[1:], {"break": 2})
    _own, answer = site.ask(host, headers=BEARER)
    assert answer.complete and answer.body == platform_site.pieces()
    assert MARK not in shown(site, answer, replicas, ring_file)


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
def test_a_request_refused_for_its_key_shows_it_nowhere(site, ring_file, headers):
    host, replicas = site.service("d", engine=False)
    _own, answer = site.ask(host, headers=headers)
    assert answer.status == 401 and MARK not in shown(site, answer, replicas, ring_file)


def test_a_request_over_the_limit_shows_its_key_nowhere(site, ring_file, monkeypatch):
    def refuse(*_order):
        raise permits.over_limit(1.0)

    monkeypatch.setattr(site.router.permits, "take", refuse)
    host, replicas = site.service("d", engine=False)
    _own, answer = site.ask(host, headers=BEARER)
    assert answer.status == 429 and MARK not in shown(site, answer, replicas, ring_file)


def test_a_request_without_a_replica_shows_its_key_nowhere(site, ring_file):
    host, replicas = site.service("")
    _own, answer = site.ask(host, headers=BEARER)
    assert answer.status == 503 and MARK not in shown(site, answer, replicas, ring_file)


def test_a_request_without_a_lease_shows_its_key_nowhere(site, ring_file):
    host, replicas = site.service("d", engine=False)
    site.lease.form = None
    _own, answer = site.ask(host, headers=BEARER)
    assert answer.status == 503 and MARK not in shown(site, answer, replicas, ring_file)


@pytest.mark.parametrize("fault", [{"close": 1}, {"own": 500}, {"garbage": b"no answer\r\n\r\n"}, {"stamp": False}])
def test_a_request_that_failed_at_its_replica_shows_its_key_nowhere(site, ring_file, fault):
    host, replicas = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    replicas[0].always = fault
    _own, answer = site.ask(host, headers=BEARER)
    assert answer.status >= 500 and MARK not in shown(site, answer, replicas, ring_file)


def test_a_crash_that_shows_the_request_shows_no_key(site, ring_file, monkeypatch):
    monkeypatch.setattr(site.router.placement, "reserve_pair", crash)
    host, replicas = site.service("d", engine=False)
    _own, answer = site.ask(host, headers=BEARER)
    found = shown(site, answer, replicas, ring_file)
    assert answer.status == 502 and "no plan for" in found and MARK not in found


def test_where_no_key_is_asked_for_a_crash_shows_no_authorization(site, ring_file, monkeypatch):
    del site.lease.said["senders"]
    monkeypatch.setattr(site.router.placement, "reserve_pair", crash)
    host, replicas = site.service("d", engine=False)
    _own, answer = site.ask(host, headers=BEARER)
    found = shown(site, answer, replicas, ring_file)
    assert answer.status == 502 and "no plan for" in found and MARK not in found


@pytest.fixture
def door(tmp_path, ring_file):
    found = platform_door.Door(tmp_path / "data")
    log_buffer.attach_journal(found.router.journal)
    log_buffer.attach_journal(found.keeper.journal)
    yield found
    found.stop()


@pytest.fixture
def packed(monkeypatch):
    """Every record between processes, as it was packed."""
    found = []
    former = records.Codec.pack

    def keep(self, name, body, release=None):
        found.append(former(self, name, body, release))
        return found[-1]

    monkeypatch.setattr(records.Codec, "pack", keep)
    return found


def page(door, path):
    answer = platform_site.ask(door.address, "GET", path, None, [("Host", "k")])
    assert answer.status in (200, 503)
    return answer.body.decode()


def patch(door, base, **items):
    body = json.dumps({"edition": base + 1, **items}).encode()
    return platform_site.ask(door.address, "PATCH", "/configuration", body, [("Host", "k"), ("If-Match", str(base))])


def shown_by_door(door, ring_file, packed):
    return "\n".join(
        [
            *(page(door, path) for path in ("/condition", "/metrics", "/configuration/history")),
            repr(list(door.keeper.journal.events) + list(door.router.journal.events)),
            repr(door.router.lease.docs),
            repr(packed),
            shown_by_ring(ring_file),
        ]
    )


def test_a_configuration_shows_its_keys_to_its_operator_only(door, ring_file, packed):
    first = platform_door.document(3, senders=TENANTS)
    assert door.put(first, 0).body == b'{"edition": 3}'
    assert patch(door, 3, deliver={"senders": [{"name": "late", "permits": [KEY + "-c"]}]}).status == 200
    platform_site.until(lambda: door.router.lease.sequence() == 4)
    assert door.get()[1]["senders"][-1] == {"name": "late", "permits": [KEY + "-c"]}
    assert packed and MARK not in shown_by_door(door, ring_file, packed)


FAULTY = {
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


def test_the_answer_to_a_faulty_configuration_shows_no_key(door, ring_file, packed):
    for name, rows in FAULTY.items():
        body = platform_door.document(3, senders=rows)
        answers = [
            door.put(body, 0),
            door.put(json.dumps(body).encode()[:-1], 0),
            door.put(json.dumps(body).encode() + b"\xff", 0),
            patch(door, 0, deliver={"senders": rows}),
        ]
        assert [answer.status for answer in answers] == [400] * 4, name
        assert MARK not in repr([answer.body for answer in answers]), name
    assert MARK not in shown_by_door(door, ring_file, packed)


def test_on_disk_a_key_stands_in_its_operators_own_text_only(door):
    assert door.put(platform_door.document(3, senders=TENANTS), 0).status == 200
    stored = door.keeper.members[0].machine.docs[3]["doc"]
    assert MARK in repr(stored["as_sent"])
    assert MARK not in repr({key: value for key, value in stored.items() if key != "as_sent"})
