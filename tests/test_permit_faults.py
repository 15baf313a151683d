"""A router's permits when a permit request fails, and when a leader answers under an older document."""

import threading

import pytest

import mothshed.data_plane.permits as permits
import mothshed.replicas.leaders as leaders
import mothshed.replicas.verdict as verdict
import mothshed.runtime.journal as journal_module
import mothshed.transport.gossip as gossip
import tests.all_orders as all_orders

ROW = {"rate_per_s": 50, "burst": 20}
KEEPER = "keeper:1"


class Router:
    """Permits of one router whose environment is driven by hand."""

    def __init__(self):
        self.pool = all_orders.Pool()
        self.environment = all_orders.ManualEnvironment(self.pool, "router:1")
        self.leaders = leaders.Leaders(self.environment, lambda: [KEEPER])
        self.permits = permits.Permits(self.environment, self.leaders, journal_module.Journal())

    def permit_requests(self):
        return [body for _destination, _sender, kind, body in self.pool.waiting if kind == "permit_ask"]

    def enqueue(self):
        waiter = permits.Waiter(threading.Event())
        self.permits.enqueue("a", 2, waiter)
        return waiter


@pytest.fixture
def router():
    return Router()


def test_a_permit_request_is_repeated_after_the_first_one_failed_before_it_was_sent(router, monkeypatch):
    def fail(part):
        raise KeyError("keeper:9")

    with monkeypatch.context() as patched:
        patched.setattr(router.leaders, "address_for", fail)
        with pytest.raises(KeyError):
            router.enqueue()
    assert router.permit_requests() == []
    router.environment.timers[-1]()
    assert [row["counts"] for row in router.permit_requests()] == [{"a": 1}]


def test_a_rejection_under_an_older_document_does_not_apply_under_a_newer_one(router):
    waiter = router.enqueue()
    (request,) = router.permit_requests()
    body = {"part": request["part"], "mark": request["mark"], "sequence": 1, "grants": {"a": [0, 50.0]}}
    router.permits.on_permits(KEEPER, body)
    assert waiter.retry_s == 50.0
    router.permits.refuse_before_next_token("a", 2)
    with pytest.raises(verdict.Rejection):
        body["mark"], body["sequence"] = router.permits.mark + 1, 2
        router.enqueue()
        router.permits.on_permits(KEEPER, body)
        router.permits.refuse_before_next_token("a", 2)


def test_keepers_are_listed_while_another_thread_removes_one():
    node = gossip.Gossip.__new__(gossip.Gossip)
    node.environment, node.seeds = all_orders.ManualEnvironment(all_orders.Pool(), "router:1"), ["keeper:9"]

    class LastSeen(dict):
        def __iter__(self):
            node.keepers_last_seen = {}
            return super().__iter__()

        def keys(self):
            node.keepers_last_seen = {}
            return super().keys()

    node.keepers_last_seen = LastSeen({"keeper:1": 2.0, "keeper:2": 1.0})
    assert node.keeper_addresses() == ["keeper:1", "keeper:2", "keeper:9"]
