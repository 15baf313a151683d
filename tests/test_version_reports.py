"""Log lines report when each process took up a version, and why no lease was valid."""

import pytest

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import mothshed.runtime.log_buffer as log_buffer
import tests.all_orders as all_orders
import tests.test_lease_state as lease_state


@pytest.fixture
def log_lines(monkeypatch):
    """The kind and fields of every log line, whether buffered or written."""
    rows = []
    monkeypatch.setattr(log_buffer, "note", lambda kind, **fields: rows.append((kind, fields)))
    return rows


def of_kind(rows, kind):
    return [fields for name, fields in rows if name == kind]


def test_a_router_logs_when_a_version_takes_effect(log_lines):
    pool, leader_task, _leases = lease_state.deployment(1)
    leader_task.machine.apply(0, lease_state.stage(1, 2, "order 1"))
    pool.deliver(0)  # the document
    pool.time += 0.07
    while pool.waiting:
        pool.deliver(0)
    in_force = of_kind(log_lines, "version_in_force")
    assert [(row["sequence"], row["former"], row["staged_s"]) for row in in_force] == [(1, 0, 0.0), (2, 1, 0.07)]
    assert [row["sequence"] for row in of_kind(log_lines, "version_activated")] == [2]


def test_a_burst_of_versions_does_not_use_up_the_rate_limit_of_other_reports(log_lines):
    pool, leader_task, _leases = lease_state.deployment(1)
    log_lines.clear()
    for base in range(1, 60):
        leader_task.machine.apply(0, lease_state.stage(base, base + 1, f"order {base}"))
        while pool.waiting:
            pool.deliver(0)
    in_force = of_kind(log_lines, "version_in_force")
    assert len(in_force) == 59
    assert sum(row["report"] for row in in_force) <= constants.MAX_VERSION_REPORT_BURST_LINES + 1


def test_the_leader_logs_which_routers_had_not_staged_an_activated_version(log_lines):
    pool, leader_task, _leases = lease_state.deployment(2)
    leader_task.machine.apply(0, lease_state.stage(1, 2, "order 1"))
    pool.waiting = [row for row in pool.waiting if row[0] != "r:1"]
    while pool.waiting:
        pool.deliver(0)
    pool.time += constants.LONG_LEASE_S + 2 * constants.LEASE_CLOCK_MARGIN_S
    leader_task.try_activate()
    (row,) = of_kind(log_lines, "version_activated")
    assert row["sequence"] == 2 and row["without"] == ["r:1"] and row["after_s"] >= constants.LONG_LEASE_S


def test_the_leader_logs_once_that_it_grants_no_older_lease(log_lines):
    pool, leader_task, leases = lease_state.deployment(1)
    leader_task.machine.apply(0, lease_state.stage(1, 2, "order 1"))
    pool.waiting.clear()
    leader_task.activation_allowed_at = pool.time + 100
    pool.time += leader_task.bounds.older_lease_window_s + 0.1
    for _ in range(3):
        leases[0].request_lease()
        pool.deliver(0)
    (row,) = of_kind(log_lines, "older_leases_withheld")
    assert (row["latest"], row["active"], row["without"]) == (2, 1, ["r:0"])


def test_a_regained_lease_logs_the_outcome_of_its_requests(log_lines):
    pool = all_orders.Pool()
    lease = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:1"), lambda: ["a:1"])
    lease.request_lease()
    lease.on_grant("a:1", lease_state.grant(lease, constants.LONG_LEASE_S, 1, [[1, {"n": 1}]]))
    pool.time += constants.LONG_LEASE_S + 1.0
    lease.request_lease()
    lease.on_look_elsewhere("a:1", {"leader": "b:1"})
    lease.on_grant("b:1", lease_state.grant(lease, 0.0, 1))
    lease.request_lease()
    lease.on_grant("b:1", lease_state.grant(lease, constants.LONG_LEASE_S, 1))
    (row,) = of_kind(log_lines, "lease_back")
    assert (row["sent"], row["redirected"], row["empty_grants"]) == (3, 1, 1)
