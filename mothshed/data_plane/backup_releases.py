"""Backup releases: a neighbour releases the handles of a router that has died or is cut off.

Before a router sends a prefill, it registers the replica, the request and the time until
which the request can need the KV memory with one neighbouring router; when the handle is
released, it cancels the registration. A registration that is still there after that time
belongs to a router that is dead or cut off, and the neighbour releases the handle. A second
release does no harm and a request needs no memory past its cutoff, so no agreement is
needed. Beyond MAX_BACKUP_RELEASES the oldest registrations are dropped; the replicas then
expire those handles by themselves.
"""

import collections

import mothshed.constants as constants
import mothshed.replicas.replica_adapter as replica_adapter


class BackupReleases:
    """Registers this router's prefills with a neighbour, and keeps the registrations of other routers."""

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
        environment.post(self.release_overdue)

    def choose_backup(self):
        """Return the address of this router's backup: kept while it is known, else chosen first from other zones."""
        view = dict(self.gossip.view)
        if self.backup_address not in view:
            addresses = sorted(a for a, r in view.items() if r["kind"] == "route")
            in_other_zones = [a for a in addresses if view[a]["cell"] != self.gossip.zone]
            self.backup_address = next(iter(in_other_zones or addresses), "")
        return self.backup_address

    def register(self, request, replica, time_left):
        """Register a prefill that is about to be sent with the backup; time_left: seconds until its cutoff."""
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
        """Cancel the registration of a handle that is released or was never made."""
        self.environment.send(self.backup_address, "paid", request=handle.request, replica=handle.replica)

    def on_owe(self, sender, body):
        """Keep the registration of another router's prefill."""
        due = self.environment.now() + min(body["left"], constants.MAX_CUTOFF_S) + constants.BACKUP_RELEASE_DELAY_S
        self.entries[(sender, body["request"], body["replica"])] = (due, body["url"], body["engine"])
        while len(self.entries) > constants.MAX_BACKUP_RELEASES:
            self.entries.popitem(last=False)

    def on_paid(self, sender, body):
        """Drop a registration that its router cancelled."""
        self.entries.pop((sender, body["request"], body["replica"]), None)

    def release_overdue(self):
        """Release the handles whose registration is past its time; repeated at an interval."""
        try:
            now = self.environment.now()
            for key in [k for k, entry in self.entries.items() if entry[0] <= now]:
                due, url, engine = self.entries.pop(key)
                self.journal.add("guard", outcome="freed", replica=key[2])
                self.handle_releases.enqueue(
                    replica_adapter.Handle(key[1], key[2], url, engine, {"remote_block_ids": []}, now)
                )
        finally:
            self.environment.call_later(constants.BACKUP_RELEASE_INTERVAL_S, self.release_overdue)
