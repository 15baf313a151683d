"""Orders that tell replicas their roles; only the leader of the replicas' part sends them.

The task runs on the leader of a service part. The leader first claims the right to order with one log entry, which
raises the fencing token by one. It then waits for first_order_delay() and checks every ORDER_INTERVAL_S what the
replicas report against what the part has agreed: it plans the split, commits changed roles and sends missing orders.
Each send needs a confirmed majority, checked after its connection is open and right before the order is written.
The safety of this doesn't depend on replicas that check fencing tokens: see docs/hardening-configuration.md.
"""

import collections
import collections.abc
import typing

import mothshed.constants as constants
import mothshed.control_plane.load_leader_task as load_leader_task
import mothshed.control_plane.parts as parts
import mothshed.control_plane.service_part as service_part
import mothshed.http.http_client as http_client
import mothshed.replicas.known_replicas as replicas_module
import mothshed.replicas.pools as pools
import mothshed.replicas.replica_adapter as replica_adapter


def load_of(condition):
    """Return the load that a replica reports of itself: requests running, requests waiting, slots."""
    return condition["run"], condition["wait"], condition["slots"]


class OrderLeaderTask:
    """Plans the roles of a part's replicas and sends the orders for them.

    tenure: least seconds between the orders of two leaders, if the deployment sets it.
    """

    def __init__(self, member, replicas, lease, journal, speech=None, tenure=None):
        self.order_role = speech.order_role if speech else replica_adapter.order_role
        self.keeps_reported_roles = speech is not None and speech.reports_roles
        self.announces_token = speech is None or speech.announces_token
        self.load_task = load_leader_task.LoadLeaderTask(member, self.service_of) if speech else None
        self.no_repeat_until = {}  # (replica, role) -> until when an accepted order isn't repeated
        self.member, self.machine, self.environment = member, member.machine, member.environment
        self.replicas, self.lease, self.journal = replicas, lease, journal
        self.split = {}  # pool name -> Split
        self.active = False
        self.tenure = tenure
        self.fencing_token, self.orders_allowed_at = 0, 0.0
        self.in_progress = set()  # replicas to which an order is being sent
        self.acknowledged = set()  # (replica, engine) that accepted an order with this token
        member.leader_tasks.append(self)

    def start(self):
        self.active, self.fencing_token, self.split = True, 0, {}
        self.member.propose({"op": "take", "who": self.member.member_id}, self.claim_committed)

    def claim_committed(self, result):
        if result and self.active:
            self.fencing_token, self.acknowledged = result["standing"], set()
            self.orders_allowed_at = self.environment.now() + self.first_order_delay()
            self.environment.call_later(self.first_order_delay(), self.tick)

    def first_order_delay(self) -> float:
        """Return how long a new leader sends no orders; its predecessor may have sent some until the claim."""
        return constants.FIRST_ORDER_DELAY_S if self.tenure is None else self.tenure + constants.ORDER_DELIVERY_MARGIN_S

    def stop(self):
        self.active, self.fencing_token = False, 0

    def may_send(self, fencing_token):
        return (
            self.active
            and fencing_token
            and fencing_token == self.fencing_token == self.machine.fencing_token
            and self.environment.now() >= self.orders_allowed_at
            and self.member.has_quorum()
        )

    def tick(self):
        if not self.active:
            return
        try:
            document = self.lease.document()
            if self.may_send(self.fencing_token) and document and self.lease.sequence():
                self.plan_roles(document)
        finally:
            self.environment.call_later(constants.ORDER_INTERVAL_S, self.tick)

    def pool_replicas(self, selector):
        """Return the pool's replicas of this part, those of other parts, and this part's rank by replica count."""
        found = self.replicas.usable(selector)
        part = {n: parts.part_of(self.replicas.rows[n]["service"]) for n in found if n in self.replicas.rows}
        own = {n: found[n] for n in part if part[n] == self.member.part}
        others = {n: (found[n]["role"], self.load_of(n, found[n])) for n in part if n not in own}
        count = collections.Counter(part.values())
        ranking = sorted(count, key=lambda p: (-count[p], p))
        return own, others, ranking.index(self.member.part) if own else 0

    def service_of(self, name: str) -> str:
        """Return the service of a replica, or "" if it is no longer listed."""
        return str(self.replicas.rows[name]["service"]) if name in self.replicas.rows else ""

    def load_of(self, name, condition):
        if self.load_task:
            return self.load_task.split_load(name, condition["role"], condition["slots"])
        return load_of(condition)

    def plan_roles(self, document):
        target_roles = {}
        for name, pool in sorted(document["pools"].items()):
            if not pools.has_split(pool):
                continue
            found, others, rank = self.pool_replicas(pool["selector"])
            found = {n: c for n, c in found.items() if n not in target_roles}
            split = self.split.setdefault(name, service_part.Split(self.environment.now))
            loads = {n: self.load_of(n, c) for n, c in found.items()}
            roles = self.machine.roles
            if self.keeps_reported_roles:  # a replica keeps the role that it reports
                roles = {**{n: c["role"] for n, c in found.items() if c["role"] != "none"}, **roles}
            target_roles.update(split.plan(pool, loads, roles, others, rank))
        unlisted = [n for n in self.machine.roles if n not in self.replicas.rows]
        changed = {n: r for n, r in target_roles.items() if self.machine.roles.get(n) != r}
        if changed or unlisted:
            command = {"op": "roles", "standing": self.fencing_token, "roles": changed, "gone": unlisted}
            self.member.propose(command, lambda result: self.roles_committed(result, target_roles))
            return
        self.send_orders(target_roles)

    def roles_committed(self, result: dict[str, typing.Any] | None, target_roles: dict[str, str]) -> None:
        """Send the orders of changed roles as soon as the part has committed them, not at the next check."""
        if result is not None and self.may_send(self.fencing_token) and self.lease.current()[0] is not None:
            self.send_orders([name for name in target_roles if name in self.machine.roles])

    def send_orders(self, names: collections.abc.Iterable[str]) -> None:
        """Send an order to each of these replicas that doesn't yet have the role the part has agreed on."""
        for name in names:
            # each replica gets a new fencing token once, so that it rejects orders of former leaders
            known = self.replicas.conditions.get(name)
            needs_order = known and (
                known["c"]["role"] != self.machine.roles[name]
                or self.announces_token
                and (name, known["c"]["engine"]) not in self.acknowledged
            )
            if (
                needs_order
                and name not in self.in_progress
                and self.no_repeat_until.get((name, self.machine.roles[name]), 0) <= self.environment.now()
            ):
                self.start_order(name, self.machine.roles[name])

    def start_order(self, name, role):
        row, fencing_token = self.replicas.rows.get(name), self.fencing_token
        if not row:
            return
        self.in_progress.add(name)
        self.environment.spawn(lambda: self.send_order(name, row["url"], role, fencing_token))

    def order_still_valid(self, name: str, role: str) -> bool:
        """Return whether the part assigns this role and a valid lease has the replica in a pool with a split.

        The role is agreed in the part's own log. A configuration change that leaves the replica in such a pool
        therefore doesn't invalidate the order, however many such changes arrive while it is prepared.
        """
        sequence, document = self.lease.current()
        row = self.replicas.rows.get(name)
        if sequence is None or document is None or row is None or self.machine.roles.get(name) != role:
            return False
        return any(
            pools.has_split(pool) and replicas_module.selects(pool["selector"], row["labels"])
            for pool in document["pools"].values()
        )

    def endpoint(self, name: str, url: str) -> replicas_module.Endpoint:
        """Return the replica that an order is for; another one that got its address meanwhile must reject the order."""
        known = self.replicas.conditions.get(name)
        return replicas_module.Endpoint(name, url, known["c"]["engine"] if known else name, "")

    def send_order(self, name, url, role, fencing_token):
        accepted = False
        if self.load_task:  # routers stop using the replica before its role changes
            self.load_task.changing_until[name] = self.environment.now() + constants.ROLE_CHANGE_EXCLUSION_S
            self.environment.sleep(constants.ORDER_NOTICE_S)

        def ready() -> bool:
            return bool(self.may_send(fencing_token) and self.order_still_valid(name, role))

        try:
            if ready():
                sequence = self.lease.current()[0]
                accepted = self.order_role(
                    self.environment,
                    self.endpoint(name, url),
                    role,
                    fencing_token,
                    self.member.member_id,
                    sequence,
                    ready,
                )
        except http_client.ExchangeError:
            pass
        finally:
            self.in_progress.discard(name)
            self.journal.add("order", outcome="taken" if accepted else "failed", replica=name, role=role)
            known = self.replicas.conditions.get(name)
            # the list shows the new role late, and every order costs a role change
            if accepted and not self.announces_token:
                self.no_repeat_until[(name, role)] = self.environment.now() + constants.ORDER_REPEAT_INTERVAL_S
            if accepted and known:
                known["c"] = {**known["c"], "role": role}
                self.acknowledged.add((name, known["c"]["engine"]))

    def report(self):
        return {
            "holder": self.machine.order_leader,
            "standing": self.machine.fencing_token,
            "roles": self.machine.roles,
        }
