"""A restarted process ignores records meant for the previous process at its address; gaps without a lease."""

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import tests.all_orders as all_orders

ADDRESS, KEEPER = "r:1", "k:1"


def start(pool, life):
    """A router's lease that replaces the previous process at this address and receives its records."""
    pool.handlers[ADDRESS] = {}
    return lease_module.Lease(all_orders.ManualEnvironment(pool, ADDRESS, life), lambda: [KEEPER])


def grant(ask, length=constants.LONG_LEASE_S):
    """The grant with which a leader would answer a request."""
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


def test_grant_for_the_previous_process_is_ignored_after_a_restart():
    pool = all_orders.Pool()
    before = start(pool, "first life")
    late = [grant(ask(pool, before)) for _ in range(3)]
    pool.time += 0.001  # a process restart takes at least this long
    after = start(pool, "second life")
    for _ in range(3):  # if marks started from 0, these would equal those of the previous process
        ask(pool, after)
    pool.time += 1.0
    for body in late:
        pool.handlers[ADDRESS][("grant", 0)](KEEPER, body)
    assert after.sequence() is None
    pool.handlers[ADDRESS][("grant", 0)](KEEPER, grant(ask(pool, after)))
    assert after.sequence() == 3


def test_full_gap_without_a_lease_is_reported(monkeypatch):
    """A new leader may answer with grants of length 0 at first; these neither end nor shorten a gap."""
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
