"""The protections, each with a way to take it out, the day that needs it and its rule."""

import contextlib
import unittest.mock

import mothshed.common.constants as constants
import mothshed.common.lease as lease
import mothshed.common.remembered as remembered
import mothshed.common.replica_adapter as replica_adapter
import mothshed.common.replicas as replicas
import mothshed.common.verdict as verdict
import mothshed.control_plane.config_part as config_part
import mothshed.control_plane.joining as joining
import mothshed.control_plane.keeper as keeper
import mothshed.control_plane.member as member
import mothshed.control_plane.orders as orders
import mothshed.control_plane.replication as replication
import mothshed.control_plane.service_part as service_part
import mothshed.data_plane.admission as admission
import mothshed.data_plane.budget as budget
import mothshed.data_plane.carry as carry
import mothshed.data_plane.frees as frees
import mothshed.data_plane.guard as guard
import mothshed.data_plane.router as router
import tools.replica_memory as replica_memory
import tools.simulator.desk as desk


def put(owner, **changes):
    """A patch of several attributes of one owner."""
    return lambda: unittest.mock.patch.multiple(owner, **changes)


def repeat_unsafe(self, e):
    if self.chart.state == "relaying":
        raise verdict.StreamBroken(str(e)) from e
    if self.desk.now() >= self.request.cutoff:  # or it would go round without end
        self.end()


def count_alone(self):
    """Commits what the owner alone has written."""
    if self.log.last > self.commit:
        self.commit = self.log.last
        self.apply_all()


def stage_anyway(self, command):
    self.latest += 1
    self.docs[self.latest] = {"doc": command["doc"], "by": command["by"], "id": command["id"]}
    self.drop_documents()
    self.changed("stage", self.latest)
    return {"sequence": self.latest}


def activate_at_once(self):
    m = self.machine
    if self.on and m.latest > m.active and not self.asking:
        self.asking = True
        self.member.propose({"op": "activate", "sequence": m.latest}, self.activated)


def take_level(self, index, command):
    if command["op"] == "take":
        self.holder, self.standing = command["who"], 1
        return {"standing": 1}
    return APPLY(self, index, command)


def confirm_alone(self, call):
    call(True)


def sync_nothing(self, name):
    pass


def deaf_to_leaving(self, rows):
    TAKE_LIST(self, {n: {**r, "leaving": False} for n, r in rows.items()})


def bounce_late(self, request, share, make_plan, again=False):
    self.desk.pause(5.0)
    raise verdict.Bounce(503, "late", 1)


def bounce_some(self):
    """A router that bounces every third request without need."""
    TICKETS.append(None)
    if len(TICKETS) % 3 == 0:
        self.chart.step("bounce")
        raise verdict.Bounce(503, "without need", 1)
    return ADMIT(self)


def alone(self, selector):
    """Each part plans for its own replicas as if they were the pool."""
    ours, rest, rank = SHARED(self, selector)
    return ours, {}, 0


def stop_at_once(self, most):
    with self.lock:
        self.stopping = True
    return True


def first_come(self):
    """One queue for all tenants, in the order of arrival."""
    rows = [t for q in self.queues.values() for t in q]
    return min(rows, key=lambda t: t.born, default=None)


def ticket(self, tenant, share, gate):
    self.tenant, self.share, self.gate = tenant, share, gate
    TICKETS.append(None)
    self.born = len(TICKETS)


def first_come_first_served():
    """All queues as one, unbounded per tenant, as a plain queue would be."""
    stack = contextlib.ExitStack()
    stack.enter_context(put(admission.Admission, head=first_come)())
    stack.enter_context(put(admission.Ticket, __init__=ticket)())
    stack.enter_context(put(constants, QUEUE_TENANT=constants.QUEUE_MOST)())
    return stack


def any_handle(desk_, request, name, place, sequence, left, ready):
    handle = PREFILL(desk_, request, name, place, sequence, left, ready)
    KEPT.append(handle)
    other = next((h for h in KEPT[:-1] if h.replica == handle.replica), handle)
    return replica_adapter.Handle(name, handle.replica, handle.address, other.engine, other.params, handle.born)


def loose_ends(self):
    """A stream whose end is taken for whole wherever it is cut."""
    rows = []
    try:
        for row in ITER(self):
            rows.append(row)
            yield row
    except verdict.SendFailure:
        if not rows:
            raise


