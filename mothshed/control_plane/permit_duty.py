"""Grants permits, one for each request of a tenant that has a limit; done by the leader of the tenant's part.

The count is kept in memory, in a token bucket for each tenant. A leader grants only while no other leader can have
been elected, so grants of two leaders never overlap in time. A new leader starts with an empty bucket or, if its
predecessor started long enough ago, with what the deployment's bounds allow. See docs/shared.md for the argument.
"""

import collections
import collections.abc
import typing

import mothshed.constants as constants
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.token_bucket as token_bucket

Body = dict[str, typing.Any]
Grant = tuple[int, float]  # permits granted, and seconds until the next token if fewer were granted than requested


class PermitLeaderTask:
    """Enforces the limits of a part's tenants on a member of the part."""

    def __init__(
        self, member: typing.Any, lease: typing.Any, journal: typing.Any, bounds: limit_bounds.LimitBounds
    ) -> None:
        self.member, self.lease, self.journal, self.bounds = member, lease, journal, bounds
        self.environment = member.environment
        # when the first entries of the last two leaders were applied here, or a later time
        self.leader_entries_at: collections.deque[float] = collections.deque([self.environment.now()] * 2, maxlen=2)
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.refused: collections.Counter[str] = collections.Counter()  # tenant -> permits requested and not granted
        self.started = self.environment.now()
        self.with_credit = False
        self.leading = False
        self.sequence = 0  # of the document for which buckets were dropped last
        self.redirected: dict[
            str, tuple[float, int]
        ] = {}  # address -> (time, mark) of requests that arrived while no leader was known
        member.machine.leader_entry_applied = self.leader_entry_applied
        member.leader_tasks.append(self)
        self.environment.subscribe("permit_ask", self.on_permit_ask, member.part)

    def leader_entry_applied(self) -> None:
        """Record that the first entry of a leader was applied."""
        self.leader_entries_at.append(self.environment.now())

    def start(self) -> None:
        """Start granting: this member leads and has applied its own first entry."""
        self.leading = True
        self.started = self.environment.now()
        self.buckets = {}
        self.refused.clear()
        self.with_credit = self.started - self.leader_entries_at[0] > self.bounds.window_s
        for address, (requested_at, mark) in self.redirected.items():
            if self.started - requested_at < constants.PERMIT_LEADER_NOTICE_TTL_S:
                self.redirect(address, mark, self.environment.address)
        self.redirected = {}

    def stop(self) -> None:
        """Stop granting: this member no longer leads."""
        self.leading = False

    def redirect(self, address: str, mark: int, leader: str) -> None:
        """Name the leader to a router; "" if it is unknown."""
        self.environment.send(address, "look_elsewhere", part=self.member.part, mark=mark, leader=leader)

    def remember_redirected(self, address: str, mark: int, now: float) -> None:
        """Remember a router that is to be notified of a new leader, for PERMIT_LEADER_NOTICE_TTL_S."""
        self.redirected.pop(address, None)
        self.redirected[address] = (now, mark)
        while now - next(iter(self.redirected.values()))[0] > constants.PERMIT_LEADER_NOTICE_TTL_S:
            del self.redirected[next(iter(self.redirected))]

    def on_permit_ask(self, sender: str, body: Body) -> None:
        """Grant what the buckets hold. Tenants missing from the document in force here get no answer yet."""
        now = self.environment.now()  # read before has_quorum(), which thus covers the time from which the grants count
        if not (self.leading and self.member.has_quorum()):
            leader = leader_hint.leader_address(self.member)
            if not leader:
                self.remember_redirected(sender, body["mark"], now)
            self.redirect(sender, body["mark"], "" if leader == self.environment.address else leader)
            return
        sequence, document = self.lease.current()
        if sequence is None or document is None:
            self.journal.add("permit_ask", outcome="no_lease")
            return
        self.drop_buckets(sequence, document["tenants"], now)
        grants = {}
        for tenant, count in body["counts"].items():
            row = document["tenants"].get(tenant)
            if row is None:
                self.journal.add("permit_ask", outcome="unknown_tenant")
                continue
            grants[tenant] = self.grant(tenant, row, count, now)
            self.journal.add("permit_ask", outcome="granted" if grants[tenant][0] >= count else "refused")
        part, mark = self.member.part, body["mark"]
        self.environment.send(sender, "permits", part=part, mark=mark, sequence=sequence, grants=grants)

    def drop_buckets(self, sequence: int, tenants: dict[str, typing.Any], now: float) -> None:
        """Under a newer document, drop the full buckets of tenants that it lacks: a new bucket holds no more.

        A bucket that isn't full is kept, or a tenant that is removed and added again would get its burst twice.
        """
        if sequence == self.sequence:
            return
        self.sequence = sequence
        for tenant in self.buckets.keys() - tenants.keys():
            if self.buckets[tenant].is_full(now):
                del self.buckets[tenant]

    def grant(self, tenant: str, row: dict[str, typing.Any], count: int, now: float) -> Grant:
        """Return how many of so many requests of a tenant are granted now, and the wait for the next token."""
        rate = row.get("rate_per_s", 0)
        if not rate:
            self.buckets.pop(tenant, None)
            return count, 0.0
        bucket = self.bucket(tenant, rate, row.get("burst", 0), now)
        taken = bucket.take(count, now)
        if taken < count:
            self.refused[tenant] += count - taken
        return taken, 0.0 if taken >= count else bucket.next_token_s(now)

    def bucket(self, tenant: str, rate: float, burst: float, now: float) -> token_bucket.TokenBucket:
        """Return the tenant's bucket, adjusted to its current limit."""
        capacity = self.bounds.capacity(rate, burst)
        found = self.buckets.get(tenant)
        if found is None:
            level = self.bounds.initial_level(rate, burst) if self.with_credit else 0.0
            found = self.buckets[tenant] = token_bucket.TokenBucket(rate, capacity, level, self.started)
        if (found.rate, found.capacity) != (rate, capacity):
            found.change(rate, capacity, now)
        return found

    def report(self) -> dict[str, typing.Any]:
        """Return the fields for the keeper's /condition page."""
        return {
            "limited_tenants": len(self.buckets),
            "began_with_credit": self.with_credit,
            "refused_by_tenant": dict(self.refused) if self.leading else {},
        }
