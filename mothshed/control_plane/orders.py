"""Orders to replicas: roles, by the part's holder only.

The duty runs on the leader of a service part. It takes the seat (one log entry,
fencing_token one higher), keeps silent for the turn gap, and then on every beat compares
what replicas report with what the part has agreed, plans the split, commits
changed roles and sends what is missing, each send under a sure majority, checked
once its connection stands, right before it is written. None of it leans on replicas
that check fences: docs/hardening-configuration.md has the argument.
"""

import collections
import collections.abc
import typing

import mothshed.constants as constants
import mothshed.control_plane.load_task as load_task
import mothshed.control_plane.parts as parts
import mothshed.control_plane.service_part as service_part
import mothshed.http.web as web
import mothshed.replicas.known_replicas as replicas_module
import mothshed.replicas.pools as pools
import mothshed.replicas.replica_adapter as replica_adapter


def load_of(condition):
    return condition["run"], condition["wait"], condition["slots"]


class OrderTask:
    def __init__(self, member, replicas, lease, journal, speech=None, tenure=None):
        self.order_role = speech.order_role if speech else replica_adapter.order_role
        self.keeps_reported_roles = speech is not None and speech.gives_roles
        self.announces_token = speech is None or speech.says_standing
        self.load_task = load_task.LoadTask(member, self.service_of) if speech else None
        self.no_repeat_until = {}  # (replica, role) -> until when a taken order is not said again
        self.member, self.machine, self.environment = member, member.machine, member.environment
        self.replicas, self.lease, self.journal = replicas, lease, journal
        self.split = {}  # pool name -> Split
        self.active = False
        self.tenure = tenure  # s; how far apart the deployment wants the turns of two holders, if it says so
        self.fencing_token, self.orders_allowed_at = 0, 0.0
        self.in_progress = set()  # replicas with an order under way
        self.acknowledged = set()  # (replica, engine) that took an order under this fencing_token
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
        """How long a new holder keeps silent; the one before may have ordered until its seat was taken."""
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
        document = self.lease.document()
        if self.may_send(self.fencing_token) and document and self.lease.sequence():
            self.plan_roles(document)
        self.environment.call_later(constants.ORDER_INTERVAL_S, self.tick)

    def pool_replicas(self, selector):
        """A pool's replicas: ours, other parts', and our rank among the parts that have some."""
        found = self.replicas.usable(selector)
        part = {n: parts.part_of(self.replicas.rows[n]["service"]) for n in found if n in self.replicas.rows}
        ours = {n: found[n] for n in part if part[n] == self.member.part}
        rest = {n: (found[n]["role"], self.load_of(n, found[n])) for n in part if n not in ours}
        count = collections.Counter(part.values())
        ahead = sorted(count, key=lambda p: (-count[p], p))
        return ours, rest, ahead.index(self.member.part) if ours else 0

    def service_of(self, name: str) -> str:
        """The service of a replica; empty once it is listed no more."""
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
            found, rest, rank = self.pool_replicas(pool["selector"])
            found = {n: c for n, c in found.items() if n not in target_roles}
            split = self.split.setdefault(name, service_part.Split(self.environment.now))
            loads = {n: self.load_of(n, c) for n, c in found.items()}
            roles = self.machine.roles
            if self.keeps_reported_roles:  # a replica keeps the part that it came with
                roles = {**{n: c["role"] for n, c in found.items() if c["role"] != "none"}, **roles}
            target_roles.update(split.plan(pool, loads, roles, rest, rank))
        gone = [n for n in self.machine.roles if n not in self.replicas.rows]
        new = {n: r for n, r in target_roles.items() if self.machine.roles.get(n) != r}
        if new or gone:
            command = {"op": "roles", "standing": self.fencing_token, "roles": new, "gone": gone}
            self.member.propose(command, lambda result: self.roles_committed(result, target_roles))
            return
        self.send_orders(target_roles)

    def roles_committed(self, result: dict[str, typing.Any] | None, target_roles: dict[str, str]) -> None:
        """Changed roles are in the part's log: their orders go out at once, not on the next beat."""
        if result is not None and self.may_send(self.fencing_token) and self.lease.current()[0] is not None:
            self.send_orders([name for name in target_roles if name in self.machine.roles])

    def send_orders(self, names: collections.abc.Iterable[str]) -> None:
        """Order those of these replicas that do not yet have the role which the part has agreed on."""
        for name in names:
            # each replica hears of a new fencing_token once, so that older holders are fenced off there
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
        """Whether a lease runs under which a pool with a split has the replica, and the part gives it this role.

        The role is agreed in the part's own log: a change of the configuration that leaves the replica in a
        pool does not make its order wrong, however many such changes come while it is prepared.
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
        """The replica that an order is meant for: whichever else has its address by then is not to take it."""
        known = self.replicas.conditions.get(name)
        return replicas_module.Endpoint(name, url, known["c"]["engine"] if known else name, "")

    def send_order(self, name, url, role, fencing_token):
        accepted = False
        if self.load_task:  # routers hear of it before the replica does
            self.load_task.shifting[name] = self.environment.now() + constants.ROLE_CHANGE_EXCLUSION_S
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
        except web.WebFault:
            pass
        finally:
            self.in_progress.discard(name)
            self.journal.add("order", outcome="taken" if accepted else "failed", replica=name, role=role)
            known = self.replicas.conditions.get(name)
            if accepted and not self.announces_token:  # the list says so late, and each order has its price
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
