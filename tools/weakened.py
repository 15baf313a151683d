"""Weakened forms of the protections, which `tools.protections` patches in during a scenario."""

import contextlib
import unittest.mock

import mothshed.constants as constants
import mothshed.control_plane.member as member
import mothshed.control_plane.orders as orders
import mothshed.control_plane.service_part as service_part
import mothshed.data_plane.admission as admission
import mothshed.data_plane.request_execution as request_execution
import mothshed.replicas.known_replicas as replicas
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import mothshed.storage.disk as disk
import mothshed.storage.disk_log as disk_log


def patch(target, **changes):
    """Return a callable that creates a patch of several attributes of a target."""
    return lambda: unittest.mock.patch.multiple(target, **changes)


@contextlib.contextmanager
def write_after_error():
    """Let member, log and disk continue to write a file after a failed write."""
    with (
        unittest.mock.patch.object(member.Member, "fail_disk", lambda self, e: None),
        unittest.mock.patch.object(
            disk_log.PartLog, "refuse_writes_after_error", lambda self: contextlib.nullcontext()
        ),
        unittest.mock.patch.object(disk.Disk, "check_usable", lambda self, name: None),
    ):
        yield


def allow_unsafe_retries(self, failure):
    if self.chart.state == "relaying":
        raise verdict.StreamInterrupted("stream broke", str(failure)) from failure
    if self.environment.now() >= self.request.cutoff:  # otherwise it would retry forever
        self.raise_final_failure()


def commit_without_majority(self):
    """Commit what only the leader has written."""
    if self.log.last > self.commit_index:
        self.commit_index = self.log.last
        self.apply_all()


def stage_without_comparison(self, index, command):
    self.latest += 1
    self.docs[self.latest] = {"doc": command["doc"], "by": command["by"], "id": command["id"]}
    self.drop_old_documents()
    self.notify_change("stage", self.latest)
    return {"sequence": self.latest}


def activate_immediately(self):
    machine = self.machine
    if self.leading and machine.latest > machine.active and not self.activation_proposed:
        self.activation_proposed = True
        self.member.propose({"op": "activate", "sequence": machine.latest}, self.activation_finished)


def repeat_fencing_token(self, index, command):
    if command["op"] == "take":
        self.order_leader, self.fencing_token = command["who"], 1
        return {"standing": 1}
    return ORIGINAL_APPLY(self, index, command)


def confirm_without_majority(self, call):
    call(True)


def skip_sync(self, name):
    pass


def ignore_leaving(self, rows):
    ORIGINAL_UPDATE_LIST(self, {n: {**r, "leaving": False} for n, r in rows.items()})


def reject_late(self, request, share, make_plan, readmission=False):
    self.environment.sleep(5.0)
    raise verdict.Rejection(503, "late", 1)


def reject_every_third(self):
    """Reject every third request although there is capacity."""
    COUNTED.append(None)
    if len(COUNTED) % 3 == 0:
        self.chart.step("bounce")
        raise verdict.Rejection(503, "without need", 1)
    return ORIGINAL_ADMIT(self)


def ignore_other_parts(self, selector):
    """Let each part plan for its own replicas as if they were the whole pool."""
    own, others, rank = ORIGINAL_POOL_REPLICAS(self, selector)
    return own, {}, 0


def stop_immediately(self, schedule, begun_at):
    with self.lock:
        self.stopping = True
    return True


def next_in_arrival_order(self):
    """Serve one queue for all tenants in the order of arrival."""
    rows = [t for q in self.queues.values() for t in q]
    return min(rows, key=lambda t: t.born, default=None)


def init_numbered_entry(self, tenant, share, event):
    self.tenant, self.share, self.event = tenant, share, event
    COUNTED.append(None)
    self.born = len(COUNTED)


def serve_in_arrival_order():
    """Replace the queues per tenant by one queue without a limit per tenant."""
    stack = contextlib.ExitStack()
    stack.enter_context(patch(admission.Admission, next_entry=next_in_arrival_order)())
    stack.enter_context(patch(admission.QueueEntry, __init__=init_numbered_entry)())
    stack.enter_context(patch(constants, MAX_TENANT_QUEUED_REQUESTS=constants.MAX_QUEUED_REQUESTS)())
    return stack


def mix_up_handles(environment, request, name, place, sequence, left, ready, read_timeout_s, on_silence):
    handle = ORIGINAL_PREFILL(environment, request, name, place, sequence, left, ready, read_timeout_s, on_silence)
    HANDLES.append(handle)
    other = next((h for h in HANDLES[:-1] if h.replica == handle.replica), handle)
    return replica_adapter.Handle(name, handle.replica, handle.address, other.engine, other.params, handle.created_at)


def accept_truncated_streams(self):
    """Treat a truncated stream as complete."""
    rows = []
    try:
        for row in ORIGINAL_ITER(self):
            rows.append(row)
            yield row
    except verdict.SendFailure:
        if not rows:
            raise


ORIGINAL_ADMIT = request_execution.RequestExecution.admit
ORIGINAL_POOL_REPLICAS = orders.OrderLeaderTask.pool_replicas
ORIGINAL_APPLY = service_part.ServiceMachine.apply
ORIGINAL_UPDATE_LIST = replicas.Replicas.update_list
ORIGINAL_PREFILL = replica_adapter.prefill
ORIGINAL_ITER = replica_adapter.Stream.__iter__
HANDLES = []
COUNTED = []
