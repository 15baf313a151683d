"""Documents delivered as differences: what is sent, and what happens when a difference or its base is lost."""

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import mothshed.control_plane.document_delivery as document_delivery
import mothshed.control_plane.document_rows as document_rows
import mothshed.data_plane.routes as routes
import tests.all_orders as all_orders
import tests.test_lease_state as lease_state


def document(number):
    """A document that differs from its predecessor in one of three tenants, so that a wrong base is detected."""
    tenants = {f"t{turn}": {"share": number - (number - turn) % 3} for turn in range(3)}
    return {"tenants": tenants, "pools": {"main": {}}, "routes": []}


def stage(task, number):
    prepared = document_rows.prepare(document(number))
    if prepared.data is not None:
        task.machine.store.put(prepared.digest, prepared.data)
    task.machine.apply(0, {**lease_state.stage(number - 1, number, f"order {number}"), **prepared.fields})


def deliver_all(pool):
    while pool.waiting:
        pool.deliver(0)


def deployment(routers=1):
    """Routers that hold sequence 2, a document with tenants; no record is in flight."""
    pool, task, leases = lease_state.deployment(routers)
    stage(task, 2)
    deliver_all(pool)
    assert [lease.sequence() for lease in leases] == [2] * routers
    pool.time += constants.DOCUMENT_RESEND_S
    for lease in leases:
        lease.request_lease()
    deliver_all(pool)
    return pool, task, leases


def sent(pool):
    """For each record in flight with documents: sequences sent whole, and (sequence, base) of differences."""
    rows = [body for destination, sender, kind, body in pool.waiting if kind in ("news", "grant")]
    return [([s for s, doc in body["docs"]], [(s, b) for s, b, change in body["changes"]]) for body in rows]


def test_only_changed_items_are_sent_and_other_sections_stay_the_same_objects():
    pool, task, (lease,) = deployment()
    before = lease.document()
    stage(task, 3)
    ((destination, sender, kind, body),) = pool.waiting
    assert body["docs"] == [] and body["changes"] == [[3, 2, {"put": {"tenants": {"t0": {"share": 3}}}}]]
    deliver_all(pool)
    after = lease.document()
    assert lease.sequence() == 3 and after == document(3)
    assert after["pools"] is before["pools"] and after["routes"] is before["routes"]


def test_difference_is_computed_once_per_base(monkeypatch):
    calls = []
    original = document_delivery.document_difference.difference
    monkeypatch.setattr(
        document_delivery.document_difference, "difference", lambda *pair: calls.append(pair) or original(*pair)
    )
    pool, task, leases = deployment(6)
    calls.clear()
    stage(task, 3)
    for lease in leases:
        lease.request_lease()
    deliver_all(pool)
    assert len(calls) == 1 and [lease.sequence() for lease in leases] == [3] * 6


def test_lost_difference_is_sent_again():
    pool, task, (lease,) = deployment()
    stage(task, 3)
    pool.waiting.clear()
    pool.time += constants.DOCUMENT_RESEND_S
    lease.request_lease()
    pool.deliver(0)
    assert sent(pool) == [([], [(3, 2)])]
    deliver_all(pool)
    assert lease.document() == document(3)


def test_difference_is_based_on_the_acknowledged_document_not_the_active_one():
    pool, task, leases = deployment(2)
    stage(task, 3)
    pool.waiting = [row for row in pool.waiting if row[0] == "r:0"]  # the other router stays at 2
    pool.deliver(0)
    pool.deliver([row[2] for row in pool.waiting].index("news_ack"))
    pool.waiting.clear()
    stage(task, 4)
    assert sent(pool) == [([], [(4, 3)]), ([], [(4, 2)])]
    pool.deliver(0)
    assert (leases[0].active, leases[0].staged) == (2, 4)
    assert leases[0].docs[4] == document(4)


def test_process_without_the_base_requests_the_whole_document():
    pool, task, (lease,) = deployment()
    stage(task, 3)
    lease.docs = {0: {}}
    pool.time += constants.SHORT_LEASE_RENEWAL_INTERVAL_S
    pool.deliver(0)  # the difference
    assert lease.staged == 2 and not lease.takes_changes
    lease.request_lease()
    deliver_all(pool)
    assert lease.document() == document(3) and lease.takes_changes


def test_inapplicable_difference_is_discarded_and_the_whole_document_requested():
    pool, task, (lease,) = deployment()
    lease.on_news("a:1", {"number": 9, "active": 2, "docs": [], "changes": [[3, 2, {"removed": {"pools": ["no"]}}]]})
    assert lease.staged == 2 and lease.document() == document(2)
    stage(task, 3)
    pool.waiting.clear()
    lease.request_lease()
    pool.deliver(0)
    assert sent(pool) == [([3], [])]


def test_restarted_process_is_sent_whole_documents_at_once():
    pool, task, (lease,) = deployment()
    stage(task, 3)
    pool.waiting.clear()  # the difference was sent to the previous process, which has ended
    pool.handlers["r:0"] = {}
    successor = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:0", "next life"), lambda: ["a:1"])
    successor.request_lease()
    pool.deliver(0)
    assert sent(pool) == [([2, 3], [])]
    deliver_all(pool)
    assert successor.document() == document(3)


def test_older_release_is_sent_whole_documents():
    pool, task, (lease,) = deployment()
    task.on_ask("r:0", {"mark": 1, "held": 2, "staged": 2, "takes_changes": False})
    pool.waiting.clear()
    stage(task, 3)
    assert sent(pool) == [([3], [])]


def test_new_leader_computes_differences_from_its_documents():
    pool, task, (lease,) = deployment()
    task.stop()
    task.start()
    task.activation_allowed_at -= 10
    lease.request_lease()
    deliver_all(pool)
    stage(task, 3)
    assert sent(pool) == [([], [(3, 2)])]


def test_whole_document_is_sent_when_the_leader_dropped_the_base():
    pool, task, (lease,) = deployment()
    for number in range(3, 40):
        stage(task, number)
        pool.waiting.clear()
    del task.machine.docs[2]
    task.delivery.drop_oldest()
    pool.time += constants.DOCUMENT_RESEND_S
    task.activation_allowed_at = pool.time + 10
    lease.request_lease()
    pool.deliver(0)
    assert sent(pool)[-1] == ([39], [])


def test_delivery_caches_of_the_leader_are_bounded():
    pool, task, (lease,) = deployment()
    for number in range(3, 80):
        stage(task, number)
        deliver_all(pool)
    max_documents = constants.MAX_DELIVERED_DOCUMENTS + len(task.machine.docs)
    assert len(task.delivery.delivered_documents) <= max_documents and len(task.delivery.differences) <= max_documents
    assert lease.document() == document(79) and len(lease.docs) <= 2


def test_key_tables_are_rebuilt_only_when_tenants_change():
    pool, task, (lease,) = deployment()
    first = routes.RouteTable(lease.document())
    changed_pools = {**lease.document(), "pools": {"main": {}, "more": {}}}
    second = routes.RouteTable(changed_pools, first)
    third = routes.RouteTable({**changed_pools, "tenants": document(5)["tenants"]}, second)
    assert second.keys is first.keys and second.hosts is first.hosts
    assert third.keys is not first.keys and third.hosts is first.hosts
