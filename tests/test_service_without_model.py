"""A service without a model beside one with a model: roles, orders and placement apply only to the latter."""

import pytest

import mothshed.data_plane.replica_pair as replica_pair
import mothshed.replicas.listed_replicas as listed_replicas
import mothshed.runtime.journal as journal
import tests.order_group as order_group
import tests.platform_site as platform_site
import tests.test_delivery_placing as test_delivery_placing

DOCUMENT = {
    "pools": {
        "models": {
            "selector": {"service": "models"},
            "engine": {},
            "least_prefill": 1,
            "least_decode": 1,
            "prefill_share": 0.4,
            "shift": True,
        },
        "slips": {
            "selector": {"service": "slips"},
            "split": False,
            "least_prefill": 1,
            "least_decode": 1,
            "prefill_share": 0.4,
            "shift": True,
        },
    }
}


def row(service, role):
    return {
        "url": "http://r:1",
        "cell": "a",
        "service": service,
        "labels": {"service": service},
        "leaving": False,
        "role": role,
        "slots": 4,
    }


class RecordingProtocol(platform_site.replica_protocol.PlatformReplicaProtocol):
    """Accepts and records every order."""

    def __init__(self):
        self.ordered = []

    def order_role(self, environment, place, role, standing, holder, sequence, ready=lambda: True):
        """Records the order if its last check allows it."""
        if ready():
            self.ordered.append(role)
        return True


@pytest.fixture
def role_task(monkeypatch):
    """The leader's task of the part with both services, five replicas each, after its first order delay."""
    monkeypatch.setattr(order_group.orders.parts, "part_of", lambda service: 1)
    group = order_group.Group(3.0)
    group.lead("A")
    group.pool.time += 3.3
    group.members["A"].renew()
    task, member = group.leader_tasks["A"], group.members["A"]
    replica_protocol = RecordingProtocol()
    found = listed_replicas.ListedReplicas(member.environment, "", journal.Journal(), None, lambda: [])
    found.update_list({f"{s}{n}": row(s, "none") for s in ("models", "slips") for n in range(5)})
    task.replicas, task.journal, task.keeps_reported_roles, task.announces_token = found, journal.Journal(), True, False
    task.order_role, task.speech = replica_protocol.order_role, replica_protocol
    task.lease.pools = DOCUMENT["pools"]
    task.environment.spawn = lambda call: call()
    return task


def test_no_split_is_planned_and_no_order_sent_for_a_service_without_a_model(role_task):
    role_task.plan_roles(DOCUMENT)  # agrees on roles
    assert sorted(role_task.machine.roles) == [f"models{n}" for n in range(5)]
    role_task.plan_roles(DOCUMENT)  # sends what is missing
    assert sorted(role_task.speech.ordered) == ["decode"] * 3 + ["prefill"] * 2


def test_an_order_that_was_agreed_while_a_service_had_a_model_is_not_sent_once_it_has_none(role_task):
    with_model = {**DOCUMENT["pools"]["slips"], "split": True}
    role_task.lease.pools = {**DOCUMENT["pools"], "slips": with_model}
    role_task.plan_roles({"pools": role_task.lease.pools})
    assert "slips0" in role_task.machine.roles and role_task.order_still_valid(
        "slips0", role_task.machine.roles["slips0"]
    )
    role_task.lease.pools = DOCUMENT["pools"]
    assert not role_task.order_still_valid("slips0", role_task.machine.roles["slips0"])
    assert role_task.order_still_valid("models0", role_task.machine.roles["models0"])


@pytest.mark.parametrize("engine", [True, False])
def test_the_platforms_document_says_which_services_have_a_split(engine):
    depot = platform_site.depot("one", engine)
    document = platform_site.operator_front.document_of({"itineraries": [], "depots": [depot]})
    assert document["pools"]["one"]["split"] is engine


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def slips(site, count=2, **route):
    """Host and replicas of a service without a model, beside one with prefill and decode replicas."""
    site.service("pd")
    facts = {"events": 0, "body": b"slip"}
    rows = [platform_site.stand_in.Replica(site.platform, "slips", "none", **facts) for _ in range(count)]
    name = f"slips{len(site.platform.replicas)}"
    for replica in rows:
        replica.depot = name
    site.made.append(rows)
    site.lease.change(
        [platform_site.route(f"r-{name}", f"{name}.example", name, **{"kind": "once_only", "tries": 2, **route})],
        [platform_site.depot(name, False)],
    )
    platform_site.wait_until(lambda: all(r.name in site.router.replicas.rows for r in rows))
    return f"{name}.example", rows


