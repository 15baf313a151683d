"""Three members of one part as an order duty sees them: who leads, who is frozen, what their lease shows."""

import mothshed.constants as constants
import mothshed.control_plane.orders as orders
import mothshed.control_plane.service_part as service_part
import tests.all_orders as all_orders


class Group:
    """Three members of one part: who leads, until when it is sure, and which of them are frozen."""

    def __init__(self, tenure):
        self.pool = all_orders.Pool()
        self.seats = {member_id: Seat(self, member_id) for member_id in "ABC"}
        self.leader_tasks = {}
        for member_id, seat in self.seats.items():
            self.leader_tasks[member_id] = orders.OrderLeaderTask(seat, None, Lease(), None)
            self.leader_tasks[member_id].tenure = tenure
        self.log, self.leader, self.frozen = [], None, {}
        self.arrived = []  # (time, who, fence)

    def lead(self, member_id):
        """An election: no vote is given before the last leader's sure time has run out."""
        if member_id in self.frozen or any(seat.has_quorum() for w, seat in self.seats.items() if w != member_id):
            return
        self.leader = member_id
        self.seats[member_id].renew()
        self.leader_tasks[member_id].start()

    def freeze(self, member_id):
        self.frozen.setdefault(member_id, self.pool.time)

    def commit(self, command):
        self.log.append(command)
        for seat in self.seats.values():
            if seat.member_id not in self.frozen:
                seat.catch_up()


class Lease:
    """A lease that runs until a test ends it, over a document that a test changes."""

    def __init__(self):
        self.number, self.pools = 1, {"main": {"selector": {"service": "main"}}}

    def current(self):
        return self.number, {"pools": self.pools}

    def change(self, **pools):
        """A newer configuration: the pools as they are, but for these."""
        self.number, self.pools = self.number + 1, {**self.pools, **pools}


class Seat:
    """A member as the duty sees it."""

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

    def propose(self, command, call=lambda result: None):
        self.group.commit(command)
        call(self.result)


def wait_a_while(group, span):
    group.pool.time += span
    if group.leader and group.leader not in group.frozen:
        group.seats[group.leader].renew()
