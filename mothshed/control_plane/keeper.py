"""A keeper process's parts: one member, on a mailbox of its own, for every part."""

import secrets

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import mothshed.control_plane.config_part as config_part
import mothshed.control_plane.keeper_front as keeper_front
import mothshed.control_plane.lease_bounds as lease_bounds
import mothshed.control_plane.list_duty as list_duty
import mothshed.control_plane.member as member_module
import mothshed.control_plane.orders as orders
import mothshed.control_plane.reconfiguration as reconfiguration
import mothshed.control_plane.service_part as service_part
import mothshed.http.front as front
import mothshed.replicas.known_replicas as replicas_module
import mothshed.replicas.listed as listed
import mothshed.runtime.counters as counters
import mothshed.runtime.journal as journal_module
import mothshed.storage.disk as disk_module
import mothshed.transport.gossip as gossip
import mothshed.transport.remembered as remembered


def incarnation(disk, name, chance):
    """This member's id: its name and a mark that a wiped folder does not have."""
    text = disk.read("incarnation").decode()
    if not text:
        if any(n.startswith("part-") for n in disk.names()):
            raise disk_module.DiskFault("logs without an incarnation: wipe the folder")
        text = chance(6)
        disk.put("incarnation", text.encode())
    else:
        disk.sync_names()  # a process killed while it made the mark may not have come to it
    return f"{name}/{text}"


class Keeper:
    def __init__(self, desk, settings, new_desk, disk, chance=secrets.token_hex, speech=None):
        self.desk, self.settings, self.disk = desk, settings, disk
        self.ended = lambda: None  # told when this process should start anew
        self.waiting = False
        self.restarting = False  # this process ends only to start anew, with its disk and its votes
        self.journal = journal_module.Journal(desk.now)
        self.totals = self.journal.view(journal_module.Totals())
        self.who = incarnation(disk, settings["name"], chance)
        self.replicas = (
            listed.Listed(desk, settings["list_url"], self.journal, speech, lambda: self.lease_goals())
            if speech
            else replicas_module.Replicas(desk, settings["list_url"], self.journal)
        )
        self.gossip = gossip.Gossip(
            desk,
            settings["name"],
            "keep",
            settings["cell"],
            settings["seeds"],
            self.replicas,
            remembered.Remembered(desk, disk),
        )
        self.lease = lease_module.Lease(desk, self.lease_goals)
        self.members, self.duties = [], []
        bounds = reconfiguration.Bounds(
            settings.get("losses", constants.LOSSES), settings.get("catch_up_s", constants.CATCH_UP)
        )
        for part in range(constants.PARTS):
            machine = service_part.ServiceMachine() if part else config_part.ConfigMachine()
            seat = member_module.Member(
                new_desk(),
                disk,
                part,
                self.who,
                settings["http"],
                settings["first_keepers"],
                machine,
                self.gossip.keepers,
                bounds,
            )
            duty = (
                orders.OrderDuty(seat, self.replicas, self.lease, self.journal, speech, settings.get("tenure_s"))
                if part
                else config_part.ConfigDuty(
                    seat, lease_bounds.LeaseBounds(settings.get("in_force_s", constants.IN_FORCE))
                )
            )
            seat.failed = self.disk_failed
            if speech and part == constants.LIST_PART:
                list_duty.ListDuty(seat, self.replicas)
            self.members.append(seat)
            self.duties.append(duty)

    def disk_failed(self):
        """A member stopped for good: once the disk takes writes again, the process starts anew and rejoins."""
        if not self.waiting:
            self.waiting = True
            self.desk.spawn(self.wait_for_disk)

    def wait_for_disk(self):
        while True:
            self.desk.pause(constants.DISK_RETRY)
            try:
                self.disk.put("probe", b".")
            except disk_module.DiskFault:
                continue
            self.restarting = True
            self.ended()
            return

    def lease_goals(self):
        return [self.desk.address] + self.gossip.keepers()

    def run(self):
        self.replicas.run()
        for seat in self.members:
            seat.begin()
        counters.CountersReport(self.desk, self.totals, self.desk.figures).run()

    def front(self, make=keeper_front.KeeperFront):
        return front.Server(self.settings["http"], make(self), constants.HTTP_THREADS)

    def in_part(self, seat, call):
        """Runs call() in a part's mailbox and waits for what it returns."""
        gate, box = self.desk.gate(), []
        seat.desk.post(lambda: (box.append(call()), gate.set()))
        return box[0] if gate.wait(constants.COMMIT_WAIT) else None

    def drain(self):
        """Hands every led part to a successor and leaves the groups; True if all were taken over.

        A process that only starts anew leaves no group, and is back before anybody could take its place.
        """
        if self.restarting:
            for seat in self.members:
                seat.desk.post(seat.hand_over)
            self.desk.pause(2 * constants.HEART_BEAT)
            return True
        for seat in self.members:
            self.in_part(seat, seat.leave)
        self.desk.pause(2 * constants.HEART_BEAT)
        until = self.desk.now() + self.settings.get("drain_s", constants.LEAVE_WAIT)
        while self.desk.now() < until and not all(seat.released for seat in self.members):
            self.desk.pause(constants.HEART_BEAT)
        return not any(seat.is_leader for seat in self.members)

    def condition(self):
        parts = [m.condition() for m in self.members]
        for row, duty in zip(parts, self.duties):
            row.update(duty.report())
        return {
            "name": self.settings["name"],
            "who": self.who,
            "parts": parts,
            "keepers": self.gossip.keepers(),
            "process": self.desk.figures(),
            "releases": self.desk.releases(),
            "neighbours": sorted(self.gossip.view),
            "serving": all(p["state"] in ("leader", "follower") and p["leader"] for p in parts),
        }
