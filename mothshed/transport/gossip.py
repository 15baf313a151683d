"""Gossip between nodes: shuffled partial views and hints.

Each node keeps a bounded partial view of the other nodes and, in every round, exchanges
a sample of it with its oldest neighbour. Hints (load and prefix cache of replicas, which
replicas are leaving, addresses of keepers) carry an age that grows as they are forwarded;
the youngest hint wins and old ones expire. Nothing that needs consensus is gossiped: a
keeper's address only says whom to ask, and the answer comes from the leader of the part.
"""

import mothshed.constants as constants
import mothshed.transport.constants as transport_constants


class Gossip:
    """Runs the shuffle protocol of one node and holds its partial view."""

    def __init__(self, environment, name, kind, zone, seeds, replicas=None, known_addresses=None):
        self.environment, self.name, self.kind, self.zone = environment, name, kind, zone
        self.seeds = [seed for seed in seeds if seed != environment.address]
        self.replicas = replicas
        self.view = {}  # address -> {"age", "kind", "cell", "name"}
        self.keepers_last_seen = {}  # keeper address -> time of the latest hint
        self.routers_last_seen = {}  # router address -> time last seen in a view; only counted
        self.rounds = 0
        self.awaited_neighbour = None  # neighbour whose reply to the last round is pending
        self.known_addresses = known_addresses  # KnownAddresses of a process with a data folder, or None
        environment.subscribe("shuffle", self.on_shuffle)
        environment.post(self.run_round)

    def set_seeds(self, seeds):
        """Replaces the seeds given at the start."""
        self.seeds = [seed for seed in seeds if seed != self.environment.address]

    def own_row(self):
        """This node as a row of a view."""
        return [self.environment.address, 0, self.kind, self.zone, self.name]

    def run_round(self):
        """Shuffles once, contacts silent known addresses, and schedules the next round with jitter."""
        try:
            self.shuffle()
            if self.known_addresses:
                for destination in self.known_addresses.addresses_to_contact(set(self.view)):
                    self.send_view(destination)
        finally:
            self.environment.call_later(
                transport_constants.SHUFFLE_INTERVAL_S * (0.8 + 0.4 * self.environment.random.random()), self.run_round
            )

    def shuffle(self):
        """Ages the view and sends a sample of it to the oldest neighbour, or to seeds."""
        self.rounds += 1
        if self.awaited_neighbour:  # it did not reply to the last round: assume that it failed
            self.view.pop(self.awaited_neighbour, None)
            self.awaited_neighbour = None
        for row in self.view.values():
            row["age"] += 1
        expired = [
            address for address, row in self.view.items() if row["age"] > transport_constants.MAX_VIEW_AGE_SHUFFLES
        ]
        for address in expired:
            del self.view[address]
        if not self.view:  # isolated: any live seed will do
            destinations = self.seeds
        elif self.seeds and self.rounds % 8 == 0:
            destinations = [self.environment.random.choice(self.seeds)]
        else:
            self.awaited_neighbour = max(self.view, key=lambda address: self.view[address]["age"])
            destinations = [self.awaited_neighbour]
        for destination in destinations:
            self.send_view(destination)

    def send_view(self, destination):
        """Sends a sample of the view and the current hints, and asks for the same in reply."""
        self.environment.send(
            destination, "shuffle", view=self.sample_view(destination), hints=self.hints(), reply=False
        )

    def sample_view(self, destination):
        """Random rows of the view without the destination's own, and this node's row."""
        rows = [
            [address, row["age"], row["kind"], row["cell"], row["name"]]
            for address, row in self.view.items()
            if address != destination
        ]
        sample = self.environment.random.sample(rows, min(len(rows), transport_constants.MAX_SHUFFLE_NEIGHBOURS - 1))
        return sample + [self.own_row()]

    def on_shuffle(self, sender, body):
        """Replies to a request, and merges the received view and hints."""
        if self.known_addresses:
            self.known_addresses.note_contact(sender)
        if not body["reply"]:
            self.environment.send(sender, "shuffle", view=self.sample_view(sender), hints=self.hints(), reply=True)
        elif sender == self.awaited_neighbour:
            self.awaited_neighbour = None
        for address, age, kind, zone, name in body["view"]:
            if address == self.environment.address:
                continue
            if kind == "route":
                self.routers_last_seen[address] = self.environment.now()
            known = self.view.get(address)
            if known is None or known["age"] > age:
                self.view[address] = {"age": age, "kind": kind, "cell": zone, "name": name}
        while len(self.view) > transport_constants.MAX_VIEW_NEIGHBOURS:
            oldest = max(self.view, key=lambda address: (self.view[address]["age"], self.environment.random.random()))
            del self.view[oldest]
        for hint in body["hints"]:
            self.apply_hint(hint)

    def hints(self):
        """The hints to send now; keepers and routers that have not been seen for long are dropped."""
        now = self.environment.now()
        self.keepers_last_seen = {
            address: seen_at
            for address, seen_at in self.keepers_last_seen.items()
            if now - seen_at < 5 * constants.HINT_TTL_S
        }
        self.routers_last_seen = {
            address: seen_at
            for address, seen_at in self.routers_last_seen.items()
            if now - seen_at < 5 * constants.HINT_TTL_S
        }
        if self.kind == "keep":
            self.keepers_last_seen[self.environment.address] = now
        rows = [
            {"keep": address, "age": round(now - seen_at, 3)} for address, seen_at in self.keepers_last_seen.items()
        ]
        if self.replicas:
            rows += self.replicas.hints()
        return rows[: transport_constants.MAX_RECORD_HINTS]

    def apply_hint(self, hint):
        """Takes over a received hint unless a younger one is known."""
        if "keep" in hint:
            seen_at = self.environment.now() - max(0.0, hint["age"])
            self.keepers_last_seen[hint["keep"]] = max(seen_at, self.keepers_last_seen.get(hint["keep"], seen_at))
        elif self.replicas:
            self.replicas.apply_hint(hint)

    def neighbouring_routers(self):
        """Addresses of the routers in the view, sorted."""
        return sorted(address for address, row in dict(self.view).items() if row["kind"] == "route")

    def estimate_router_count(self):
        """Estimated number of routers, including this one."""
        oldest_counted = self.environment.now() - 5 * constants.HINT_TTL_S
        return 1 + sum(seen_at > oldest_counted for seen_at in list(self.routers_last_seen.values()))

    def keeper_addresses(self):
        """Addresses to ask for a leader: keepers by the latest hint, newest first, then the seeds."""
        # A copy: other threads call this while the mailbox thread drops expired keepers.
        last_seen = dict(self.keepers_last_seen)
        recent = sorted(last_seen, key=lambda address: -last_seen[address])
        others = [address for address in recent if address != self.environment.address]
        return others + [seed for seed in self.seeds if seed not in last_seen]
