"""All orders of a few messages between a router that asks for permits and the keepers that grant them."""

import pytest

import mothshed.data_plane.permits as permits
import tests.all_orders as all_orders
import tests.permit_case as permit_case

DEPTH = 5
MOST = 20000


def play(events, lost=()):
    """Every order of these events and the messages that follow from them; how many there were."""

    def make():
        case = permit_case.Case(events, lost)
        return case.pool, case

    return all_orders.explore(make, permit_case.Case.check, DEPTH, MOST, end=permit_case.Case.end)


@pytest.mark.parametrize(
    "events",
    [
        ["request"] * 3,
        ["request", "request", "new_leader"],
        ["request", "restart", "request"],
        ["request", "request", "new_leader", "restart"],
    ],
)
def test_no_order_grants_too_much_or_leaves_a_request_waiting(events):
    assert play(events) > 20


@pytest.mark.parametrize("lost", [(0,), (1,), (2,), (0, 1), (1, 2), (0, 2)])
def test_lost_messages_neither_grant_too_much_nor_leave_a_request_waiting(lost):
    assert play(["request", "request", "new_leader"], lost) > 20


def test_the_orders_find_a_permit_for_a_request_that_came_after_its_ask(monkeypatch):
    assign_grants = permits.Permits.assign_grants

    def to_whoever_waits(self, requests, tenant, mark, count, wait_s):
        for waiter in requests.waiting.get(tenant, ()):
            waiter.first_request = mark
        assign_grants(self, requests, tenant, mark, count, wait_s)

    monkeypatch.setattr(permits.Permits, "assign_grants", to_whoever_waits)
    with pytest.raises(AssertionError, match="before its request came"):
        play(["request"] * 3)


def test_the_orders_find_a_request_that_nobody_asks_for_again(monkeypatch):
    monkeypatch.setattr(permits.Permits, "retry_request", lambda self, part, mark: None)
    with pytest.raises(AssertionError, match="waits for ever"):
        play(["request", "request"], lost=(0,))