ADMIT = carry.Carry.admit
SHARED = orders.OrderDuty.shared
APPLY = service_part.ServiceMachine.apply
TAKE_LIST = replicas.Replicas.take_list
PREFILL = replica_adapter.prefill
ITER = replica_adapter.Stream.__iter__
KEPT = []
TICKETS = []

ROWS = {
    "unsafe requests are not repeated": (put(carry.Carry, may_repeat=repeat_unsafe), "replica_crash", "never twice"),
    "a bounce needs proof that nothing ran": (
        put(carry.Carry, note=lambda self, e: self.fails.append(e)),
        "replica_answers_broken",
        "never twice",
    ),
    "a held handle belongs to one request": (put(replica_adapter, prefill=any_handle), "calm", "own memory"),
    "a stream ends only when whole": (
        put(replica_adapter.Stream, __iter__=loose_ends),
        "replica_answers_broken",
        "whole and own",
    ),
    "the lease is checked before a send": (
        put(lease.Lease, sequence=lambda self: self.view[0] if self.view[2] else None),
        "core_cut",
        "new after ack",
    ),
    "the lease is checked once the connection stands": (
        put(carry.Carry, ready=lambda self, sequence, role: lambda: True),
        "freeze_in_connect",
        "new after ack",
    ),
    "leases are short during a change": (
        put(constants, LEASE_SHORT=constants.LEASE_LONG),
        "cut_after_staging",
        "no fall back",
    ),
    "activation waits for the leaseholders": (
        put(config_part.ConfigDuty, try_activate=activate_at_once),
        "router_loses_keepers",
        "no fall back",
    ),
    "a lease answer needs a majority": (
        put(replication.Replication, confirm=confirm_alone),
        "frozen_owner_with_company",
        "new after ack",
    ),
    "a write needs a majority": (
        put(replication.Replication, count_commit=count_alone),
        "owner_cut_off",
        "writes kept",
    ),
    "a write is synced before it counts": (put(desk.SimDisk, sync=sync_nothing), "kill_all", "writes kept"),
    "compare-and-set on the sequence": (
        put(config_part.ConfigMachine, stage=stage_anyway),
        "configuration_race",
        "writes kept",
    ),
    "a wiped member is somebody new": (
        put(keeper, incarnation=lambda disk, name, chance: f"{name}/same"),
        "wiped_and_cut",
        "writes kept",
    ),
    "a standing only rises": (
        put(service_part.ServiceMachine, apply=take_level),
        "order_owner_killed",
        "orders fenced",
    ),
    "a new holder waits its turn": (put(constants, TURN_GAP=0.1), "order_owner_killed", "orders fenced"),
    "a leaving replica is left alone": (put(replicas.Replicas, take_list=deaf_to_leaving), "leaving", "leaving"),
    "extra sends have a budget": (
        put(budget.Budget, extra=lambda self, count=1: True),
        "replicas_bounce",
        "few extras",
    ),
    "every handle is freed": (put(frees.Frees, order=lambda self, handle: None), "calm", "freed"),
    "a neighbour keeps a lost router's frees": (
        put(guard.Guard, owe=lambda self, request, place, left: None),
        "kill_router",
        "freed",
    ),
    "a polite stop waits for what is in flight": (
        put(router.Router, drain=stop_at_once),
        "polite_stops",
        "nothing dropped",
    ),
    "tenants are queued fairly": (first_come_first_served, "tenant_rush", "none starved"),
    "a free place is not refused": (put(carry.Carry, admit=bounce_some), "calm", "in time"),
    "given-up requests are answered at once": (put(admission.Admission, enter=bounce_late), "calm", "answered at once"),
    "newcomers are admitted": (
        put(joining.Joining, on_join_ask=lambda self, sender, body: None),
        "keepers_swapped",
        "service returns",
    ),
    "a failed sync ends a member's part": (
        put(member.Member, fail_disk=lambda self, e: None),
        "disk_sync_fails",
        "no crash inside",
    ),
    "a neighbour's newer reading outlasts an older own one": (
        put(constants, LEAVE_KEEP=0.0),
        "lists_lag_apart",
        "leaving",
    ),
    "keepers call whom they remember": (
        put(remembered.Remembered, to_call=lambda self, near: []),
        "all_restart_after_swap",
        "service returns",
    ),
    "replicas refuse older sends": (
        put(replica_memory.Memory, older=lambda self, sequence: False),
        "freeze_in_write",
        "new after ack",
    ),
    "a pool's bounds hold over its parts": (put(orders.OrderDuty, shared=alone), "small_pool_renamed", "pool whole"),
}
