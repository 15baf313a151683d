"""Documents delivered as changes: what is sent, and what happens where a change or its base is lost."""

import itertools

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import mothshed.control_plane.document_delivery as document_delivery
import mothshed.data_plane.routes as routes
import tests.all_orders as all_orders
import tests.test_lease_state as lease_state


def document(number):
    """A document that differs from the one before in one of three tenants, in turn: a wrong base is seen."""
    tenants = {f"t{turn}": {"share": number - (number - turn) % 3} for turn in range(3)}
    return {"tenants": tenants, "pools": {"main": {}}, "routes": []}


def stage(duty, number):
    duty.machine.apply(0, lease_state.stage(number - 1, number, f"order {number}", document(number)))


def deliver_all(pool):
    while pool.waiting:
        pool.deliver(0)


def deployment(routers=1):
    """Routers that hold sequence 2, a document with tenants; nothing is on its way."""
    pool, duty, leases = lease_state.deployment(routers)
    stage(duty, 2)
    deliver_all(pool)
    assert [lease.sequence() for lease in leases] == [2] * routers
    pool.time += constants.DOCUMENT_RESEND_S
    for lease in leases:
        lease.request_lease()
    deliver_all(pool)
    return pool, duty, leases


def sent(pool):
    """Per record with documents on its way: sequences sent whole, and (sequence, base) of changes."""
    rows = [body for goal, sender, kind, body in pool.waiting if kind in ("news", "grant")]
    return [([s for s, doc in body["docs"]], [(s, b) for s, b, change in body["changes"]]) for body in rows]


def test_only_what_changed_is_sent_and_the_rest_are_the_same_objects():
    pool, duty, (lease,) = deployment()
    before = lease.document()
    stage(duty, 3)
    ((goal, sender, kind, body),) = pool.waiting
    assert body["docs"] == [] and body["changes"] == [[3, 2, {"put": {"tenants": {"t0": {"share": 3}}}}]]
    deliver_all(pool)
    after = lease.document()
    assert lease.sequence() == 3 and after == document(3)
    assert after["pools"] is before["pools"] and after["routes"] is before["routes"]


def test_a_difference_is_worked_out_once_for_all_that_hold_its_base(monkeypatch):
    made = []
    genuine = document_delivery.document_difference.difference
    monkeypatch.setattr(
        document_delivery.document_difference, "difference", lambda *pair: made.append(pair) or genuine(*pair)
    )
    pool, duty, leases = deployment(6)
    made.clear()
    stage(duty, 3)
    for lease in leases:
        lease.request_lease()
    deliver_all(pool)
    assert len(made) == 1 and [lease.sequence() for lease in leases] == [3] * 6


def test_a_lost_change_is_sent_again():
    pool, duty, (lease,) = deployment()
    stage(duty, 3)
    pool.waiting.clear()
    pool.time += constants.DOCUMENT_RESEND_S
    lease.request_lease()
    pool.deliver(0)
    assert sent(pool) == [([], [(3, 2)])]
    deliver_all(pool)
    assert lease.document() == document(3)


def test_a_change_is_made_from_what_was_acknowledged_though_an_older_document_is_active():
    pool, duty, leases = deployment(2)
    stage(duty, 3)
    pool.waiting = [row for row in pool.waiting if row[0] == "r:0"]  # the other router keeps 2 active
    pool.deliver(0)
    pool.deliver([row[2] for row in pool.waiting].index("news_ack"))
    pool.waiting.clear()
    stage(duty, 4)
    assert sent(pool) == [([], [(4, 3)]), ([], [(4, 2)])]
    pool.deliver(0)
    assert (leases[0].active, leases[0].staged) == (2, 4)
    assert leases[0].docs[4] == document(4)


def test_a_process_without_the_base_asks_for_the_whole():
    pool, duty, (lease,) = deployment()
    stage(duty, 3)
    lease.docs = {0: {}}
    pool.time += constants.SHORT_LEASE_RENEWAL_INTERVAL_S
    pool.deliver(0)  # the change
    assert lease.staged == 2 and not lease.takes_changes
    lease.request_lease()
    deliver_all(pool)
    assert lease.document() == document(3) and lease.takes_changes


def test_a_change_that_does_not_fit_is_not_taken_and_the_whole_is_asked_for():
    pool, duty, (lease,) = deployment()
    lease.on_news("a:1", {"number": 9, "active": 2, "docs": [], "changes": [[3, 2, {"removed": {"pools": ["no"]}}]]})
    assert lease.staged == 2 and lease.document() == document(2)
    stage(duty, 3)
    pool.waiting.clear()
    lease.request_lease()
    pool.deliver(0)
    assert sent(pool) == [([3], [])]


