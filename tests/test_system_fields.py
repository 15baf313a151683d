"""Header fields that only the system sets: values from callers reach no replica."""

import pytest

import tests.platform_site as platform_site

OWN = {
    "Leg": "prefill",
    "Cache-From": "10.9.8.7:1/forged",
    "Expect-Replica": "i-forged",
    "Time-Left": "987654321",
}


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def all_sends(replicas):
    return [request for replica in replicas for request in replica.requests]


def spelled_fields(spelling):
    return [(spelling(name), value) for name, value in OWN.items()]


@pytest.mark.parametrize("spelling", [str, str.lower, str.upper], ids=["usual", "lower", "upper"])
@pytest.mark.parametrize(
    "legs, engine",
    [("pd", True), ("d", True), ("d", False)],
    ids=["prefill and decode", "decode without prefill", "not split"],
)
def test_unasked_a_system_field_from_a_caller_reaches_no_replica(site, legs, engine, spelling):
    host, replicas = site.service(legs, engine=engine)
    _own, answer = site.ask(host, headers=[row for row in spelled_fields(spelling) if row[0].title() != "Time-Left"])
    sends = all_sends(replicas)
    assert answer.status == 200 and len(sends) == len(legs)
    assert [value for request in sends for _name, value in request.headers if value in OWN.values()] == (
        ["prefill"] if legs == "pd" else []
    )
    for replica in replicas:
        for request in replica.requests:
            assert request.all("Expect-Replica") == [replica.name]
            assert request.all("Leg") == (["prefill"] if replica.leg == "prefill" else [])
            assert len(request.all("Cache-From")) == (replica.leg == "decode" and legs == "pd")
            assert len(request.all("Time-Left")) == 1 and int(request.get("Time-Left")) <= 4000


def test_unasked_a_resumed_stream_carries_no_system_field_of_its_caller(site):
    host, replicas = site.service("pdd", resumable=True, tries=2)
    platform_site.inject_fault_once(replicas[1:], {"break": 2})
    _own, answer = site.ask(host, headers=[("Leg", "prefill"), ("Cache-From", OWN["Cache-From"])])
    decodes = [request for replica in replicas[1:] for request in replica.requests]
    assert answer.complete and answer.body == platform_site.event_bytes() and len(decodes) == 2
    assert [request.all("Leg") for request in decodes] == [[], []]
    assert all(OWN["Cache-From"] not in request.all("Cache-From") for request in decodes)
    assert sorted(request.get("Last-Event-Id") for request in decodes) == ["", "2"]


def test_a_callers_time_limit_above_the_routes_limit_is_not_sent_to_a_replica(site):
    host, replicas = site.service("pd")
    site.ask(host, headers=[("Time-Left", OWN["Time-Left"])])
    sent_values = [request.all("Time-Left") for request in all_sends(replicas)]
    assert [len(rows) for rows in sent_values] == [1, 1] and all(int(rows[0]) <= 4000 for rows in sent_values)
