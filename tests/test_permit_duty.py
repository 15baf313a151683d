"""A leader's permits in rare situations: freezes, members without a leader, removed tenants."""

import types

import pytest

import mothshed.constants as constants
import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.permit_duty as permit_duty
import mothshed.runtime.journal as journal_module
import tests.all_orders as all_orders

ROW = {"rate_per_s": 2, "burst": 3}
CAPACITY = 3


class FakeMember:
    """A member of a part as the leader task sees it; `freeze_s` passes right after each quorum check."""

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
    """A leader task and what it grants."""

    def __init__(self):
        self.pool = all_orders.Pool()
        self.member = FakeMember(self.pool)
        self.sequence, self.tenants = 1, {"a": ROW}
        lease = types.SimpleNamespace(current=lambda: (self.sequence, {"tenants": self.tenants}))
        self.task = permit_duty.PermitLeaderTask(
            self.member, lease, journal_module.Journal(), limit_bounds.LimitBounds()
        )

    def put_document(self, **tenants):
        """Put a newer document with these tenants in force."""
        self.sequence, self.tenants = self.sequence + 1, tenants

    def request_permits(self, count, tenant="a", address="router:1"):
        """Return how many permits a router is granted, None if it gets no grant."""
        self.task.on_permit_ask(address, {"mark": 1, "sequence": 1, "counts": {tenant: count}})
        _destination, _sender, kind, body = self.pool.waiting.pop()
        return body["grants"][tenant][0] if kind == "permits" else None


@pytest.fixture
def case():
    found = Case()
    found.task.start()
    return found


def test_a_leader_starts_with_an_empty_bucket_that_fills_at_the_rate(case):
    assert case.request_permits(9) == 0
    case.pool.time += 1.0
    assert case.request_permits(9) == 2
    case.pool.time += 100.0
    assert case.request_permits(9) == CAPACITY


def test_a_leader_that_froze_after_its_quorum_check_grants_nothing_for_the_time_of_the_freeze(case):
    case.pool.time += 100.0
    assert case.request_permits(9) == CAPACITY
    case.member.freeze_s = 60.0  # other leaders have granted permits for that time
    assert case.request_permits(9) == 0


def test_a_member_without_a_confirmed_majority_grants_nothing(case):
    case.pool.time += 100.0
    case.member.quorate = False
    assert case.request_permits(9) is None


def test_routers_redirected_without_a_leader_are_remembered_for_the_notice_ttl_only():
    found = Case()
    for number in range(1000):
        found.pool.time += constants.PERMIT_LEADER_NOTICE_TTL_S / 10
        found.request_permits(1, address=f"router:{number}")
    assert len(found.task.redirected) <= 11
    found.task.start()
    notified = {destination for destination, _sender, kind, _body in found.pool.waiting if kind == "look_elsewhere"}
    assert "router:999" in notified and "router:985" not in notified


def test_the_bucket_of_a_removed_tenant_is_dropped_once_it_is_full(case):
    for number in range(100):
        case.put_document(a=ROW, **{f"t{number}": ROW})
        case.request_permits(1, tenant=f"t{number}")
        case.pool.time += 10.0
    assert len(case.task.buckets) <= 2


def test_a_tenant_that_is_removed_and_added_again_does_not_get_its_burst_twice(case):
    case.pool.time += 100.0
    assert case.request_permits(9) == CAPACITY
    case.put_document(b=ROW)
    case.request_permits(1, tenant="b")
    case.put_document(a=ROW, b=ROW)
    assert case.request_permits(9) == 0
