"""The last check before an order is written to a replica: what stops the order after its planning, and what doesn't."""

import types

import pytest

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import tests.order_group as order_group
import tests.platform_site as platform_site


def writes_after(change):
    """Return what is written if `change(group)` happens between an order's first check and its write."""
    group, written = order_group.Group(3.0), []
    group.lead("A")
    group.pool.time += 3.3
    group.members["A"].renew()
    task = group.leader_tasks["A"]

    def order_role(environment, endpoint, role, fencing_token, leader_id, sequence, ready):
        change(group)
        if not ready():
            raise http_client.ExchangeError(http_client.NOT_READY, False)
        written.append((leader_id, fencing_token))
        return True

    task.order_role = order_role
    add_replica(group, task)
    task.send_order("r-1", "http://r:1", "decode", task.fencing_token)
    return written


def add_replica(group, task):
    """Add one replica of the pool, to which the part has assigned the decode role."""
    task.journal = types.SimpleNamespace(add=lambda *words, **more: None)
    row = {"url": "http://r:1", "service": "main", "labels": {"service": "main"}}
    task.replicas = types.SimpleNamespace(conditions={}, rows={"r-1": row})
    commit_role(group, "decode")


def commit_role(group, role):
    group.commit({"op": "roles", "standing": group.leader_tasks["A"].fencing_token, "roles": {"r-1": role}, "gone": []})


def wait(span):
    def change(group):
        group.pool.time += span

    return change


def led_by(*others):
    def change(group):
        for member_id in others:
            group.freeze("A")
            group.pool.time += constants.VOTE_WITHHOLD_S
            group.lead(member_id)
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
        (lambda group: commit_role(group, "prefill"), False),
        (lambda group: group.leader_tasks["A"].replicas.rows.clear(), False),
    ],
    ids=[
        "at once",
        "a little later",
        "the vote withholding time",
        "frozen",
        "one new leader",
        "two new leaders",
        "leadership transferred",
        "newer",
        "newer with another pool",
        "newer without its replica",
        "newer without its pool",
        "no lease",
        "another role committed",
        "no longer listed",
    ],
)
def test_the_last_check_runs_once_the_connection_is_open(change, written):
    assert writes_after(change) == ([("A", 1)] if written else [])


class NoticeEnvironment:
    """An environment that runs tasks at once; every sleep advances the clock and changes the configuration."""

    def __init__(self, group, changes):
        self.group, self.changes = group, changes

    def now(self):
        return self.group.pool.time

    def spawn(self, call):
        call()

    def sleep(self, span):
        order_group.advance_time(self.group, span)
        self.changes()


def test_an_order_is_sent_while_the_configuration_keeps_changing():
    """Each change leaves the pool as it is, and changes are more frequent than the notice to routers takes."""
    group, written = order_group.Group(3.0), []
    group.lead("A")
    group.pool.time += 3.3
    group.members["A"].renew()
    task = group.leader_tasks["A"]
    task.environment = NoticeEnvironment(group, task.lease.change)
    add_replica(group, task)
    task.load_task = types.SimpleNamespace(changing_until={})
    task.order_role = lambda environment, endpoint, role, *rest: rest[-1]() and bool(written.append(role)) is False
    task.start_order("r-1", "decode")
    assert written == ["decode"]


def test_on_the_platform_an_order_whose_last_check_fails_is_not_written():
    site = platform_site.Site()
    try:
        host, (replica,) = site.service("p")
        order, endpoint = site.router.replica_protocol.order_role, site.router.replicas.endpoint(replica.name)
        with pytest.raises(http_client.ExchangeError):
            order(site.environment, endpoint, "decode", 41, "k1", 3, lambda: False)
        assert replica.orders == []
        assert order(site.environment, endpoint, "decode", 41, "k1", 3, lambda: True)
        assert [row["fence_no"] for row in replica.orders] == [41]
    finally:
        site.stop()
