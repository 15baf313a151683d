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
    def __init__(self, environment, name, kind, zone, seeds, replicas=None, known_addresses=None):
        self.environment, self.name, self.kind, self.zone = environment, name, kind, zone
        self.seeds = [s for s in seeds if s != environment.address]
        self.replicas = replicas
        self.view = {}  # address -> {"age", "kind", "cell", "name"}
        self.keepers_last_seen = {}  # keeper address -> time last vouched for
        self.routers_last_seen = {}  # router address -> time last heard of, for a count only
        self.rounds = 0
        self.awaited_neighbour = None  # neighbour asked in the last round
        self.known_addresses = known_addresses  # of addresses, for those with a disk; see known_addresses.py
        environment.subscribe("shuffle", self.on_shuffle)
        environment.post(self.run_round)

    def set_seeds(self, seeds):
        """Other seeds than those told at the start."""
        self.seeds = [s for s in seeds if s != self.environment.address]

    def own_row(self):
        return [self.environment.address, 0, self.kind, self.zone, self.name]

    def run_round(self):
        self.shuffle()
        if self.known_addresses:
            for destination in self.known_addresses.addresses_to_contact(set(self.view)):
                self.send_view(destination)
        self.environment.call_later(
            transport_constants.SHUFFLE_INTERVAL_S * (0.8 + 0.4 * self.environment.random.random()), self.run_round
        )

    def shuffle(self):
        self.rounds += 1
        if self.awaited_neighbour:  # it never answered: a suspect, let it go
            self.view.pop(self.awaited_neighbour, None)
            self.awaited_neighbour = None
        for row in self.view.values():
            row["age"] += 1
        for address in [a for a, r in self.view.items() if r["age"] > transport_constants.MAX_VIEW_AGE_SHUFFLES]:
            del self.view[address]
        if not self.view:  # alone: any seed that lives will do
            destinations = self.seeds
        elif self.seeds and self.rounds % 8 == 0:
            destinations = [self.environment.random.choice(self.seeds)]
        else:
            self.awaited_neighbour = max(self.view, key=lambda a: self.view[a]["age"])
            destinations = [self.awaited_neighbour]
        for destination in destinations:
            self.send_view(destination)

    def send_view(self, destination):
        self.environment.send(
            destination, "shuffle", view=self.sample_view(destination), hints=self.hints(), reply=False
        )

    def sample_view(self, destination):
        rows = [[a, r["age"], r["kind"], r["cell"], r["name"]] for a, r in self.view.items() if a != destination]
        pick = self.environment.random.sample(rows, min(len(rows), transport_constants.MAX_SHUFFLE_NEIGHBOURS - 1))
        return pick + [self.own_row()]

    def on_shuffle(self, sender, body):
        if self.known_addresses:
            self.known_addresses.note_contact(sender)
        if not body["reply"]:
            self.environment.send(sender, "shuffle", view=self.sample_view(sender), hints=self.hints(), reply=True)
        elif sender == self.awaited_neighbour:
            self.awaited_neighbour = None
        for address, age, kind, cell, name in body["view"]:
            if address == self.environment.address:
                continue
            if kind == "route":
                self.routers_last_seen[address] = self.environment.now()
            old = self.view.get(address)
            if old is None or old["age"] > age:
                self.view[address] = {"age": age, "kind": kind, "cell": cell, "name": name}
        while len(self.view) > transport_constants.MAX_VIEW_NEIGHBOURS:
            worst = max(self.view, key=lambda a: (self.view[a]["age"], self.environment.random.random()))
            del self.view[worst]
        for hint in body["hints"]:
            self.apply_hint(hint)

    def hints(self):
        now = self.environment.now()
        self.keepers_last_seen = {a: t for a, t in self.keepers_last_seen.items() if now - t < 5 * constants.HINT_TTL_S}
        self.routers_last_seen = {a: t for a, t in self.routers_last_seen.items() if now - t < 5 * constants.HINT_TTL_S}
        if self.kind == "keep":
            self.keepers_last_seen[self.environment.address] = now
        rows = [{"keep": a, "age": round(now - t, 3)} for a, t in self.keepers_last_seen.items()]
        if self.replicas:
            rows += self.replicas.hints()
        return rows[: transport_constants.MAX_RECORD_HINTS]

    def apply_hint(self, hint):
        if "keep" in hint:
            at = self.environment.now() - max(0.0, hint["age"])
            self.keepers_last_seen[hint["keep"]] = max(at, self.keepers_last_seen.get(hint["keep"], at))
        elif self.replicas:
            self.replicas.apply_hint(hint)

    def neighbouring_routers(self):
        return sorted(a for a, row in dict(self.view).items() if row["kind"] == "route")

    def estimate_router_count(self):
        """About how many routers there are, this one included."""
        old = self.environment.now() - 5 * constants.HINT_TTL_S
        return 1 + sum(at > old for at in list(self.routers_last_seen.values()))

    def keeper_addresses(self):
        """Addresses to ask for the leader: those vouched for lately, then the seeds."""
        last_seen = dict(self.keepers_last_seen)  # other threads ask too, while the mailbox drops those unheard of
        late = sorted(last_seen, key=lambda address: -last_seen[address])
        return [a for a in late if a != self.environment.address] + [s for s in self.seeds if s not in last_seen]
