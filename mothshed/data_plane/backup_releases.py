"""Frees that outlive their router: a neighbour keeps what each router owes.

Before a prefill is sent, its router tells one neighbouring router which replica
will hold blocks for which request and until when the request can need them; when
the blocks are freed it says so. What is still owed past that moment belongs to a
router that is gone or cut off, and the neighbour frees it. Freeing what is already
free does no harm, and past its cutoff a request needs no memory, so nothing has to
be agreed here. Bounded: past MAX_BACKUP_RELEASES the oldest are dropped and left to lapse.
"""

import collections

import mothshed.constants as constants
import mothshed.replicas.replica_adapter as replica_adapter


class BackupReleases:
    def __init__(self, environment, gossip, handle_releases, journal):
        self.environment, self.gossip, self.handle_releases, self.journal = (
            environment,
            gossip,
            handle_releases,
            journal,
        )
        self.entries = collections.OrderedDict()  # (router, request, replica) -> (due, url, engine)
        self.backup_address = ""
        handle_releases.notify_finished = self.cancel
        environment.subscribe("owe", self.on_owe)
        environment.subscribe("paid", self.on_paid)
        environment.post(self.tick)

    def choose_backup(self):
        """The router that keeps what we owe: the same one while it is in view, else another zone's first."""
        view = dict(self.gossip.view)
        if self.backup_address not in view:
            addresses = sorted(a for a, r in view.items() if r["kind"] == "route")
            in_other_zones = [a for a in addresses if view[a]["cell"] != self.gossip.zone]
            self.backup_address = next(iter(in_other_zones or addresses), "")
        return self.backup_address

    def register(self, request, replica, time_left):
        self.environment.send(
            self.choose_backup(),
            "owe",
            request=request,
            replica=replica.name,
            url=replica.url,
            engine=replica.engine,
            left=time_left,
        )

    def cancel(self, handle):
        self.environment.send(self.backup_address, "paid", request=handle.request, replica=handle.replica)

    def on_owe(self, sender, body):
        due = self.environment.now() + min(body["left"], constants.MAX_CUTOFF_S) + constants.BACKUP_RELEASE_DELAY_S
        self.entries[(sender, body["request"], body["replica"])] = (due, body["url"], body["engine"])
        while len(self.entries) > constants.MAX_BACKUP_RELEASES:
            self.entries.popitem(last=False)

    def on_paid(self, sender, body):
        self.entries.pop((sender, body["request"], body["replica"]), None)

    def tick(self):
        now = self.environment.now()
        for key in [k for k, entry in self.entries.items() if entry[0] <= now]:
            due, url, engine = self.entries.pop(key)
            self.journal.add("guard", outcome="freed", replica=key[2])
            self.handle_releases.enqueue(
                replica_adapter.Handle(key[1], key[2], url, engine, {"remote_block_ids": []}, now)
            )
        self.environment.call_later(constants.BACKUP_RELEASE_INTERVAL_S, self.tick)
