"""A consensus group whose messages, clock, crashes and disks are controlled by a test.

It runs the real Member class. After every step it checks that no two leaders share a term and that no two
commands are applied at one index; at the end it lets the group converge and checks that every acknowledged write
is there.
"""

import itertools

import mothshed.constants as constants
import mothshed.control_plane.member as member_module
import mothshed.control_plane.reconfiguration as reconfiguration
import tests.all_orders as all_orders

STEP = 0.05  # seconds per step while the group converges
MAX_CONVERGE_STEPS = 400  # steps within which a group must converge


class Recorder:
    """A state machine that records applied commands and compares them with those of all members."""

    commands = frozenset({"note"})

    def __init__(self, history):
        self.history, self.rows = history, []

    def apply(self, index, command):
        known = self.history.setdefault(index, command)
        assert known == command, f"index {index} is {known} and {command}"
        if command["op"] == "note":
            self.rows.append(command["n"])
        return {"index": index}

    def dump(self):
        return {"rows": list(self.rows)}

    def restore(self, state):
        self.rows = list(state["rows"])


class Group:
    machine_class = Recorder
    environment_class = all_orders.ManualEnvironment

    def __init__(self, size, losses):
        self.pool = all_orders.Pool()
        self.failure_tolerance = reconfiguration.FailureTolerance(losses, 4.0)
        self.history, self.leaders, self.acknowledged = {}, {}, []
        self.members, self.disks, self.incarnations, self.down = {}, {}, {}, set()
        self.count = 0
        self.first_committed_at = {}  # index -> when a member first knew that it was committed
        self.checked_commit_time_bounds = 0  # number of bounds checked
        self.leases = []  # (term of the confirmed leader, time of the lease request)
        names = [chr(ord("A") + n) for n in range(size)]
        voters = {f"{name}/1": {"address": self.address(name), "http": ""} for name in names}
        for name in names:
            self.disks[name], self.incarnations[name] = all_orders.disk(), 1
            log = member_module.disk_log.PartLog(self.disks[name], 0)
            log.put([{"i": 1, "t": 0, "c": {"op": "members", "members": voters, "outgoing": {}}}])
            self.boot(name)
        self.pool.time += 10

    def address(self, name):
        return f"{name.lower()}:1"

    def boot(self, name):
        address = self.address(name)
        self.pool.handlers[address] = {}
        machine, documents = self.member_parts(name)
        member = member_module.Member(
            self.environment_class(self.pool, address, f"{name}{self.count}"),
            self.disks[name],
            0,
            f"{name}/{self.incarnations[name]}",
            "",
            [],
            machine,
            lambda: [self.address(other) for other in self.members],
            self.failure_tolerance,
            documents,
        )
        member.start()
        self.members[name] = member
        self.down.discard(name)

    def member_parts(self, name):
        """The state machine of a member that starts, and the store of its documents, if it has one."""
        return self.machine_class(self.history), None

    def command(self, name, number):
        """The command of a write that is proposed at a member."""
        return {"op": "note", "n": number}

    # --- events ---
    def crash(self, name):
        self.down.add(name)
        self.pool.handlers[self.address(name)] = {}
        self.disks[name].crash()

    def wipe(self, name):
        self.crash(name)
        self.disks[name] = all_orders.disk()
        self.incarnations[name] += 1

    def add(self, name):
        """Starts a member on a new machine."""
        self.disks[name], self.incarnations[name] = all_orders.disk(), 1
        self.boot(name)

    def tick(self, name):
        if name not in self.down:
            self.members[name].handle_disk_faults(self.members[name].run_periodic_tasks)()

    def deliver(self, index):
        if self.pool.waiting:
            self.pool.deliver(index % len(self.pool.waiting))

    def propose(self, name):
        """Proposes a write through this member if it leads, and records its acknowledgement."""
        member = self.members[name]
        if name in self.down or not (member.is_leader and member.ready):
            return
        self.count += 1
        number = self.count
        member.propose(self.command(name, number), lambda result: result and self.acknowledged.append(number))

    def ask_lease(self, name):
        """Requests a lease from this member if it leads; it is granted once a majority has confirmed the leader."""
        member = self.members[name]
        if name in self.down or not (member.is_leader and member.ready):
            return
        requested_at, term = self.pool.time, member.log.term
        member.confirm_leadership(lambda good: good and self.leases.append((term, requested_at)))

    # --- invariants ---
    def check_leases(self, member):
        """Checks that every lease of an earlier leader expires by the time that this leader assumes."""
        end = member.former_leases_end(constants.LONG_LEASE_S)
        for term, requested_at in self.leases:
            if term < member.log.term:
                remaining_s = requested_at + constants.LONG_LEASE_S - end
                assert remaining_s <= 0, (
                    f"a lease of term {term} outlives the wait of leader {member.member_id} by {remaining_s:.2f} s"
                )

    def check_commit_time_bounds(self):
        """Checks that no bound on the commit time of an entry is later than its actual commit."""
        running = [member for name, member in self.members.items() if name not in self.down]
        for member in running:
            for index in range(1, member.commit_index + 1):
                self.first_committed_at.setdefault(index, self.pool.time)
        for member, index in itertools.product(running, self.first_committed_at):
            bound = member.not_committed_before(index)
            if bound is not None:
                self.checked_commit_time_bounds += 1
                late_s = bound - self.first_committed_at[index]
                assert late_s <= 0, (
                    f"the commit time bound of {member.member_id} for index {index} is {late_s:.2f} s too late"
                )

    def check(self):
        self.check_commit_time_bounds()
        for name, member in self.members.items():
            if name not in self.down and member.is_leader:
                known = self.leaders.setdefault(member.log.term, member.member_id)
                assert known == member.member_id, f"two leaders of term {member.log.term}: {known}, {member.member_id}"
                self.check_leases(member)

    def has_final_membership(self):
        """Whether a leader has committed exactly the existing members as voters, so that a disk may be lost."""
        wanted = {f"{name}/{incarnation}" for name, incarnation in self.incarnations.items()}
        for name, member in self.members.items():
            if (
                name not in self.down
                and member.is_leader
                and member.ready
                and member.commit_index >= member.membership_index
            ):
                if not member.membership.joint and set(member.membership.voters) == wanted:
                    newest = max(member.log.term for name, member in self.members.items() if name not in self.down)
                    return member.log.term == newest
        return False

    def converge(self):
        """Runs all members and delivers in order until the membership is final and all states are equal."""
        for name in sorted(self.down):
            self.boot(name)
        for _ in range(MAX_CONVERGE_STEPS):
            self.pool.time += STEP
            for name in sorted(self.members):
                self.tick(name)
            for _ in range(len(self.pool.waiting) + 200):
                if self.pool.waiting:
                    self.pool.deliver(0)
                    self.check()
            if (
                self.has_final_membership()
                and len({tuple(member.machine.rows) for member in self.members.values()}) == 1
            ):
                return
        states = {
            name: (member.chart.state, member.log.term, member.log.last, member.commit_index, member.membership)
            for name, member in self.members.items()
        }
        raise AssertionError(f"the group does not converge: {states}")

    def finish(self):
        self.converge()
        kept = next(iter(self.members.values())).machine.rows
        assert set(self.acknowledged) <= set(kept), f"lost: {sorted(set(self.acknowledged) - set(kept))}"
        assert len(kept) == len(set(kept)), "a write was applied twice"
