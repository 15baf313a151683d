"""The retry budget over a fleet: no order of loans spends more than was earned, and loans do help."""

import mothshed.constants as constants
import mothshed.data_plane.retry_budget as retry_budget
import tests.all_orders as all_orders
import tools.simulate as simulate


class Event:
    """Never waited at: the test delivers answers by hand."""

    def set(self):
        pass

    clear = set

    def wait(self, span):
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
                routers[n].record_request()  # 0.72 each: none alone can pay for one
        spent = [0]
        for n in ("a", "b"):
            spent[0] += routers[n].take_or_borrow()
        return pool, (routers, spent)

    def check(case):
        routers, spent = case
        spent[0] += sum(r.take(1) for r in routers.values())
        assert spent[0] <= constants.RETRY_BUDGET_RATIO * 12 + 1e-6
        most.append(spent[0])

    most = []
    assert all_orders.explore(make, check, 6) > 100
    assert max(most) == 2  # 2.16 were earned together


def test_a_loan_unused_is_lost_and_a_late_or_foreign_answer_gives_nothing():
    pool = all_orders.Pool()
    one = retry_budget.RetryBudget(Environment(pool, "a"), lambda: ["b"])
    assert not one.take_or_borrow()
    pool.handlers["a"][("lend", None)]("b", {"mark": 1, "amount": 1.0})
    pool.time += constants.LOAN_TTL_S + 0.01
    assert not one.take_or_borrow()  # lapsed; asks anew under the next mark
    pool.handlers["a"][("lend", None)]("b", {"mark": 1, "amount": 5.0})
    pool.handlers["a"][("lend", None)]("b", {"mark": 2, "amount": -5.0})
    assert not one.take(1)
    pool.handlers["a"][("lend", None)]("b", {"mark": 2, "amount": 1.0})
    assert one.take(1) and not one.take(1)


def test_a_router_that_restarts_again_and_again_spends_its_slack_once_a_window():
    """Each life may end right after it has spent all it has; no window sees the slack twice."""
    pool, spent = all_orders.Pool(), []
    for life in range(5):
        one = retry_budget.RetryBudget(Environment(pool, f"a{life}"), lambda: [], slack=50.0, count_routers=lambda: 5)
        before = len(spent)
        while one.available() >= 1 or len(spent) == before:
            if one.take(1):
                spent.append(pool.time)
            pool.time += 0.01
    most = constants.RETRY_SLACK_RATIO * 50.0 / constants.MIN_SLACK_ROUTERS
    assert len(spent) == 5 * int(most)  # it was really used in each life
    assert max(sum(at <= later < at + constants.RETRY_BUDGET_WINDOW_S for later in spent) for at in spent) <= most


def test_a_day_of_bounces_spends_loans_and_stays_within_the_fifth():
    broken, f = simulate.one("replicas_bounce", 2, size="brief")
    assert "few extras" not in broken
    extras = sum(r["kind"] == "seen" and int(r["send"].rsplit(".", 1)[1]) > 2 for r in f.ledger)
    assert extras >= 4  # the budget was really used
