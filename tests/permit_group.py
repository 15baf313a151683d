"""A part's group whose members grant permits, under random elections, cuts, freezes, restarts and snapshots.

Every grant of every member is recorded with the time from which it counts. `check_grants` compares the grants of any
window with what docs/shared.md allows, and the time between leaders that start with a credit with the window.
"""

import random

import mothshed.constants as constants
import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.permit_duty as permit_duty
import mothshed.runtime.journal as journal_module
import tests.group_model as group_model

STEP = 0.05  # s; the clock's step
BOUNDS = limit_bounds.LimitBounds(window_s=5.0, excess=0.0, slack=4.0)
ROW = {"rate_per_s": 3, "burst": 8}
ROUTER = "router:1"
REQUESTED = 40  # requests in a permit request: more than a bucket ever holds
EVENTS = ("cut", "heal", "heal", "freeze", "thaw", "thaw", "crash", "boot", "boot", "transfer", "write")


class PermitRecorder(group_model.Recorder):
    """A machine that reports the first entries of leaders, as the service part's does."""

    def __init__(self, history):
        super().__init__(history)
        self.leader_entry_applied = lambda: None

    def apply(self, index, command):
        if command["op"] == "begin":
            self.leader_entry_applied()
        return super().apply(index, command)

    def restore(self, state):
        super().restore(state)
        self.leader_entry_applied()


class Lease:
    """A lease over a document that limits one tenant."""

    def current(self):
        return 1, {"tenants": {"a": ROW}}


class RecordingTask(permit_duty.PermitLeaderTask):
    """Records what is granted, and when a leader starts with a credit."""

    group = None

    def start(self):
        super().start()
        if self.with_credit:
            self.group.credits.append(self.started)

    def grant(self, tenant, row, count, now):
        taken, wait_s = super().grant(tenant, row, count, now)
        if taken:
            self.group.grants.append((now, taken))
        return taken, wait_s


class PermitGroup(group_model.Group):
    """The members, what they have granted, and which of them are cut off or frozen."""

    machine_class = PermitRecorder
    task_class = RecordingTask
    task_bounds = BOUNDS

    def __init__(self, size, losses, number):
        self.grants, self.credits, self.leader_tasks = [], [], {}
        self.cut, self.frozen = set(), set()
        self.random = random.Random(number)
        super().__init__(size, losses)

    def boot(self, name):
        super().boot(name)
        task = self.task_class(self.members[name], Lease(), journal_module.Journal(), self.task_bounds)
        task.group = self
        self.leader_tasks[name] = task

    def settle(self, span):
        """Advance time in steps: running members work, and messages are delivered unless held up."""
        for _ in range(round(span / STEP)):
            self.pool.time += STEP
            for name in sorted(set(self.members) - self.frozen):
                self.tick(name)
            self.deliver_all()

    def deliver_all(self):
        """Deliver in order; a cut loses messages, and those to a frozen member are kept."""
        held = []
        for _ in range(400):
            if not self.pool.waiting:
                break
            destination, sender, *_ = self.pool.waiting[0]
            if {destination, sender} & {self.address(name) for name in self.cut}:
                self.pool.waiting.pop(0)
            elif destination in {self.address(name) for name in self.frozen}:
                held.append(self.pool.waiting.pop(0))
            else:
                self.pool.deliver(0)
        self.pool.waiting = held + self.pool.waiting

    def request_from_all(self):
        """Request permits from every running member."""
        for name in sorted(set(self.members) - self.down - self.frozen):
            self.request_permits(name)

    def request_permits(self, name):
        """Request permits from one member."""
        body = {"mark": 1, "sequence": 1, "counts": {"a": REQUESTED}}
        self.leader_tasks[name].on_permit_ask(ROUTER, body)

    def freeze_during_request(self, name, span):
        """Freeze a member just after it has confirmed its majority, while the others go on."""
        seat = self.members[name]
        if self.down | self.frozen or not seat.is_leader:
            return
        self.request_permits(name)
        has_quorum = type(seat).has_quorum

        def quorum_then_stop():
            found = has_quorum(seat)
            del seat.has_quorum
            if found:
                self.frozen.add(name)
                for _ in range(round(span / 0.5)):
                    self.settle(0.5)
                    self.request_from_all()
                self.frozen.discard(name)
            return found

        seat.has_quorum = quorum_then_stop
        self.request_permits(name)
        seat.__dict__.pop("has_quorum", None)

    def inject_event(self):
        """Cause one random event."""
        name = self.random.choice([*sorted(self.members), *[n for n in self.members if self.members[n].is_leader] * 3])
        event = self.random.choice(EVENTS)
        if event == "cut":
            self.cut = {name}
        elif event == "heal":
            self.cut = set()
        elif event == "freeze" and not self.down:
            self.frozen = {name}
        elif event == "thaw":
            self.frozen = set()
        elif event == "crash" and not self.down | self.frozen:
            self.crash(name)
        elif event == "boot" and self.down:
            self.boot(min(self.down))
        elif event == "transfer" and name not in self.down | self.frozen:
            self.members[name].transfer_leadership()
        elif event == "write":
            for _ in range(6):
                self.propose(name)

    def walk(self, steps):
        """Take so many random steps, checking after each."""
        self.converge()
        for _ in range(steps):
            self.settle(self.random.choice((0.05, 0.2, 0.7, 1.5, 3.0)))
            if self.random.random() < 0.6:
                self.inject_event()
            if self.random.random() < 0.2:
                for name in sorted(self.members):
                    self.freeze_during_request(name, self.random.choice((0.5, 2.0, 4.0)))
            if self.random.random() < 0.5:
                self.request_from_all()
            self.check_grants()

    def check_grants(self):
        """Check the grants of every window and the times of credits."""
        rate, burst = ROW["rate_per_s"], ROW["burst"]
        allowed = rate * BOUNDS.window_s + burst + BOUNDS.allowance(rate, burst)
        for end, _ in self.grants[-40:]:
            inside = sum(taken for at, taken in self.grants if end - BOUNDS.window_s < at <= end)
            assert inside <= allowed + constants.CLOCK_ROUNDING_ERROR_S, (
                f"{inside} granted in a window where {allowed} are allowed"
            )
        for earlier, later in zip(self.credits, self.credits[1:], strict=False):
            assert later - earlier > BOUNDS.window_s, f"credits {later - earlier:.2f} s apart"
