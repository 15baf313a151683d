"""The replicated configuration state: its size, the record of taken orders, one content per number."""

import itertools
import json
import types

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.common.constants as constants
import mothshed.common.lease as lease_module
import mothshed.control_plane.config_part as config_part
import mothshed.control_plane.taken_orders as taken_orders
import tests.all_orders as all_orders

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


def stage(base, sequence, order_id, doc=None):
    doc = doc or {"n": sequence}
    return {"op": "stage", "base": base, "sequence": sequence, "doc": doc, "by": "", "id": order_id}


def changed_often(count, size=1000, activate_every=1):
    """A machine after so many changes of a document of about so many bytes."""
    machine = config_part.ConfigMachine()
    for base in range(count):
        doc = {"text": "x" * size, "as_sent": {"text": "y" * size}}
        assert machine.apply(0, stage(base, base + 1, f"order {base}", doc)) == {"sequence": base + 1}
        if base % activate_every == 0:
            machine.apply(0, {"op": "activate", "sequence": base + 1})
    return machine


@pytest.mark.parametrize("activate_every", [1, 1000], ids=["each activated", "only the first activated"])
def test_the_state_does_not_grow_with_the_number_of_changes(activate_every):
    few, many = (len(json.dumps(changed_often(n, 4000, activate_every).dump()["docs"])) for n in (50, 1000))
    assert many < few * 1.05
    most = constants.HISTORY_BYTES + (1 + constants.STAGED_MOST) * 2 * 4200
    assert many < most


def test_the_active_and_the_latest_document_are_always_kept():
    machine = config_part.ConfigMachine()
    for base in range(40):
        machine.apply(0, stage(base, base + 1, f"order {base}", {"text": "x" * constants.HISTORY_BYTES}))
        if base in (3, 20):
            machine.apply(0, {"op": "activate", "sequence": base + 1})
        assert machine.latest in machine.docs and (machine.active in machine.docs or not machine.active)
    assert machine.active == 21 and len(machine.docs) == 1 + constants.STAGED_MOST


@pytest.mark.parametrize("later", [1, 64, 65, 700, 2600])
def test_a_taken_order_is_acknowledged_again_after_any_number_of_changes(later):
    machine = changed_often(later + 1, size=10)
    restored = config_part.ConfigMachine()
    restored.restore(json.loads(json.dumps(machine.dump())))
    for state in (machine, restored):
        assert state.apply(0, stage(0, 1, "order 0")) == {"sequence": 1}
        assert state.apply(0, stage(later - 1, later, f"order {later - 1}")) == {"sequence": later}
        assert state.apply(0, stage(0, 9999, "never taken")) == {"conflict": later + 1}


def test_past_the_record_an_order_is_left_unclear_and_never_refused(monkeypatch):
    machine = config_part.ConfigMachine()
    machine.taken = taken_orders.TakenOrders(most=10)
    for base in range(100):
        machine.apply(0, stage(base, base + 1, f"order {base}"))
    for base in range(100):
        said = machine.apply(0, stage(base, base + 1, f"order {base}"))
        assert said == ({"sequence": base + 1} if base >= 90 else {"unknown": base})
        wrong = machine.apply(0, stage(base, base + 1, f"another {base}"))
        assert wrong == ({"conflict": 100} if base >= 90 else {"unknown": base})
    assert machine.latest == 100


def test_a_whole_record_is_small_and_comes_back_whole():
    taken = taken_orders.TakenOrders()
    for sequence in range(1, constants.TAKEN_MOST + 101):
        taken.add(f"order {sequence}", sequence)
    text = json.dumps(taken.dump())
    assert len(text) < 40 * constants.TAKEN_MOST
    other = taken_orders.TakenOrders()
    other.restore(json.loads(text))
    assert other.sequences == taken.sequences and list(other.sequences) == list(taken.sequences)
    assert other.floor == taken.floor == 100
    assert other.sequence_of("order 101") == 101 and other.sequence_of("order 100") is None


def test_a_snapshot_from_before_the_record_remembers_its_documents():
    old = changed_often(5, size=10).dump()
    del old["taken"]
    old["docs"] = old["docs"][1:]
    machine = config_part.ConfigMachine()
    machine.restore(old)
    assert machine.apply(0, stage(3, 4, "order 3")) == {"sequence": 4}
    assert machine.apply(0, stage(0, 1, "order 0")) == {"unknown": 0}


@STEADY
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 6), strategies.integers(1, 6), strategies.sampled_from("abcd")),
        max_size=25,
    ),
    strategies.integers(1, 30),
    strategies.integers(0, 25),
)
def test_one_number_is_taken_for_one_content_whatever_is_sent_and_sent_again(orders, most, restart_at):
    """Editions rise, each has one content, and what was taken is acknowledged or unclear for ever."""
    machine = config_part.ConfigMachine()
    machine.taken = taken_orders.TakenOrders(most=most)
    acknowledged, numbers = {}, {}
    for place, (base, step, content) in enumerate(orders):
        if place == restart_at:
            state, machine = json.loads(json.dumps(machine.dump())), config_part.ConfigMachine()
            machine.taken = taken_orders.TakenOrders(most=most)
            machine.restore(state)
            machine.taken.most = most
        base = max(0, machine.latest - base) if base else machine.latest
        order = stage(base, base + step, f"{base} {base + step} {content}", {"content": content})
        said = machine.apply(0, order)
        if order["id"] in acknowledged:
            assert said in ({"sequence": acknowledged[order["id"]]}, {"unknown": base})
        elif "sequence" in said:
            assert said["sequence"] not in numbers and said["sequence"] == machine.latest
            acknowledged[order["id"]] = numbers[said["sequence"]] = said["sequence"]


