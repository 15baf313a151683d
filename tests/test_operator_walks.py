"""Orders of operators while majorities, disks, commits and links come and go."""

import itertools

import hypothesis
import pytest

import tests.operators as operators
import tests.platform_site as platform_site
import tools.fleet as real_fleet
import tools.simulator.fleet as sim

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


@STEADY
@hypothesis.given(operators.ACTS)
def test_no_taken_order_is_refused_and_no_number_is_acknowledged_twice(acts):
    """Eight orders of two operators, sent and sent again while majority, disk and commits come and go."""
    member = operators.Member()
    orders = [(base, edition, note) for base, edition in ((0, 1), (1, 2), (2, 3), (1, 3)) for note in "ab"]
    acknowledged, refused = {}, set()
    for way, at in acts + [("come", 0)] + [("at once", n) for n in range(8)]:
        if way == "come":
            waiting, member.waiting = member.waiting, []
            for call in waiting:
                call()
            continue
        member.confirmed, member.mailbox_stuck = way != "unsure", way == "stuck"
        member.commits = way if way in ("late", "lost") else "at once"
        base, edition, note = orders[at]
        status = operators.put(member, base, edition, note)[0]
        assert status in (200, 400, 412, 503, 504)
        if status == 200:
            assert acknowledged.setdefault(edition, note) == note and at not in refused
        elif status in (400, 412):
            sent = platform_site.operator_front.command_of(operators.document(edition, note), str(base))
            assert member.machine.accepted.sequence_of(sent["id"]) is None
            if base <= member.machine.latest:  # one on a base that is yet to come may be sent again
                refused.add(at)


@pytest.mark.parametrize("seed", range(3))
def test_a_leader_cut_off_for_twenty_seconds_neither_confirms_nor_refuses(seed):
    """Operators reach both sides; every answer comes within a second, and afterwards all agree."""
    f = sim.SimFleet(f"cut-{seed}", routers=2, replicas=2)
    f.ready()
    old = f.leader()
    others = [n for n in f.names("keep") if n != old]
    said = []

    def ask(name, method, body=None):
        began = f.loop.time
        response = f.ops.web.send(method, f"http://{f.settings[name]['http']}/configuration", body, read=5.0)
        said.append((began - cut_at, name, method, response.status, f.loop.time - began, body and body["id"]))

    def order(mark):
        return {"base": 1, "document": real_fleet.document(f.deployment, note=mark), "id": mark}

    cut_at = f.loop.time
    f.net.split([old], others)
    for turn, (name, method) in itertools.product(range(1, 40), ((old, "GET"), (old, "PUT"))):
        body = order(f"cut-{turn}") if method == "PUT" else None
        f.later(turn * 0.5, lambda n=name, m=method, b=body: f.operator(lambda: ask(n, m, b)))
    f.later(5.0, lambda: f.operator(lambda: f.apply("other-side", 1)))
    f.run(21)
    assert [row for row in said if row[4] > 1.0] == []
    assert {row[3] for row in said if row[0] > 1.0} == {503}
    assert {row[3] for row in said} <= {503, 504}
    assert [w["sequence"] for w in f.writes] == [1, 2]
    f.net.heal()
    f.run(3)
    said.clear()
    for name in f.names("keep"):
        f.operator(lambda n=name: ask(n, "GET"))
    f.run(2)
    assert {row[3] for row in said} <= {200, 307} and 200 in {row[3] for row in said}
    assert {f.parts[n].members[0].machine.latest for n in f.names("keep")} == {2}