def test_a_whole_request_is_served_without_a_prefill(site):
    host, replicas = slips(site)
    request_id, answer = site.ask(host, prompt=False)
    assert answer.status == 200 and answer.body == b"slip"
    assert len(site.platform.ran(request_id)) == 1
    assert all(request.get("Leg") == "" for replica in replicas for request in replica.requests)


@pytest.mark.parametrize("fault", [{"close": True}, {"stamp": False}, {"break": 0}, {"own": 500}])
def test_a_once_only_request_never_runs_twice_at_a_service_without_a_model(site, fault):
    host, replicas = slips(site)
    platform_site.inject_fault_once(replicas, fault)
    request_id, answer = site.ask(host, prompt=False)
    assert platform_site.request_count(replicas) == 1 and answer.status >= 500 and answer.status != 503


def test_a_once_only_request_rejected_with_proof_goes_to_another_replica(site):
    host, replicas = slips(site)
    platform_site.inject_fault_once(replicas, {"bounce": 503})
    request_id, answer = site.ask(host, prompt=False)
    assert answer.status == 200 and len(site.platform.ran(request_id)) == 1


def test_a_prefill_replica_of_another_service_is_not_used(site):
    """If its only prefill replica fails, a request is prefilled by its decode replica, whatever other pools have."""
    host, (reader, writer) = site.service("pd")
    reader.always = {"close": True}
    request_id, answer = site.ask(host)
    assert answer.status == 200 and len(site.platform.ran(request_id)) == 1
    assert len(reader.requests) == 1 and writer.requests[-1].get("Cache-From") == ""


def plain_service(count, cells=None):
    """A Placement over replicas r1, r2, ... without a role and with two slots each, and its document."""
    placement, pool = test_delivery_placing.make_placement([f"r{n + 1}" for n in range(count)], cells)
    for row in placement.replicas.rows.values():
        row["role"], row["slots"] = "none", 2
    return placement, {"pools": {"plain": {"selector": {"service": "s"}, "split": False}}}


def test_requests_of_a_service_without_a_model_are_spread_and_never_exceed_the_known_slots():
    placement, document = plain_service(3)
    taken = [
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ())).decode_replica.name
        for _ in range(6)
    ]
    assert sorted(taken) == ["r1", "r1", "r2", "r2", "r3", "r3"]
    with pytest.raises(replica_pair.QueueFull):
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ()))
    assert sum(placement.replicas.own_requests.values()) == 6
    placement.replicas.request_ended("r2")
    assert (
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ())).decode_replica.name
        == "r2"
    )


def test_requests_of_other_routers_count_against_the_slots_of_a_service_without_a_model():
    placement, document = plain_service(2)
    placement.update_remote_loads(1, {"r1": test_delivery_placing.load(2), "r2": test_delivery_placing.load(1)})
    assert (
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ())).decode_replica.name
        == "r2"
    )
    with pytest.raises(replica_pair.QueueFull):
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ()))


def test_a_service_without_a_model_is_served_in_the_routers_own_zone_while_that_is_no_busier():
    placement, document = plain_service(3, {"r1": "b", "r2": "a", "r3": "b"})
    assert (
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ())).decode_replica.name
        == "r2"
    )
    placement, document = plain_service(2, {"r1": "b", "r2": "a"})
    placement.update_remote_loads(1, {"r2": test_delivery_placing.load(2)})
    assert (
        placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request(0, ())).decode_replica.name
        == "r1"
    )


def test_a_prompt_to_a_service_without_a_model_is_not_prefilled():
    placement, document = plain_service(2)
    pair = placement.reserve_pair(1, document, "plain", test_delivery_placing.make_request())
    assert pair.prefill_replica is None and pair.uncached_tokens == 0
