"""A leader's permits at the moments that matter: freezes, members without a leader, tenants that are gone."""

import types

import pytest

import mothshed.constants as constants
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
        self.environment = all_orders.ManualEnvironment(pool, "keeper:1")
        self.machine = types.SimpleNamespace(leader_entry_applied=None)
        self.leader_tasks, self.quorate, self.freeze_s = [], True, 0.0
        self.leader, self.member_id, self.last_contact = "", "K/1", 0.0

    def has_quorum(self):
        found = self.quorate
        self.environment.pool.time += self.freeze_s
        return found


class Case:
    """A duty that leads, and what it has granted."""

    def __init__(self):
        self.pool = all_orders.Pool()
        self.seat = Seat(self.pool)
        self.sequence, self.tenants = 1, {"a": ROW}
        lease = types.SimpleNamespace(current=lambda: (self.sequence, {"tenants": self.tenants}))
        self.duty = permit_duty.PermitLeaderTask(self.seat, lease, journal_module.Journal(), limit_bounds.LimitBounds())

    def put(self, **tenants):
        """A newer document with these tenants."""
        self.sequence, self.tenants = self.sequence + 1, tenants

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
    case.seat.quorate = False
    assert case.ask(9) is None


def test_routers_that_asked_without_a_leader_are_remembered_for_as_long_as_that_is_of_use():
    found = Case()
    for number in range(1000):
        found.pool.time += constants.PERMIT_LEADER_NOTICE_TTL_S / 10
        found.ask(1, address=f"router:{number}")
    assert len(found.duty.redirected) <= 11
    found.duty.start()
    told = {goal for goal, _sender, kind, _body in found.pool.waiting if kind == "look_elsewhere"}
    assert "router:999" in told and "router:985" not in told


def test_the_bucket_of_a_tenant_that_is_gone_is_forgotten_once_it_is_full(case):
    for number in range(100):
        case.put(a=ROW, **{f"t{number}": ROW})
        case.ask(1, tenant=f"t{number}")
        case.pool.time += 10.0
    assert len(case.duty.buckets) <= 2


def test_a_tenant_that_is_taken_away_and_added_again_does_not_get_its_burst_twice(case):
    case.pool.time += 100.0
    assert case.ask(9) == CAPACITY
    case.put(b=ROW)
    case.ask(1, tenant="b")
    case.put(a=ROW, b=ROW)
    assert case.ask(9) == 0
