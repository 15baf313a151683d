"""Partial views shuffled between neighbours, and the hints that ride along.

Each node keeps a bounded view of others and, every beat, swaps a part of it with
its oldest neighbour. Hints (replica usage and cache, who is leaving, keepers'
addresses) carry an age that grows on the way; the youngest counts and old ones
die. Nothing that must be agreed on travels here: a keeper's address is only a
place to ask, and the answer comes from the part's leader.
"""

import mothshed.constants as constants
import mothshed.transport.constants as transport_constants


class Gossip:
    def __init__(self, environment, name, kind, cell, seeds, replicas=None, memory=None):
        self.environment, self.name, self.kind, self.cell = environment, name, kind, cell
        self.seeds = [s for s in seeds if s != environment.address]
        self.replicas = replicas
        self.view = {}  # address -> {"age", "kind", "cell", "name"}
        self.keeps = {}  # keeper address -> time last vouched for
        self.routers = {}  # router address -> time last heard of, for a count only
        self.rounds = 0
        self.waiting = None  # neighbour asked in the last round
        self.memory = memory  # of addresses, for those with a disk; see remembered.py
        environment.subscribe("shuffle", self.on_shuffle)
        environment.post(self.tick)

    def new_seeds(self, seeds):
        """Other seeds than those told at the start."""
        self.seeds = [s for s in seeds if s != self.environment.address]

    def me(self):
        return [self.environment.address, 0, self.kind, self.cell, self.name]

    def tick(self):
        self.shuffle()
        if self.memory:
            for goal in self.memory.to_call(set(self.view)):
                self.greet(goal)
        self.environment.call_later(
            transport_constants.SHUFFLE_INTERVAL_S * (0.8 + 0.4 * self.environment.random.random()), self.tick
        )

    def shuffle(self):
        self.rounds += 1
        if self.waiting:  # it never answered: a suspect, let it go
            self.view.pop(self.waiting, None)
            self.waiting = None
        for row in self.view.values():
            row["age"] += 1
        for address in [a for a, r in self.view.items() if r["age"] > transport_constants.MAX_VIEW_AGE_SHUFFLES]:
            del self.view[address]
        if not self.view:  # alone: any seed that lives will do
            goals = self.seeds
        elif self.seeds and self.rounds % 8 == 0:
            goals = [self.environment.random.choice(self.seeds)]
        else:
            self.waiting = max(self.view, key=lambda a: self.view[a]["age"])
            goals = [self.waiting]
        for goal in goals:
            self.greet(goal)

    def greet(self, goal):
        self.environment.send(goal, "shuffle", view=self.some(goal), hints=self.hints(), reply=False)

    def some(self, goal):
        rows = [[a, r["age"], r["kind"], r["cell"], r["name"]] for a, r in self.view.items() if a != goal]
        pick = self.environment.random.sample(rows, min(len(rows), transport_constants.MAX_SHUFFLE_NEIGHBOURS - 1))
        return pick + [self.me()]

    def on_shuffle(self, sender, body):
        if self.memory:
            self.memory.heard(sender)
        if not body["reply"]:
            self.environment.send(sender, "shuffle", view=self.some(sender), hints=self.hints(), reply=True)
        elif sender == self.waiting:
            self.waiting = None
        for address, age, kind, cell, name in body["view"]:
            if address == self.environment.address:
                continue
            if kind == "route":
                self.routers[address] = self.environment.now()
            old = self.view.get(address)
            if old is None or old["age"] > age:
                self.view[address] = {"age": age, "kind": kind, "cell": cell, "name": name}
        while len(self.view) > transport_constants.MAX_VIEW_NEIGHBOURS:
            worst = max(self.view, key=lambda a: (self.view[a]["age"], self.environment.random.random()))
            del self.view[worst]
        for hint in body["hints"]:
            self.take(hint)

    def hints(self):
        now = self.environment.now()
        self.keeps = {a: t for a, t in self.keeps.items() if now - t < 5 * constants.HINT_TTL_S}
        self.routers = {a: t for a, t in self.routers.items() if now - t < 5 * constants.HINT_TTL_S}
        if self.kind == "keep":
            self.keeps[self.environment.address] = now
        rows = [{"keep": a, "age": round(now - t, 3)} for a, t in self.keeps.items()]
        if self.replicas:
            rows += self.replicas.hints()
        return rows[: transport_constants.MAX_RECORD_HINTS]

    def take(self, hint):
        if "keep" in hint:
            at = self.environment.now() - max(0.0, hint["age"])
            self.keeps[hint["keep"]] = max(at, self.keeps.get(hint["keep"], at))
        elif self.replicas:
            self.replicas.apply_hint(hint)

    def near_routers(self):
        return sorted(a for a, row in dict(self.view).items() if row["kind"] == "route")

    def count_routers(self):
        """About how many routers there are, this one included."""
        old = self.environment.now() - 5 * constants.HINT_TTL_S
        return 1 + sum(at > old for at in list(self.routers.values()))

    def keepers(self):
        """Addresses to ask for the leader: those vouched for lately, then the seeds."""
        keeps = dict(self.keeps)  # other threads ask too, while the mailbox drops those unheard of
        late = sorted(keeps, key=lambda address: -keeps[address])
        return [a for a in late if a != self.environment.address] + [s for s in self.seeds if s not in keeps]
