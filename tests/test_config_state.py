"""The replicated configuration state: its size, the record of accepted orders, one document per sequence."""

import json

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.control_plane.accepted_orders as accepted_orders
import mothshed.control_plane.config_machine as config_machine

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


def stage(base, sequence, order_id, doc=None):
    doc = doc or {"n": sequence}
    return {"op": "stage", "base": base, "sequence": sequence, "doc": doc, "by": "", "id": order_id}


def changed_often(count, size=1000, activate_every=1):
    """A machine after `count` changes of a document of about `size` bytes."""
    machine = config_machine.ConfigMachine()
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
    most = constants.MAX_HISTORY_BYTES + (1 + constants.MAX_STAGED_DOCUMENTS) * 2 * 4200
    assert many < most


def test_the_active_and_the_latest_document_are_always_kept():
    machine = config_machine.ConfigMachine()
    for base in range(40):
        machine.apply(0, stage(base, base + 1, f"order {base}", {"text": "x" * constants.MAX_HISTORY_BYTES}))
        if base in (3, 20):
            machine.apply(0, {"op": "activate", "sequence": base + 1})
        assert machine.latest in machine.docs and (machine.active in machine.docs or not machine.active)
    assert machine.active == 21 and len(machine.docs) == 1 + constants.MAX_STAGED_DOCUMENTS


@pytest.mark.parametrize("later", [1, 64, 65, 700, 2600])
def test_accepted_order_is_acknowledged_again_after_any_number_of_changes(later):
    machine = changed_often(later + 1, size=10)
    restored = config_machine.ConfigMachine()
    restored.restore(json.loads(json.dumps(machine.dump())))
    for state in (machine, restored):
        assert state.apply(0, stage(0, 1, "order 0")) == {"sequence": 1}
        assert state.apply(0, stage(later - 1, later, f"order {later - 1}")) == {"sequence": later}
        assert state.apply(0, stage(0, 9999, "never taken")) == {"conflict": later + 1}


def test_order_dropped_from_the_record_has_unknown_outcome(monkeypatch):
    machine = config_machine.ConfigMachine()
    machine.accepted = accepted_orders.AcceptedOrders(max_orders=10)
    for base in range(100):
        machine.apply(0, stage(base, base + 1, f"order {base}"))
    for base in range(100):
        result = machine.apply(0, stage(base, base + 1, f"order {base}"))
        assert result == ({"sequence": base + 1} if base >= 90 else {"unknown": base})
        wrong = machine.apply(0, stage(base, base + 1, f"another {base}"))
        assert wrong == ({"conflict": 100} if base >= 90 else {"unknown": base})
    assert machine.latest == 100


def test_full_record_is_small_and_survives_a_snapshot():
    record = accepted_orders.AcceptedOrders()
    for sequence in range(1, constants.MAX_REMEMBERED_ORDERS + 101):
        record.add(f"order {sequence}", sequence)
    text = json.dumps(record.dump())
    assert len(text) < 40 * constants.MAX_REMEMBERED_ORDERS
    other = accepted_orders.AcceptedOrders()
    other.restore(json.loads(text))
    assert other.sequences == record.sequences and list(other.sequences) == list(record.sequences)
    assert other.floor == record.floor == 100
    assert other.sequence_of("order 101") == 101 and other.sequence_of("order 100") is None


def test_snapshot_without_a_record_derives_it_from_its_documents():
    old = changed_often(5, size=10).dump()
    del old["taken"]
    old["docs"] = old["docs"][1:]
    machine = config_machine.ConfigMachine()
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
def test_each_sequence_is_assigned_to_one_order(orders, most, restart_at):
    """Sequences increase, each has one document, and an accepted order is always acknowledged or unknown."""
    machine = config_machine.ConfigMachine()
    machine.accepted = accepted_orders.AcceptedOrders(max_orders=most)
    acknowledged, numbers = {}, {}
    for position, (base, step, content) in enumerate(orders):
        if position == restart_at:
            state, machine = json.loads(json.dumps(machine.dump())), config_machine.ConfigMachine()
            machine.accepted = accepted_orders.AcceptedOrders(max_orders=most)
            machine.restore(state)
            machine.accepted.max_orders = most
        base = max(0, machine.latest - base) if base else machine.latest
        order = stage(base, base + step, f"{base} {base + step} {content}", {"content": content})
        result = machine.apply(0, order)
        if order["id"] in acknowledged:
            assert result in ({"sequence": acknowledged[order["id"]]}, {"unknown": base})
        elif "sequence" in result:
            assert result["sequence"] not in numbers and result["sequence"] == machine.latest
            acknowledged[order["id"]] = numbers[result["sequence"]] = result["sequence"]
