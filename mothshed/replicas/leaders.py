"""Who leads each service part, as far as is known here: a place to ask, nothing more.

The first ask goes to any keeper; one that does not own the part names the leader it
follows. A leader that stays silent is forgotten, and keepers are asked in turn.
"""

import mothshed.constants as constants


class Leaders:
    def __init__(self, environment, keepers):
        self.environment, self.keepers = environment, keepers
        self.known, self.since, self.turn = {}, {}, 0  # part -> address; when an ask first went unanswered
        self.changed = []  # call(part) when somebody is named as its leader
        for part in range(1, constants.PART_COUNT):
            environment.subscribe("look_elsewhere", self.on_look_elsewhere, part)

    def ask(self, part):
        """The address to ask now; each ask left unanswered counts towards silence."""
        now = self.environment.now()
        if now - self.since.setdefault(part, now) > constants.LOAD_LEADER_TIMEOUT_S:
            self.known.pop(part, None)
            self.since[part] = now
        leader = self.known.get(part)
        if leader:
            return leader
        goals = sorted(set(self.keepers()))
        self.turn += 1
        return goals[self.turn % len(goals)] if goals else ""

    def heard(self, part, address):
        """The leader of a part has answered."""
        self.known[part] = address
        self.since.pop(part, None)

    def on_look_elsewhere(self, sender, body):
        if body["leader"] and body["leader"] != self.known.get(body["part"]):
            self.known[body["part"]] = body["leader"]
            for call in self.changed:
                call(body["part"])
