"""The last check of an order to a replica: what stops it between its decision and its write, and what does not."""

import types

import pytest

import mothshed.constants as constants
import mothshed.http.web as web
import tests.order_group as order_group
import tests.platform_site as platform_site


def order_through(change):
    """Whether an order is written if `change(group)` happens between its first check and its write."""
    group, written = order_group.Group(3.0), []
    group.lead("A")
    group.pool.time += 3.3
    group.seats["A"].renew()
    duty = group.leader_tasks["A"]

    def order_role(environment, place, role, standing, holder, sequence, ready):
        change(group)
        if not ready():
            raise web.WebFault(web.NOT_READY, False)
        written.append((holder, standing))
        return True

    duty.order_role = order_role
    place_replica(group, duty)
    duty.send_order("r-1", "http://r:1", "decode", duty.fencing_token)
    return written


def place_replica(group, duty):
    """One replica of the pool, which the part has agreed is to write."""
    duty.journal = types.SimpleNamespace(add=lambda *words, **more: None)
    row = {"url": "http://r:1", "service": "main", "labels": {"service": "main"}}
    duty.replicas = types.SimpleNamespace(conditions={}, rows={"r-1": row})
    agree(group, "decode")


def agree(group, role):
    group.commit({"op": "roles", "standing": group.leader_tasks["A"].fencing_token, "roles": {"r-1": role}, "gone": []})


def wait(span):
    def change(group):
        group.pool.time += span

    return change


def led_by(*others):
    def change(group):
        for who in others:
            group.freeze("A")
            group.pool.time += constants.VOTE_WITHHOLD_S
            group.lead(who)
        group.frozen.clear()

    return change


@pytest.mark.parametrize(
    "change, written",
    [
        (wait(0.0), True),
        (wait(constants.VOTE_WITHHOLD_S / 2), True),
        (wait(constants.VOTE_WITHHOLD_S), False),
        (wait(20.0), False),
        (led_by("B"), False),
        (led_by("B", "C"), False),
        (lambda group: group.leader_tasks["A"].stop(), False),
        (lambda group: group.leader_tasks["A"].lease.change(), True),
        (lambda group: group.leader_tasks["A"].lease.change(other={"selector": {"service": "other"}}), True),
        (lambda group: group.leader_tasks["A"].lease.change(main={"selector": {"service": "other"}}), False),
        (lambda group: group.leader_tasks["A"].lease.pools.clear(), False),
        (lambda group: setattr(group.leader_tasks["A"].lease, "number", None), False),
        (lambda group: agree(group, "prefill"), False),
        (lambda group: group.leader_tasks["A"].replicas.rows.clear(), False),
    ],
    ids=[
        "at once",
        "a little later",
        "the hold",
        "frozen",
        "one change",
        "two changes",
        "handed",
        "newer",
        "newer with another pool",
        "newer without its replica",
        "newer without its pool",
        "no lease",
        "another role agreed",
        "no longer listed",
    ],
)
def test_the_last_check_comes_when_the_connection_stands(change, written):
    assert order_through(change) == ([("A", 1)] if written else [])


class NoticeEnvironment:
    """An environment on which tasks run at once, and every pause moves the clock and changes the configuration."""

    def __init__(self, group, changes):
        self.group, self.changes = group, changes

    def now(self):
        return self.group.pool.time

    def spawn(self, call):
        call()

    def sleep(self, span):
        order_group.wait_a_while(self.group, span)
        self.changes()


def test_an_order_goes_out_though_the_configuration_changes_all_the_while():
    """Each change leaves the pool alone; the notice that routers get takes longer than two changes are apart."""
    group, written = order_group.Group(3.0), []
    group.lead("A")
    group.pool.time += 3.3
    group.seats["A"].renew()
    duty = group.leader_tasks["A"]
    duty.environment = NoticeEnvironment(group, duty.lease.change)
    place_replica(group, duty)
    duty.load_task = types.SimpleNamespace(changing_until={})
    duty.order_role = lambda environment, place, role, *rest: rest[-1]() and bool(written.append(role)) is False
    duty.start_order("r-1", "decode")
    assert written == ["decode"]


def test_on_the_platform_an_order_whose_last_check_fails_is_not_written():
    site = platform_site.Site()
    try:
        host, (replica,) = site.service("p")
        order, place = site.router.replica_protocol.order_role, site.router.replicas.endpoint(replica.name)
        with pytest.raises(web.WebFault):
            order(site.environment, place, "decode", 41, "k1", 3, lambda: False)
        assert replica.orders == []
        assert order(site.environment, place, "decode", 41, "k1", 3, lambda: True)
        assert [row["fence_no"] for row in replica.orders] == [41]
    finally:
        site.stop()
