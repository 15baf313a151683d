"""Keepers that start a system for the first time: a consensus group whose kills, disks and messages a test controls."""

import mothshed.control_plane.first_start as first_start
import mothshed.control_plane.keeper as keeper_module
import mothshed.control_plane.member as member_module
import mothshed.control_plane.reconfiguration as reconfiguration
import tests.all_orders as all_orders
import tests.group_model as group_model


class FirstStartGroup(group_model.Group):
    """Three keepers with empty disks; only the first start of each is told that it is one."""

    def __init__(self, size=3, losses=1):  # the base class starts with a group that exists
        self.pool = all_orders.Pool()
        self.failure_tolerance = reconfiguration.FailureTolerance(losses, 4.0)
        self.history, self.leaders, self.acknowledged = {}, {}, []
        self.members, self.disks, self.incarnations, self.down = {}, {}, {}, set()
        self.count = self.checked_commit_time_bounds = 0
        self.first_committed_at, self.leases = {}, []
        self.names = [chr(ord("A") + n) for n in range(size)]
        self.addresses = {name: super(FirstStartGroup, self).address(name) for name in self.names}
        self.founders = set()  # the first entries that were ever on a disk, as sorted member ids
        self.told = [self.address(name) for name in self.names]
        for name in self.names:
            self.disks[name], self.incarnations[name] = all_orders.disk(), 1
            self.boot(name, self.told)

    def address(self, name):
        return self.addresses[name]

    def boot(self, name, told=()):
        """Start a keeper; told: the addresses of a first start, which a later start isn't told."""
        address, disk = self.address(name), self.disks[name]
        self.pool.handlers[address] = {}
        remembered = first_start.FirstStart(disk, list(told))
        suffix = f"{self.incarnations[name]}"
        member = member_module.Member(
            all_orders.ManualEnvironment(self.pool, address, f"{name}{self.count}"),
            disk,
            0,
            keeper_module.load_member_id(disk, name, lambda size: suffix),
            "",
            remembered.addresses,
            self.machine_class(self.history),
            lambda: [self.address(other) for other in self.members],
            self.failure_tolerance,
        )
        member.bootstrap_callback = remembered.forget
        if not member.log.is_empty:
            remembered.forget()
        member.start()
        self.members[name] = member
        self.down.discard(name)

    def kill(self, name):
        """Kill the process of a keeper; its disk stays as it is."""
        self.down.add(name)
        self.pool.handlers[self.address(name)] = {}
        self.disks[name].forget_process()

    def move(self, name):
        """Kill a keeper whose machine comes back at another address, with its disk."""
        self.kill(name)
        self.addresses[name] = f"{name.lower()}:2"

    def duplicate(self, index):
        """Have a message that is on its way arrive twice."""
        if self.pool.waiting:
            self.pool.waiting.append(self.pool.waiting[index % len(self.pool.waiting)])

    def lose(self, index):
        """Lose a message that is on its way."""
        if self.pool.waiting:
            self.pool.waiting.pop(index % len(self.pool.waiting))

    def check(self):
        """Check that all members that ever had a group have the same one, and what holds for every group."""
        for name, member in self.members.items():
            if name not in self.down and member.log.entries and member.log.base == 0:
                self.founders.add(tuple(sorted(member.log.entries[0]["c"]["members"])))
        assert len(self.founders) <= 1, f"two groups were bootstrapped: {self.founders}"
        super().check()
