"""Random sequences of operators' orders while majorities, disks, commits and links fail and recover."""

import itertools

import hypothesis
import pytest

import tests.operators as operators
import tests.platform_site as platform_site
import tools.fleet as real_fleet
import tools.simulator.fleet as sim

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


@STEADY
@hypothesis.given(operators.OPERATIONS)
def test_accepted_orders_are_never_rejected_and_editions_never_reused(operations):
    """Eight orders of two operators, sent repeatedly while majority, disk and commits fail and recover."""
    member = operators.FakeLeader()
    orders = [(base, edition, note) for base, edition in ((0, 1), (1, 2), (2, 3), (1, 3)) for note in "ab"]
    acknowledged, rejected = {}, set()
    for outcome, index in operations + [("deliver commits", 0)] + [("immediate", n) for n in range(8)]:
        if outcome == "deliver commits":
            waiting, member.pending_commits = member.pending_commits, []
            for call in waiting:
                call()
            continue
        member.confirmed, member.mailbox_blocked = outcome != "no majority", outcome == "mailbox blocked"
        member.commits = outcome if outcome in ("delayed", "lost") else "immediate"
        base, edition, note = orders[index]
        status = operators.put(member, base, edition, note)[0]
        assert status in (200, 400, 412, 503, 504)
        if status == 200:
            assert acknowledged.setdefault(edition, note) == note and index not in rejected
        elif status in (400, 412):
            sent = platform_site.operator_front.command_of(operators.document(edition, note), str(base))
            assert member.machine.accepted.sequence_of(sent["id"]) is None
            if base <= member.machine.latest:  # an order on a future base may be repeated later
                rejected.add(index)


@pytest.mark.parametrize("seed", range(3))
def test_partitioned_leader_neither_confirms_nor_rejects(seed):
    """Operators reach both sides of the partition; every response arrives within a second, and in the end all agree."""
    fleet = sim.SimFleet(f"cut-{seed}", routers=2, replicas=2)
    fleet.ready()
    old_leader = fleet.leader()
    others = [n for n in fleet.names("keep") if n != old_leader]
    responses = []

    def ask(name, method, body=None):
        began = fleet.loop.time
        response = fleet.ops.web.send(method, f"http://{fleet.settings[name]['http']}/configuration", body, read=5.0)
        responses.append((began - cut_at, name, method, response.status, fleet.loop.time - began, body and body["id"]))

    def order(mark):
        return {"base": 1, "document": real_fleet.document(fleet.deployment, note=mark), "id": mark}

    cut_at = fleet.loop.time
    fleet.net.split([old_leader], others)
    for turn, (name, method) in itertools.product(range(1, 40), ((old_leader, "GET"), (old_leader, "PUT"))):
        body = order(f"cut-{turn}") if method == "PUT" else None
        fleet.call_later(turn * 0.5, lambda n=name, m=method, b=body: fleet.operator(lambda: ask(n, m, b)))
    fleet.call_later(5.0, lambda: fleet.operator(lambda: fleet.apply("other-side", 1)))
    fleet.run(21)
    assert [row for row in responses if row[4] > 1.0] == []
    assert {row[3] for row in responses if row[0] > 1.0} == {503}
    assert {row[3] for row in responses} <= {503, 504}
    assert [w["sequence"] for w in fleet.writes] == [1, 2]
    fleet.net.heal()
    fleet.run(3)
    responses.clear()
    for name in fleet.names("keep"):
        fleet.operator(lambda n=name: ask(n, "GET"))
    fleet.run(2)
    assert {row[3] for row in responses} <= {200, 307} and 200 in {row[3] for row in responses}
    assert {fleet.processes[n].members[0].machine.latest for n in fleet.names("keep")} == {2}
