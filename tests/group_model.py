"""A group of members whose messages, clocks, crashes and disks are moved by hand.

Used by model tests: it applies the product's own Member, checks after every step that
no two leaders share a term and that no index is applied with two commands, and can
bring the group to rest at the end to see whether what was acknowledged is there.
"""

import itertools

import mothshed.constants as constants
import mothshed.control_plane.member as member_module
import mothshed.control_plane.reconfiguration as reconfiguration
import tests.all_orders as all_orders

STEP = 0.05  # s; the clock's step while the group comes to rest
REST_STEPS = 400  # steps that a group is given to come to rest


class Recorder:
    """A machine that keeps what was applied, and compares it with all others."""

    commands = frozenset({"note"})

    def __init__(self, history):
        self.history, self.rows = history, []

    def apply(self, index, command):
        said = self.history.setdefault(index, command)
        assert said == command, f"index {index} is {said} and {command}"
        if command["op"] == "note":
            self.rows.append(command["n"])
        return {"index": index}

    def dump(self):
        return {"rows": list(self.rows)}

    def restore(self, state):
        self.rows = list(state["rows"])


class Group:
    machine_class = Recorder

    def __init__(self, size, losses):
        self.pool = all_orders.Pool()
        self.failure_tolerance = reconfiguration.FailureTolerance(losses, 4.0)
        self.history, self.leaders, self.acknowledged = {}, {}, []
        self.seats, self.disks, self.marks, self.down = {}, {}, {}, set()
        self.count = 0
        self.committed_at = {}  # index -> when a member first knew it committed
        self.checked_commit_time_bounds = 0  # how many such moments were checked
        self.leases = []  # (term of the leader that a majority confirmed, when the lease was asked for)
        names = [chr(ord("A") + n) for n in range(size)]
        voters = {f"{name}/1": {"address": self.address(name), "http": ""} for name in names}
        for name in names:
            self.disks[name], self.marks[name] = all_orders.disk(), 1
            log = member_module.disk_log.PartLog(self.disks[name], 0)
            log.put([{"i": 1, "t": 0, "c": {"op": "members", "members": voters, "outgoing": {}}}])
            self.boot(name)
        self.pool.time += 10

    def address(self, name):
        return f"{name.lower()}:1"

    def boot(self, name):
        address = self.address(name)
        self.pool.ears[address] = {}
        seat = member_module.Member(
            all_orders.ManualEnvironment(self.pool, address, f"{name}{self.count}"),
            self.disks[name],
            0,
            f"{name}/{self.marks[name]}",
            "",
            [],
            self.machine_class(self.history),
            lambda: [self.address(other) for other in self.seats],
            self.failure_tolerance,
        )
        seat.start()
        self.seats[name] = seat
        self.down.discard(name)

    # --- what may happen ---
    def crash(self, name):
        self.down.add(name)
        self.pool.ears[self.address(name)] = {}
        self.disks[name].crash()

    def wipe(self, name):
        self.crash(name)
        self.disks[name] = all_orders.disk()
        self.marks[name] += 1

    def add(self, name):
        """A machine that the group has not met."""
        self.disks[name], self.marks[name] = all_orders.disk(), 1
        self.boot(name)

    def tick(self, name):
        if name not in self.down:
            self.seats[name].handle_disk_faults(self.seats[name].run_periodic_tasks)()

    def deliver(self, at):
        if self.pool.waiting:
            self.pool.deliver(at % len(self.pool.waiting))

    def propose(self, name):
        """A write through this member, if it leads; noted once acknowledged."""
        seat = self.seats[name]
        if name in self.down or not (seat.is_leader and seat.ready):
            return
        self.count += 1
        number = self.count
        seat.propose({"op": "note", "n": number}, lambda result: result and self.acknowledged.append(number))

    def ask_lease(self, name):
        """A lease asked of this member, if it leads; granted once a majority has confirmed it."""
        seat = self.seats[name]
        if name in self.down or not (seat.is_leader and seat.ready):
            return
        asked, term = self.pool.time, seat.log.term
        seat.confirm_leadership(lambda good: good and self.leases.append((term, asked)))

    # --- what must hold ---
    def check_leases(self, seat):
        """No lease of an earlier leader outlasts the moment from which this one takes them all for run out."""
        end = seat.former_leases_end(constants.LONG_LEASE_S)
        for term, asked in self.leases:
            if term < seat.log.term:
                left = asked + constants.LONG_LEASE_S - end
                assert left <= 0, (
                    f"a lease of term {term} runs {left:.2f} s past the wait of the leader of {seat.member_id}"
                )

    def check_commit_time_bounds(self):
        """What a member takes for the earliest moment at which an entry was committed is no later than it was."""
        running = [seat for name, seat in self.seats.items() if name not in self.down]
        for seat in running:
            for index in range(1, seat.commit_index + 1):
                self.committed_at.setdefault(index, self.pool.time)
        for seat, index in itertools.product(running, self.committed_at):
            moment = seat.not_committed_before(index)
            if moment is not None:
                self.checked_commit_time_bounds += 1
                late_s = moment - self.committed_at[index]
                assert late_s <= 0, f"{seat.member_id} takes index {index} for committed {late_s:.2f} s after it was"

    def check(self):
        self.check_commit_time_bounds()
        for name, seat in self.seats.items():
            if name not in self.down and seat.is_leader:
                known = self.leaders.setdefault(seat.log.term, seat.member_id)
                assert known == seat.member_id, f"two leaders of term {seat.log.term}: {known}, {seat.member_id}"
                self.check_leases(seat)

    def whole(self):
        """Whether a leader has settled on just the members that there are: then a disk may be lost."""
        wanted = {f"{name}/{mark}" for name, mark in self.marks.items()}
        for name, seat in self.seats.items():
            if name not in self.down and seat.is_leader and seat.ready and seat.commit_index >= seat.membership_index:
                if not seat.membership.joint and set(seat.membership.voters) == wanted:
                    newest = max(s.log.term for n, s in self.seats.items() if n not in self.down)
                    return seat.log.term == newest
        return False

    def rest(self):
        """Everything runs and is heard, in order, until the group is whole and all have applied the same."""
        for name in sorted(self.down):
            self.boot(name)
        for _ in range(REST_STEPS):
            self.pool.time += STEP
            for name in sorted(self.seats):
                self.tick(name)
            for _ in range(len(self.pool.waiting) + 200):
                if self.pool.waiting:
                    self.pool.deliver(0)
                    self.check()
            if self.whole() and len({tuple(s.machine.rows) for s in self.seats.values()}) == 1:
                return
        states = {
            n: (s.chart.state, s.log.term, s.log.last, s.commit_index, s.membership) for n, s in self.seats.items()
        }
        raise AssertionError(f"the group does not come to rest: {states}")

    def finish(self):
        self.rest()
        kept = next(iter(self.seats.values())).machine.rows
        assert set(self.acknowledged) <= set(kept), f"lost: {sorted(set(self.acknowledged) - set(kept))}"
        assert len(kept) == len(set(kept)), "a write was applied twice"