class Seat:
    """A member that is always the confirmed leader and commits at once."""

    def __init__(self, desk):
        self.desk, self.machine, self.duties = desk, config_part.ConfigMachine(), []
        self.owns, self.who, self.log = True, "A/1", types.SimpleNamespace(term=1)
        self.owner, self.heard = self.who, 0.0
        self.held_back = []  # confirmations, while they are held back
        self.hold = False

    def confirm(self, call):
        if self.hold:
            self.held_back.append(call)
        else:
            call(True)

    def propose(self, command, call):
        call(self.machine.apply(0, command))


def deployment(routers=2):
    """A pool, the duty on its leader, and leases that hold sequence 1."""
    pool = all_orders.Pool()
    duty = config_part.ConfigDuty(Seat(all_orders.HandDesk(pool, "a:1")))
    duty.machine.apply(0, stage(0, 1, "order 0", {"n": 1, "as_sent": {"big": "text"}}))
    duty.machine.active = 1
    duty.start()
    duty.started -= 10
    leases = [lease_module.Lease(all_orders.HandDesk(pool, f"r:{n}"), lambda: ["a:1"]) for n in range(routers)]
    for lease in leases:
        lease.ask()
    while pool.waiting:
        pool.deliver(0)
    assert [lease.sequence() for lease in leases] == [1] * routers
    pool.time += constants.RESEND_AFTER
    return pool, duty, leases


def documents_sent(pool):
    return [s for goal, sender, kind, body in pool.waiting if "docs" in body for s, doc in body["docs"]]


def test_what_operators_sent_is_not_shipped_to_routers():
    pool, duty, leases = deployment(1)
    assert leases[0].document() == {"n": 1} and "as_sent" in duty.machine.docs[1]["doc"]


def test_a_router_is_sent_the_newest_document_and_not_those_between():
    pool, duty, leases = deployment(1)
    for base in range(1, 30):
        duty.machine.apply(0, stage(base, base + 1, f"order {base}"))
        pool.waiting.clear()  # the router is cut off
    pool.time += 2.0
    leases[0].ask()
    pool.deliver(0)
    assert documents_sent(pool) == [30]


def test_a_document_on_its_way_is_not_sent_again_until_it_may_be_lost():
    pool, duty, leases = deployment(1)
    duty.machine.apply(0, stage(1, 2, "order 1"))
    leases[0].ask()
    pool.deliver(1)  # the ask overtakes nothing: the grant that follows carries no second copy
    assert documents_sent(pool) == [2]
    pool.waiting.clear()
    pool.time += constants.RESEND_AFTER
    leases[0].ask()
    pool.deliver(0)
    assert documents_sent(pool) == [2]


def test_an_acknowledgement_is_not_forgotten_over_an_older_ask():
    pool, duty, leases = deployment(1)
    duty.member.hold = True
    leases[0].ask()
    pool.deliver(0)  # asked before anything new is staged; the majority's answer takes its time
    duty.machine.apply(0, stage(1, 2, "order 1"))
    duty.holders["r:0"].staged = 2
    for call in duty.member.held_back:
        call(True)
    assert duty.holders["r:0"].staged == 2


def test_a_router_that_skipped_what_became_active_gets_it():
    """One router has only sequence 3, the other only 2: 2 becomes active and the first is sent it."""
    pool, duty, leases = deployment(2)
    duty.machine.apply(0, stage(1, 2, "order 1"))
    pool.waiting = [row for row in pool.waiting if row[0] == "r:1"]  # the first router misses it
    pool.time += 0.01
    duty.machine.apply(0, stage(2, 3, "order 2"))
    pool.waiting = [row for row in pool.waiting if row[0] != "r:1" or row[3]["docs"][0][0] == 2]
    while pool.waiting:
        pool.deliver(0)
    assert duty.machine.active == 2
    pool.time += constants.RESEND_AFTER
    leases[0].ask()
    while pool.waiting:
        pool.deliver(0)
    assert duty.machine.active == 2 and leases[0].sequence() == 2
    for turn in range(4):
        pool.time += 0.06
        for lease in leases:
            lease.ask()
        while pool.waiting:
            pool.deliver(0)
    assert duty.machine.active == 3 and [lease.sequence() for lease in leases] == [3, 3]


@STEADY
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["stage", "deliver", "deliver", "deliver", "lose", "ask 0", "ask 1", "wait", "long"]),
        max_size=60,
    )
)
def test_the_bounds_hold_whatever_is_lost_skipped_or_late(acts):
    """Two seconds after an acknowledgement and LEASE_SHORT after an activation nothing older is served."""
    pool, duty, leases = deployment(2)
    acknowledged, activated = {1: pool.time}, {}
    for act in acts + ["wait"] * 4:
        if act == "stage":
            number = duty.machine.latest + 1
            duty.machine.apply(0, stage(number - 1, number, f"order {number - 1}"))
            acknowledged[number] = pool.time
        elif act == "deliver" and pool.waiting:
            pool.deliver(0)
        elif act == "lose" and pool.waiting:
            pool.waiting.pop(0)
        elif act.startswith("ask"):
            leases[int(act[-1])].ask()
        elif act in ("wait", "long"):
            pool.time += 0.06 if act == "wait" else 0.5
            duty.try_activate()
        for number in range(2, duty.machine.active + 1):
            activated.setdefault(number, pool.time)
        for lease, (number, at) in itertools.product(leases, acknowledged.items()):
            if lease.active < number:
                assert lease.until <= at + constants.OLD_GRANTS + constants.LEASE_SHORT + 1e-9
        for lease, (number, at) in itertools.product(leases, activated.items()):
            if lease.active < number:
                assert lease.until <= at + constants.LEASE_SHORT + 1e-9
