"""Tenant keys on the platform, over real sockets: which requests are served, and what is sent to replicas."""

import pytest

import tests.platform_site as platform_site

KEY, OTHER_KEY, UNKNOWN_KEY = "92cqf75rjvz48wuakn2f", "timaj3nr26tta828m82t", "never-in-any-configuration"
TENANTS = [
    {"name": "kaje80", "permits": [KEY], "urgency": 1},
    {"name": "nono58", "permits": [OTHER_KEY], "urgency": 1},
]


@pytest.fixture
def site():
    new_site = platform_site.Site()
    new_site.lease.change(senders=TENANTS)
    yield new_site
    new_site.stop()


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


def all_sends(replicas):
    return [request for replica in replicas for request in replica.requests]


def test_unasked_key_is_not_forwarded_to_replicas(site):
    host, replicas = site.service("pd")
    _own, answer = site.ask(host, headers=bearer(KEY))
    sends = all_sends(replicas)
    assert answer.status == 200 and len(sends) == 2
    assert [request for request in sends if KEY in repr(request)] == []
    assert [request.all("Authorization") for request in sends] == [[], []]


def test_unasked_sender_header_is_the_tenant_of_the_key(site):
    host, replicas = site.service("pd")
    site.ask(host, headers=[*bearer(KEY), ("Sender", "nono58")])
    assert [request.all("Sender") for request in all_sends(replicas)] == [["kaje80"], ["kaje80"]]


@pytest.mark.parametrize(
    "headers",
    [
        [],
        bearer(UNKNOWN_KEY),
        [*bearer(KEY), *bearer(OTHER_KEY)],
        [("Authorization", f"Basic {KEY}")],
        [("Authorization", KEY)],
        bearer(KEY[:-1]),
        bearer(KEY.upper()),
    ],
    ids=["none", "unknown", "two", "another scheme", "no scheme", "cut short", "other letters"],
)
def test_route_request_without_known_key_is_not_sent_to_replicas(site, headers):
    host, replicas = site.service("pd")
    _own, answer = site.ask(host, headers=headers)
    assert answer.status == 401 and all_sends(replicas) == []


def test_config_removed_key_is_rejected(site):
    host, replicas = site.service("pd")
    assert site.ask(host, headers=bearer(KEY))[1].status == 200
    site.lease.change(senders=[{**TENANTS[0], "permits": []}, TENANTS[1]])
    served = len(all_sends(replicas))
    assert site.ask(host, headers=bearer(KEY))[1].status == 401
    assert len(all_sends(replicas)) == served
    assert site.ask(host, headers=bearer(OTHER_KEY))[1].status == 200


@pytest.mark.parametrize("legs", ["pd", "d"])
def test_client_urgency_is_not_forwarded_when_keys_are_required(site, legs):
    host, replicas = site.service(legs)
    _own, answer = site.ask(host, headers=[*bearer(KEY), ("Urgency", "7")])
    sent = [request.all("Urgency") for request in all_sends(replicas)]
    assert answer.status == 200 and len(sent) == len(legs)
    assert all(len(rows) == 1 and rows != ["7"] for rows in sent)


@pytest.mark.parametrize("urgency, sent", [(0, ["0", "0"]), (1, ["3", "3"]), (2, ["6", "6"]), (9, ["6", "6"])])
def test_tenant_urgency_takes_precedence_over_the_prefill_rank(site, urgency, sent):
    host, (prefill_replica, decode_replica) = site.service("pd", urgency=5)
    site.lease.change(senders=[{**TENANTS[0], "urgency": urgency}, TENANTS[1]])
    site.ask(host, headers=bearer(KEY))
    assert [replica.requests[0].get("Urgency") for replica in (prefill_replica, decode_replica)] == sent


def test_route_urgency_applies_when_the_tenant_has_none(site):
    host, (prefill_replica, decode_replica) = site.service("pd", urgency=1)
    site.lease.change(senders=[{"name": "kaje80", "permits": [KEY]}])
    site.ask(host, headers=bearer(KEY))
    assert [replica.requests[0].get("Urgency") for replica in (prefill_replica, decode_replica)] == ["3", "3"]


def test_without_tenants_only_the_prefill_rank_is_sent(site):
    site.lease.said.pop("senders")
    host, (prefill_replica, decode_replica) = site.service("pd", urgency=1)
    site.ask(host)
    assert [replica.requests[0].get("Urgency") for replica in (prefill_replica, decode_replica)] == ["0", "0"]


def test_client_cannot_raise_its_urgency_above_its_tenants(site):
    host, (prefill_replica, decode_replica) = site.service("pd")
    site.ask(host, headers=[*bearer(KEY), ("Urgency", "0")])
    assert [replica.requests[0].all("Urgency") for replica in (prefill_replica, decode_replica)] == [["3"], ["3"]]


def test_non_ascii_key_is_matched_by_its_bytes(site):
    key = "schl\u00fcssel"
    site.lease.change(senders=[{"name": "kaje80", "permits": [key]}])
    host, replicas = site.service("pd")
    assert site.ask(host, headers=bearer(key.encode().decode("latin-1")))[1].status == 200
    assert [request.all("Sender") for request in all_sends(replicas)] == [["kaje80"], ["kaje80"]]
