"""Who leads each service part, as far as is known here: a place to ask, nothing more.

The first ask goes to any keeper; one that does not own the part names the leader it
follows. A leader that stays silent is forgotten, and keepers are asked in turn.
"""

import mothshed.constants as constants


class Leaders:
    def __init__(self, environment, keepers):
        self.environment, self.keepers = environment, keepers
        self.known, self.unanswered_since, self.next_keeper = (
            {},
            {},
            0,
        )  # part -> address; when an ask first went unanswered
        self.listeners = []  # call(part) when somebody is named as its leader
        for part in range(1, constants.PART_COUNT):
            environment.subscribe("look_elsewhere", self.on_look_elsewhere, part)

    def address_for(self, part):
        """The address to ask now; each ask left unanswered counts towards silence."""
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
        """The leader of a part has answered."""
        self.known[part] = address
        self.unanswered_since.pop(part, None)

    def on_look_elsewhere(self, sender, body):
        if body["leader"] and body["leader"] != self.known.get(body["part"]):
            self.known[body["part"]] = body["leader"]
            for call in self.listeners:
                call(body["part"])
