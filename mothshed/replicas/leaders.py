"""The leader of each service part as far as this process knows; used only as an address for requests.

The first request of a part goes to any keeper; one that doesn't lead the part names the leader that it follows. A
leader that doesn't respond for LOAD_LEADER_TIMEOUT_S is forgotten, and the keepers are asked in turn.
"""

import mothshed.constants as constants


class Leaders:
    """Finds the keeper that leads a service part."""

    def __init__(self, environment, keepers):
        self.environment, self.keepers = environment, keepers
        # part -> address; part -> when a request first went unanswered
        self.known, self.unanswered_since, self.next_keeper = {}, {}, 0
        self.listeners = []  # called with the part when another leader is named
        for part in range(1, constants.PART_COUNT):
            environment.subscribe("look_elsewhere", self.on_look_elsewhere, part)

    def address_for(self, part):
        """Return the address for the next request; the caller reports a response by note_response()."""
        now = self.environment.now()
        if now - self.unanswered_since.setdefault(part, now) > constants.LOAD_LEADER_TIMEOUT_S:
            self.known.pop(part, None)
            self.unanswered_since[part] = now
        leader = self.known.get(part)
        if leader:
            return leader
        addresses = sorted(set(self.keepers()))
        self.next_keeper += 1
        return addresses[self.next_keeper % len(addresses)] if addresses else ""

    def note_response(self, part, address):
        """Record a response of a part's leader."""
        self.known[part] = address
        self.unanswered_since.pop(part, None)

    def on_look_elsewhere(self, sender, body):
        if body["leader"] and body["leader"] != self.known.get(body["part"]):
            self.known[body["part"]] = body["leader"]
            for listener in self.listeners:
                listener(body["part"])
