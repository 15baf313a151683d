"""Header fields that are the system's own to set: what a caller put into them reaches no replica."""

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
    return [request for replica in replicas for request in replica.asked]


def spelled(way):
    return [(way(name), value) for name, value in OWN.items()]


@pytest.mark.parametrize("way", [str, str.lower, str.upper], ids=["usual", "lower", "upper"])
@pytest.mark.parametrize(
    "legs, engine",
    [("pd", True), ("d", True), ("d", False)],
    ids=["prefill and decode", "the writer reads by itself", "not split"],
)
def test_unasked_a_callers_field_of_the_system_reaches_no_replica(site, legs, engine, way):
    host, replicas = site.service(legs, engine=engine)
    _own, answer = site.ask(host, headers=[row for row in spelled(way) if row[0].title() != "Time-Left"])
    sends = all_sends(replicas)
    assert answer.status == 200 and len(sends) == len(legs)
    assert [value for request in sends for _name, value in request.headers if value in OWN.values()] == (
        ["prefill"] if legs == "pd" else []
    )
    for replica in replicas:
        for request in replica.asked:
            assert request.all("Expect-Replica") == [replica.name]
            assert request.all("Leg") == (["prefill"] if replica.leg == "prefill" else [])
            assert len(request.all("Cache-From")) == (replica.leg == "decode" and legs == "pd")
            assert len(request.all("Time-Left")) == 1 and int(request.get("Time-Left")) <= 4000


def test_unasked_a_stream_that_is_taken_up_again_carries_no_field_of_its_caller(site):
    host, replicas = site.service("pdd", resumable=True, tries=2)
    platform_site.let(replicas[1:], {"break": 2})
    _own, answer = site.ask(host, headers=[("Leg", "prefill"), ("Cache-From", OWN["Cache-From"])])
    decodes = [request for replica in replicas[1:] for request in replica.asked]
    assert answer.complete and answer.body == platform_site.pieces() and len(decodes) == 2
    assert [request.all("Leg") for request in decodes] == [[], []]
    assert all(OWN["Cache-From"] not in request.all("Cache-From") for request in decodes)
    assert sorted(request.get("Last-Event-Id") for request in decodes) == ["", "2"]


def test_a_callers_limit_of_time_beyond_the_routes_is_not_told_to_a_replica(site):
    host, replicas = site.service("pd")
    site.ask(host, headers=[("Time-Left", OWN["Time-Left"])])
    told = [request.all("Time-Left") for request in all_sends(replicas)]
    assert [len(rows) for rows in told] == [1, 1] and all(int(rows[0]) <= 4000 for rows in told)
