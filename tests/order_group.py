"""Three members of one part as their order tasks see them: the leader, frozen members, and the lease."""

import mothshed.constants as constants
import mothshed.control_plane.orders as orders
import mothshed.control_plane.service_part as service_part
import tests.all_orders as all_orders


class Group:
    """Three members of one part: the leader, how long it has a quorum, and the frozen members."""

    def __init__(self, tenure):
        self.pool = all_orders.Pool()
        self.members = {member_id: MemberStub(self, member_id) for member_id in "ABC"}
        self.leader_tasks = {}
        for member_id, member in self.members.items():
            self.leader_tasks[member_id] = orders.OrderLeaderTask(member, None, Lease(), None)
            self.leader_tasks[member_id].tenure = tenure
        self.log, self.leader, self.frozen = [], None, {}
        self.arrived = []  # (time, member id, fencing token)

    def lead(self, member_id):
        """Elects a member; votes are withheld until no leader has a quorum any more."""
        if member_id in self.frozen or any(
            member.has_quorum() for other, member in self.members.items() if other != member_id
        ):
            return
        self.leader = member_id
        self.members[member_id].renew()
        self.leader_tasks[member_id].start()

    def freeze(self, member_id):
        self.frozen.setdefault(member_id, self.pool.time)

    def commit(self, command):
        self.log.append(command)
        for member in self.members.values():
            if member.member_id not in self.frozen:
                member.catch_up()


class Lease:
    """A lease that never expires, over a document that a test may change."""

    def __init__(self):
        self.number, self.pools = 1, {"main": {"selector": {"service": "main"}}}

    def current(self):
        return self.number, {"pools": self.pools}

    def change(self, **pools):
        """Activates a newer configuration in which these pools are replaced."""
        self.number, self.pools = self.number + 1, {**self.pools, **pools}


class MemberStub:
    """A member as its order task sees it."""

    def __init__(self, group, member_id):
        self.group, self.member_id, self.part = group, member_id, 1
        self.environment = all_orders.ManualEnvironment(group.pool, member_id)
        self.machine, self.last_applied = service_part.ServiceMachine(), 0
        self.leader_tasks, self.quorum_until = [], 0.0

    def renew(self):
        self.quorum_until = self.environment.now() + constants.VOTE_WITHHOLD_S - constants.LEASE_CLOCK_MARGIN_S

    def has_quorum(self):
        return self.environment.now() < self.quorum_until

    def catch_up(self):
        for command in self.group.log[self.last_applied :]:
            self.result = self.machine.apply(0, command)
        self.last_applied = len(self.group.log)

    def propose(self, command, callback=lambda result: None):
        self.group.commit(command)
        callback(self.result)


def advance_time(group, seconds):
    group.pool.time += seconds
    if group.leader and group.leader not in group.frozen:
        group.members[group.leader].renew()
