"""A record meant for the process before, at the same address, is no answer to its successor."""

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import tests.all_orders as all_orders

ADDRESS, KEEPER = "r:1", "k:1"


def start(pool, life):
    """A router's lease; what an earlier life at this address would have received, this one does."""
    pool.handlers[ADDRESS] = {}
    return lease_module.Lease(all_orders.ManualEnvironment(pool, ADDRESS, life), lambda: [KEEPER])


def grant(ask, length=constants.LONG_LEASE_S):
    """The grant that answers an ask, as a leader would send it."""
    return {
        "part": 0,
        "mark": ask["mark"],
        "length": length,
        "number": 1,
        "active": 3,
        "docs": [[3, {"n": 3}]],
        "leader": "K/1",
    }


def ask(pool, lease):
    lease.request_lease()
    return pool.waiting.pop()[3]


def test_a_grant_to_the_process_before_is_no_lease_of_its_successor():
    pool = all_orders.Pool()
    before = start(pool, "first life")
    late = [grant(ask(pool, before)) for _ in range(3)]
    pool.time += 0.001  # a process does not start again sooner
    after = start(pool, "second life")
    for _ in range(3):  # had both lives counted from nought, these would carry the same marks
        ask(pool, after)
    pool.time += 1.0
    for body in late:
        pool.handlers[ADDRESS][("grant", 0)](KEEPER, body)
    assert after.sequence() is None
    pool.handlers[ADDRESS][("grant", 0)](KEEPER, grant(ask(pool, after)))
    assert after.sequence() == 3


def test_the_whole_time_without_a_lease_is_reported(monkeypatch):
    """A new leader answers with grants of no length for a while: they end no such time and shorten none."""
    pool, reported = all_orders.Pool(), []
    monkeypatch.setattr(
        lease_module.log_buffer, "report", lambda kind, **fields: reported.append((kind, fields["missing_s"]))
    )
    lease = start(pool, "one life")
    receive = pool.handlers[ADDRESS][("grant", 0)]
    pool.time += 0.5
    receive(KEEPER, grant(ask(pool, lease)))
    pool.time += constants.LONG_LEASE_S + 1.0
    for _ in range(4):
        receive(KEEPER, grant(ask(pool, lease), 0.0))
        assert lease.sequence() is None
        pool.time += 0.25
    receive(KEEPER, grant(ask(pool, lease)))
    assert lease.sequence() == 3 and reported == [("lease_back", 0.5), ("lease_back", 2.0)]
