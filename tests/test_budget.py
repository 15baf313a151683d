"""The retry budget of a fleet: in no order of loan messages is more spent than earned, and loans are used."""

import mothshed.constants as constants
import mothshed.data_plane.retry_budget as retry_budget
import tests.all_orders as all_orders
import tools.simulate as simulate


class Event:
    """An event whose wait returns at once; the test delivers replies itself."""

    def set(self):
        pass

    clear = set

    def wait(self, timeout_s):
        return False


class Environment(all_orders.ManualEnvironment):
    new_event = staticmethod(Event)


def test_in_any_order_of_loans_the_fleet_spends_no_more_than_it_earned():
    def make():
        pool = all_orders.Pool()
        names = ["a", "b", "c"]
        routers = {
            n: retry_budget.RetryBudget(Environment(pool, n), lambda n=n: [m for m in names if m != n]) for n in names
        }
        for n in names:
            for _ in range(4):
                routers[n].record_request()  # earns 0.72 each: no router alone can pay for an extra send
        spent = [0]
        for n in ("a", "b"):
            spent[0] += routers[n].take_or_borrow()
        return pool, (routers, spent)

    def check(case):
        routers, spent = case
        spent[0] += sum(router.take(1) for router in routers.values())
        assert spent[0] <= constants.RETRY_BUDGET_RATIO * 12 + 1e-6
        most.append(spent[0])

    most = []
    assert all_orders.explore(make, check, 6) > 100
    assert max(most) == 2  # the three earned 2.16 together


def test_an_unused_loan_expires_and_a_late_or_unrelated_reply_gives_nothing():
    pool = all_orders.Pool()
    router = retry_budget.RetryBudget(Environment(pool, "a"), lambda: ["b"])
    assert not router.take_or_borrow()
    pool.handlers["a"][("lend", None)]("b", {"mark": 1, "amount": 1.0})
    pool.time += constants.LOAN_TTL_S + 0.01
    assert not router.take_or_borrow()  # expired; borrows again under the next number
    pool.handlers["a"][("lend", None)]("b", {"mark": 1, "amount": 5.0})
    pool.handlers["a"][("lend", None)]("b", {"mark": 2, "amount": -5.0})
    assert not router.take(1)
    pool.handlers["a"][("lend", None)]("b", {"mark": 2, "amount": 1.0})
    assert router.take(1) and not router.take(1)


def test_a_router_that_restarts_repeatedly_spends_its_slack_once_per_window():
    """Each start may end right after all was spent; no window contains the slack twice."""
    pool, spent = all_orders.Pool(), []
    for start in range(5):
        router = retry_budget.RetryBudget(
            Environment(pool, f"a{start}"), lambda: [], slack=50.0, count_routers=lambda: 5
        )
        before = len(spent)
        while router.available() >= 1 or len(spent) == before:
            if router.take(1):
                spent.append(pool.time)
            pool.time += 0.01
    most = constants.RETRY_SLACK_RATIO * 50.0 / constants.MIN_SLACK_ROUTERS
    assert len(spent) == 5 * int(most)  # the slack was used after each start
    assert max(sum(at <= later < at + constants.RETRY_BUDGET_WINDOW_S for later in spent) for at in spent) <= most


def test_a_scenario_of_rejections_spends_extra_sends_within_the_budget():
    broken, fleet = simulate.run_scenario("replicas_bounce", 2, size="brief")
    assert "few extras" not in broken
    extras = sum(record["kind"] == "seen" and int(record["send"].rsplit(".", 1)[1]) > 2 for record in fleet.ledger)
    assert extras >= 4  # the budget was used
