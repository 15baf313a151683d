"""Random walks of documents to routers: records lost and reordered, routers restarted, leaders changed."""

import itertools

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import tests.all_orders as all_orders
import tests.test_lease_changes as lease_changes
import tests.test_lease_state as lease_state

STEPS = [
    "stage",
    "deliver",
    "deliver",
    "deliver",
    "lose",
    "swap",
    "ask 0",
    "ask 1",
    "restart",
    "leader",
    "wait",
    "long",
]


@pytest.mark.parametrize("form", ["changes", "whole", "large"])
@lease_state.STEADY
@hypothesis.given(strategies.lists(strategies.sampled_from(STEPS), max_size=60))
def test_documents_match_and_lease_bounds_hold_under_loss(form, steps):
    """No older document is served two seconds after an acknowledgement or SHORT_LEASE_S after an activation."""
    with pytest.MonkeyPatch.context() as patch:
        if form == "large":  # all documents are fetched in pieces
            patch.setattr(configuration_constants, "MAX_WHOLE_DOCUMENT_BYTES", 10)
            patch.setattr(configuration_constants, "DOCUMENT_PIECE_BYTES", 30)
            patch.setattr(all_orders.ManualEnvironment, "post", lambda self, callback: callback())
        check_documents_and_lease_bounds(form, steps)


def check_documents_and_lease_bounds(form, steps):
    """Run the steps on a leader and two routers, and check the documents and the leases after each."""
    pool, task, leases = lease_changes.deployment(2)
    for lease in leases:
        lease.takes_changes = form == "changes"
    acknowledged, activated = {2: pool.time}, {}
    for step in steps + ["wait"] * 4:
        if step == "stage":
            number = task.machine.latest + 1
            lease_changes.stage(task, number)
            acknowledged[number] = pool.time
        elif step == "deliver" and pool.waiting:
            pool.deliver(0)
        elif step == "lose" and pool.waiting:
            pool.waiting.pop(0)
        elif step == "swap" and len(pool.waiting) > 1:
            pool.waiting[:2] = reversed(pool.waiting[:2])
        elif step.startswith("ask"):
            leases[int(step[-1])].request_lease()
        elif step == "restart":
            pool.handlers["r:1"] = {}
            pool.time += 0.001
            leases[1] = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:1", pool.time), lambda: ["a:1"])
        elif step == "leader":
            task.start()
        elif step in ("wait", "long"):
            pool.time += 0.06 if step == "wait" else 0.5
            task.try_activate()
        for number in range(3, task.machine.active + 1):
            activated.setdefault(number, pool.time)
        for lease in leases:
            assert all(held == lease_changes.document(s) for s, held in lease.docs.items() if s > 1)
        for lease, (number, at) in itertools.product(leases, acknowledged.items()):
            if lease.active < number:
                assert lease.valid_until <= at + task.bounds.older_lease_window_s + constants.SHORT_LEASE_S + 1e-9
        for lease, (number, at) in itertools.product(leases, activated.items()):
            if lease.active < number:
                assert lease.valid_until <= at + constants.SHORT_LEASE_S + 1e-9
