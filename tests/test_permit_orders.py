"""All delivery orders of a few messages between a router that requests permits and the keepers that grant them."""

import pytest

import mothshed.data_plane.permits as permits
import tests.all_orders as all_orders
import tests.permit_case as permit_case

DEPTH = 5
MAX_ORDERS = 20000


def explore(events, lost=()):
    """Run every order of these events and the messages that result; return the number of orders."""

    def make():
        case = permit_case.Case(events, lost)
        return case.pool, case

    return all_orders.explore(make, permit_case.Case.check, DEPTH, MAX_ORDERS, end=permit_case.Case.end)


@pytest.mark.parametrize(
    "events",
    [
        ["request"] * 3,
        ["request", "request", "new_leader"],
        ["request", "restart", "request"],
        ["request", "request", "new_leader", "restart"],
    ],
)
def test_no_message_order_grants_too_much_or_leaves_a_request_waiting(events):
    assert explore(events) > 20


@pytest.mark.parametrize("lost", [(0,), (1,), (2,), (0, 1), (1, 2), (0, 2)])
def test_lost_messages_neither_grant_too_much_nor_leave_a_request_waiting(lost):
    assert explore(["request", "request", "new_leader"], lost) > 20


def test_the_check_detects_a_permit_for_a_request_that_arrived_after_the_permit_request(monkeypatch):
    assign_grants = permits.Permits.assign_grants

    def to_whoever_waits(self, requests, tenant, mark, count, wait_s):
        for waiter in requests.waiting.get(tenant, ()):
            waiter.first_request = mark
        assign_grants(self, requests, tenant, mark, count, wait_s)

    monkeypatch.setattr(permits.Permits, "assign_grants", to_whoever_waits)
    with pytest.raises(AssertionError, match="before its request arrived"):
        explore(["request"] * 3)


def test_the_check_detects_a_permit_request_that_is_never_repeated(monkeypatch):
    monkeypatch.setattr(permits.Permits, "retry_request", lambda self, part, mark: None)
    with pytest.raises(AssertionError, match="waits forever"):
        explore(["request", "request"], lost=(0,))
