"""Three members of one part as an order duty sees them: who leads, who is frozen, what their lease shows."""

import mothshed.constants as constants
import mothshed.control_plane.orders as orders
import mothshed.control_plane.service_part as service_part
import tests.all_orders as all_orders


class Group:
    """Three members of one part: who leads, until when it is sure, and which of them are frozen."""

    def __init__(self, tenure):
        self.pool = all_orders.Pool()
        self.seats = {who: Seat(self, who) for who in "ABC"}
        self.duties = {}
        for who, seat in self.seats.items():
            self.duties[who] = orders.OrderDuty(seat, None, Lease(), None)
            self.duties[who].tenure = tenure
        self.log, self.leader, self.frozen = [], None, {}
        self.arrived = []  # (time, who, fence)

    def lead(self, who):
        """An election: no vote is given before the last leader's sure time has run out."""
        if who in self.frozen or any(seat.sure() for w, seat in self.seats.items() if w != who):
            return
        self.leader = who
        self.seats[who].renew()
        self.duties[who].start()

    def freeze(self, who):
        self.frozen.setdefault(who, self.pool.time)

    def commit(self, command):
        self.log.append(command)
        for seat in self.seats.values():
            if seat.who not in self.frozen:
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

    def __init__(self, group, who):
        self.group, self.who, self.part = group, who, 1
        self.desk = all_orders.HandDesk(group.pool, who)
        self.machine, self.applied = service_part.ServiceMachine(), 0
        self.duties, self.sure_until = [], 0.0

    def renew(self):
        self.sure_until = self.desk.now() + constants.VOTE_WITHHOLD_S - constants.LEASE_CLOCK_MARGIN_S

    def sure(self):
        return self.desk.now() < self.sure_until

    def catch_up(self):
        for command in self.group.log[self.applied :]:
            self.result = self.machine.apply(0, command)
        self.applied = len(self.group.log)

    def propose(self, command, call=lambda result: None):
        self.group.commit(command)
        call(self.result)


def wait_a_while(group, span):
    group.pool.time += span
    if group.leader and group.leader not in group.frozen:
        group.seats[group.leader].renew()