def test_a_restarted_process_is_sent_the_whole_at_once():
    pool, duty, (lease,) = deployment()
    stage(duty, 3)
    pool.waiting.clear()  # the change goes to the process before, which dies
    pool.ears["r:0"] = {}
    successor = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:0", "next life"), lambda: ["a:1"])
    successor.request_lease()
    pool.deliver(0)
    assert sent(pool) == [([2, 3], [])]
    deliver_all(pool)
    assert successor.document() == document(3)


def test_an_older_release_is_sent_the_whole():
    pool, duty, (lease,) = deployment()
    duty.on_ask("r:0", {"mark": 1, "held": 2, "staged": 2, "takes_changes": False})
    pool.waiting.clear()
    stage(duty, 3)
    assert sent(pool) == [([3], [])]


def test_a_new_leader_makes_changes_from_the_documents_it_has():
    pool, duty, (lease,) = deployment()
    duty.stop()
    duty.start()
    duty.activation_allowed_at -= 10
    lease.request_lease()
    deliver_all(pool)
    stage(duty, 3)
    assert sent(pool) == [([], [(3, 2)])]


def test_a_base_that_the_leader_has_no_more_means_the_whole():
    pool, duty, (lease,) = deployment()
    for number in range(3, 40):
        stage(duty, number)
        pool.waiting.clear()
    del duty.machine.docs[2]
    duty.delivery.drop_oldest()
    pool.time += constants.DOCUMENT_RESEND_S
    duty.activation_allowed_at = pool.time + 10
    lease.request_lease()
    pool.deliver(0)
    assert sent(pool)[-1] == ([39], [])


def test_what_the_leader_keeps_is_bounded():
    pool, duty, (lease,) = deployment()
    for number in range(3, 80):
        stage(duty, number)
        deliver_all(pool)
    most = constants.MAX_DELIVERED_DOCUMENTS + len(duty.machine.docs)
    assert len(duty.delivery.delivered_documents) <= most and len(duty.delivery.differences) <= most
    assert lease.document() == document(79) and len(lease.docs) <= 2


def test_key_tables_are_made_anew_only_when_tenants_changed():
    pool, duty, (lease,) = deployment()
    first = routes.RouteTable(lease.document())
    changed_pools = {**lease.document(), "pools": {"main": {}, "more": {}}}
    second = routes.RouteTable(changed_pools, first)
    third = routes.RouteTable({**changed_pools, "tenants": document(5)["tenants"]}, second)
    assert second.keys is first.keys and second.hosts is first.hosts
    assert third.keys is not first.keys and third.hosts is first.hosts


ACTS = ["stage", "deliver", "deliver", "deliver", "lose", "swap", "ask 0", "ask 1", "restart", "leader", "wait", "long"]


@pytest.mark.parametrize("takes_changes", [True, False])
@lease_state.STEADY
@hypothesis.given(strategies.lists(strategies.sampled_from(ACTS), max_size=60))
def test_documents_are_exact_and_bounds_hold_whatever_is_lost(takes_changes, acts):
    """Two seconds after an acknowledgement and SHORT_LEASE_S after an activation nothing older is served."""
    pool, duty, leases = deployment(2)
    for lease in leases:
        lease.takes_changes = takes_changes
    acknowledged, activated = {2: pool.time}, {}
    for act in acts + ["wait"] * 4:
        if act == "stage":
            number = duty.machine.latest + 1
            stage(duty, number)
            acknowledged[number] = pool.time
        elif act == "deliver" and pool.waiting:
            pool.deliver(0)
        elif act == "lose" and pool.waiting:
            pool.waiting.pop(0)
        elif act == "swap" and len(pool.waiting) > 1:
            pool.waiting[:2] = reversed(pool.waiting[:2])
        elif act.startswith("ask"):
            leases[int(act[-1])].request_lease()
        elif act == "restart":
            pool.ears["r:1"] = {}
            pool.time += 0.001
            leases[1] = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:1", pool.time), lambda: ["a:1"])
        elif act == "leader":
            duty.start()
        elif act in ("wait", "long"):
            pool.time += 0.06 if act == "wait" else 0.5
            duty.try_activate()
        for number in range(3, duty.machine.active + 1):
            activated.setdefault(number, pool.time)
        for lease in leases:
            assert all(held == document(s) for s, held in lease.docs.items() if s > 1)
        for lease, (number, at) in itertools.product(leases, acknowledged.items()):
            if lease.active < number:
                assert lease.valid_until <= at + duty.bounds.older_lease_window_s + constants.SHORT_LEASE_S + 1e-9
        for lease, (number, at) in itertools.product(leases, activated.items()):
            if lease.active < number:
                assert lease.valid_until <= at + constants.SHORT_LEASE_S + 1e-9
