"""A part's group whose members grant permits: elections, cuts, freezes, restarts and snapshots, drawn by a number.

Every grant of every member is noted with the moment that it counts from. `check` holds the grants of any window
against what docs/shared.md allows, and the moments at which leaders began with a credit against the window.
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
ASKED = 40  # requests in an ask: more than a bucket ever holds
EVENTS = ("cut", "heal", "heal", "freeze", "thaw", "thaw", "crash", "boot", "boot", "hand_over", "write")


class PermitRecorder(group_model.Recorder):
    """A machine that tells of the entries with which leaders begin, as the service part's does."""

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


class NotingDuty(permit_duty.PermitLeaderTask):
    """Notes what is granted, and when a leader begins with a credit."""

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
    duty_class = NotingDuty
    duty_bounds = BOUNDS

    def __init__(self, size, losses, number):
        self.grants, self.credits, self.leader_tasks = [], [], {}
        self.cut, self.frozen = set(), set()
        self.draw = random.Random(number)
        super().__init__(size, losses)

    def boot(self, name):
        super().boot(name)
        duty = self.duty_class(self.seats[name], Lease(), journal_module.Journal(), self.duty_bounds)
        duty.group = self
        self.leader_tasks[name] = duty

    def settle(self, span):
        """Let time pass, step by step: all that runs works, and all that is not held up is delivered."""
        for _ in range(round(span / STEP)):
            self.pool.time += STEP
            for name in sorted(set(self.seats) - self.frozen):
                self.tick(name)
            self.deliver_all()

    def deliver_all(self):
        """Deliver in order; a cut loses messages, a frozen member's wait for it."""
        held = []
        for _ in range(400):
            if not self.pool.waiting:
                break
            goal, sender, *_ = self.pool.waiting[0]
            if {goal, sender} & {self.address(name) for name in self.cut}:
                self.pool.waiting.pop(0)
            elif goal in {self.address(name) for name in self.frozen}:
                held.append(self.pool.waiting.pop(0))
            else:
                self.pool.deliver(0)
        self.pool.waiting = held + self.pool.waiting

    def ask_all(self):
        """A router asks every member that runs."""
        for name in sorted(set(self.seats) - self.down - self.frozen):
            self.ask(name)

    def ask(self, name):
        """A router asks one member."""
        body = {"mark": 1, "sequence": 1, "counts": {"a": ASKED}}
        self.leader_tasks[name].on_permit_ask(ROUTER, body)

    def freeze_inside_ask(self, name, span):
        """A member is stopped just after it has found that it leads for sure; the others go on."""
        seat = self.seats[name]
        if self.down | self.frozen or not seat.is_leader:
            return
        self.ask(name)
        has_quorum = type(seat).has_quorum

        def quorum_then_stop():
            found = has_quorum(seat)
            del seat.has_quorum
            if found:
                self.frozen.add(name)
                for _ in range(round(span / 0.5)):
                    self.settle(0.5)
                    self.ask_all()
                self.frozen.discard(name)
            return found

        seat.has_quorum = quorum_then_stop
        self.ask(name)
        seat.__dict__.pop("has_quorum", None)

    def trouble(self):
        """One drawn event."""
        name = self.draw.choice([*sorted(self.seats), *[n for n in self.seats if self.seats[n].is_leader] * 3])
        event = self.draw.choice(EVENTS)
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
        elif event == "hand_over" and name not in self.down | self.frozen:
            self.seats[name].transfer_leadership()
        elif event == "write":
            for _ in range(6):
                self.propose(name)

    def walk(self, steps):
        """Go on by so many steps, checking after each."""
        self.rest()
        for _ in range(steps):
            self.settle(self.draw.choice((0.05, 0.2, 0.7, 1.5, 3.0)))
            if self.draw.random() < 0.6:
                self.trouble()
            if self.draw.random() < 0.2:
                for name in sorted(self.seats):
                    self.freeze_inside_ask(name, self.draw.choice((0.5, 2.0, 4.0)))
            if self.draw.random() < 0.5:
                self.ask_all()
            self.check_grants()

    def check_grants(self):
        """The grants of every window, and the moments of credits."""
        rate, burst = ROW["rate_per_s"], ROW["burst"]
        allowed = rate * BOUNDS.window_s + burst + BOUNDS.allowance(rate, burst)
        for end, _ in self.grants[-40:]:
            inside = sum(taken for at, taken in self.grants if end - BOUNDS.window_s < at <= end)
            assert inside <= allowed + constants.CLOCK_ROUNDING_ERROR_S, (
                f"{inside} granted in a window where {allowed} are allowed"
            )
        for earlier, later in zip(self.credits, self.credits[1:], strict=False):
            assert later - earlier > BOUNDS.window_s, f"credits {later - earlier:.2f} s apart"
