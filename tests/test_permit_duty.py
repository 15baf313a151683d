"""A leader's permits at the moments that matter: freezes, members without a leader, tenants that are gone."""

import types

import pytest

import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.permit_duty as permit_duty
import mothshed.runtime.journal as journal_module
import tests.all_orders as all_orders

ROW = {"rate_per_s": 2, "burst": 3}
CAPACITY = 3


class Seat:
    """A member of a part as the duty sees it; `freeze_s` passes between its answer to `sure` and what follows."""

    part = 1

    def __init__(self, pool):
        self.desk = all_orders.HandDesk(pool, "keeper:1")
        self.machine = types.SimpleNamespace(leader_began=None)
        self.duties, self.is_sure, self.freeze_s = [], True, 0.0
        self.leader, self.who, self.heard = "", "K/1", 0.0

    def sure(self):
        found = self.is_sure
        self.desk.pool.time += self.freeze_s
        return found


class Case:
    """A duty that leads, and what it has granted."""

    def __init__(self):
        self.pool = all_orders.Pool()
        self.seat = Seat(self.pool)
        self.tenants = {"a": ROW}
        lease = types.SimpleNamespace(current=lambda: (1, {"tenants": self.tenants}))
        self.duty = permit_duty.PermitDuty(self.seat, lease, journal_module.Journal(), limit_bounds.LimitBounds())

    def ask(self, count, tenant="a", address="router:1"):
        """What a router is granted, None if it is told of no grant."""
        self.duty.on_permit_ask(address, {"mark": 1, "sequence": 1, "counts": {tenant: count}})
        _goal, _sender, kind, body = self.pool.waiting.pop()
        return body["grants"][tenant][0] if kind == "permits" else None


@pytest.fixture
def case():
    found = Case()
    found.duty.start()
    return found


def test_a_leader_begins_empty_and_fills_at_the_rate(case):
    assert case.ask(9) == 0
    case.pool.time += 1.0
    assert case.ask(9) == 2
    case.pool.time += 100.0
    assert case.ask(9) == CAPACITY


def test_a_leader_that_froze_after_it_was_sure_grants_nothing_for_the_time_of_the_freeze(case):
    case.pool.time += 100.0
    assert case.ask(9) == CAPACITY
    case.seat.freeze_s = 60.0  # others have led meanwhile, and granted for that time
    assert case.ask(9) == 0


def test_a_member_that_is_not_sure_grants_nothing(case):
    case.pool.time += 100.0
    case.seat.is_sure = False
    assert case.ask(9) is None
