"""Orders to replicas: roles, by the part's holder only.

The duty runs on the leader of a service part. It takes the seat (one log entry,
standing one higher), keeps silent for the turn gap, and then on every beat compares
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


def usage_of(condition):
    return condition["run"], condition["wait"], condition["slots"]


class OrderTask:
    def __init__(self, member, replicas, lease, journal, speech=None, tenure=None):
        self.order_role = speech.order_role if speech else replica_adapter.order_role
        self.gives_roles = speech is not None and speech.gives_roles
        self.says_standing = speech is None or speech.says_standing
        self.shared_usage = load_task.LoadTask(member, self.service_of) if speech else None
        self.quiet = {}  # (replica, role) -> until when a taken order is not said again
        self.member, self.machine, self.environment = member, member.machine, member.environment
        self.replicas, self.lease, self.journal = replicas, lease, journal
        self.split = {}  # pool name -> Split
        self.on = False
        self.tenure = tenure  # s; how far apart the deployment wants the turns of two holders, if it says so
        self.standing, self.from_then = 0, 0.0
        self.busy = set()  # replicas with an order under way
        self.told = set()  # (replica, engine) that took an order under this standing
        member.leader_tasks.append(self)

    def start(self):
        self.on, self.standing, self.split = True, 0, {}
        self.member.propose({"op": "take", "who": self.member.member_id}, self.taken)

    def taken(self, result):
        if result and self.on:
            self.standing, self.told = result["standing"], set()
            self.from_then = self.environment.now() + self.turn_gap()
            self.environment.call_later(self.turn_gap(), self.tick)

    def turn_gap(self) -> float:
        """How long a new holder keeps silent; the one before may have ordered until its seat was taken."""
        return constants.FIRST_ORDER_DELAY_S if self.tenure is None else self.tenure + constants.ORDER_DELIVERY_MARGIN_S

    def stop(self):
        self.on, self.standing = False, 0

    def may(self, standing):
        return (
            self.on
            and standing
            and standing == self.standing == self.machine.standing
            and self.environment.now() >= self.from_then
            and self.member.has_quorum()
        )

    def tick(self):
        if not self.on:
            return
        document = self.lease.document()
        if self.may(self.standing) and document and self.lease.sequence():
            self.look(document)
        self.environment.call_later(constants.ORDER_INTERVAL_S, self.tick)

    def shared(self, selector):
        """A pool's replicas: ours, other parts', and our rank among the parts that have some."""
        found = self.replicas.usable(selector)
        part = {n: parts.part_of(self.replicas.rows[n]["service"]) for n in found if n in self.replicas.rows}
        ours = {n: found[n] for n in part if part[n] == self.member.part}
        rest = {n: (found[n]["role"], self.usage_of(n, found[n])) for n in part if n not in ours}
        count = collections.Counter(part.values())
        ahead = sorted(count, key=lambda p: (-count[p], p))
        return ours, rest, ahead.index(self.member.part) if ours else 0

    def service_of(self, name: str) -> str:
        """The service of a replica; empty once it is listed no more."""
        return str(self.replicas.rows[name]["service"]) if name in self.replicas.rows else ""

    def usage_of(self, name, condition):
        if self.shared_usage:
            return self.shared_usage.usage(name, condition["role"], condition["slots"])
        return usage_of(condition)

    def look(self, document):
        wanted = {}
        for name, pool in sorted(document["pools"].items()):
            if not pools.has_split(pool):
                continue
            found, rest, rank = self.shared(pool["selector"])
            found = {n: c for n, c in found.items() if n not in wanted}
            split = self.split.setdefault(name, service_part.Split(self.environment.now))
            usage = {n: self.usage_of(n, c) for n, c in found.items()}
            roles = self.machine.roles
            if self.gives_roles:  # a replica keeps the part that it came with
                roles = {**{n: c["role"] for n, c in found.items() if c["role"] != "none"}, **roles}
            wanted.update(split.plan(pool, usage, roles, rest, rank))
        gone = [n for n in self.machine.roles if n not in self.replicas.rows]
        new = {n: r for n, r in wanted.items() if self.machine.roles.get(n) != r}
        if new or gone:
            command = {"op": "roles", "standing": self.standing, "roles": new, "gone": gone}
            self.member.propose(command, lambda result: self.roles_agreed(result, wanted))
            return
        self.send_orders(wanted)

    def roles_agreed(self, result: dict[str, typing.Any] | None, wanted: dict[str, str]) -> None:
        """Changed roles are in the part's log: their orders go out at once, not on the next beat."""
        if result is not None and self.may(self.standing) and self.lease.current()[0] is not None:
            self.send_orders([name for name in wanted if name in self.machine.roles])

    def send_orders(self, names: collections.abc.Iterable[str]) -> None:
        """Order those of these replicas that do not yet have the role which the part has agreed on."""
        for name in names:
            # each replica hears of a new standing once, so that older holders are fenced off there
            seen = self.replicas.conditions.get(name)
            news = seen and (
                seen["c"]["role"] != self.machine.roles[name]
                or self.says_standing
                and (name, seen["c"]["engine"]) not in self.told
            )
            if (
                news
                and name not in self.busy
                and self.quiet.get((name, self.machine.roles[name]), 0) <= self.environment.now()
            ):
                self.order(name, self.machine.roles[name])

    def order(self, name, role):
        row, standing = self.replicas.rows.get(name), self.standing
        if not row:
            return
        self.busy.add(name)
        self.environment.spawn(lambda: self.send(name, row["url"], role, standing))

    def still_wanted(self, name: str, role: str) -> bool:
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

    def place(self, name: str, url: str) -> replicas_module.Place:
        """The replica that an order is meant for: whichever else has its address by then is not to take it."""
        seen = self.replicas.conditions.get(name)
        return replicas_module.Place(name, url, seen["c"]["engine"] if seen else name, "")

    def send(self, name, url, role, standing):
        good = False
        if self.shared_usage:  # routers hear of it before the replica does
            self.shared_usage.shifting[name] = self.environment.now() + constants.ROLE_CHANGE_EXCLUSION_S
            self.environment.sleep(constants.ORDER_NOTICE_S)

        def ready() -> bool:
            return bool(self.may(standing) and self.still_wanted(name, role))

        try:
            if ready():
                sequence = self.lease.current()[0]
                good = self.order_role(
                    self.environment, self.place(name, url), role, standing, self.member.member_id, sequence, ready
                )
        except web.WebFault:
            pass
        finally:
            self.busy.discard(name)
            self.journal.add("order", outcome="taken" if good else "failed", replica=name, role=role)
            seen = self.replicas.conditions.get(name)
            if good and not self.says_standing:  # the list says so late, and each order has its price
                self.quiet[(name, role)] = self.environment.now() + constants.ORDER_REPEAT_INTERVAL_S
            if good and seen:
                seen["c"] = {**seen["c"], "role": role}
                self.told.add((name, seen["c"]["engine"]))

    def report(self):
        return {"holder": self.machine.holder, "standing": self.machine.standing, "roles": self.machine.roles}
