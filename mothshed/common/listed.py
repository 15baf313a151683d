"""Replicas known from the platform's list alone.

Where the list itself tells each replica's part, no reports are asked for: a replica
is usable while it is listed and staying. One that fails a send without proof is left
out for a span that grows with each failure in a row, then tried again; a success
ends it. The last list counts while newer ones fail, however old it is.
"""

import mothshed.common.constants as constants
import mothshed.common.replicas as replicas
import mothshed.common.web as web


class Listed(replicas.Replicas):
    def __init__(self, desk, list_url, journal, speech):
        super().__init__(desk, list_url, journal)
        self.speech = speech
        self.fails = {}         # name -> failures in a row

    def run(self):
        self.desk.spawn(self.read_lists)

    def read_lists(self):
        while True:
            try:
                self.take_list(self.speech.rows(self.desk, self.list_url))
            except web.WebFault as e:
                self.journal.add("list", outcome="failed", reason=str(e))
            self.tried_at = self.desk.now()
            self.desk.pause(self.speech.list_beat * (0.9 + 0.2 * self.desk.random.random()))

    def take_list(self, rows):
        super().take_list(rows)
        now = self.desk.now()
        with self.lock:
            for name, row in rows.items():
                self.conditions[name] = {"at": now, "own": 0, "c": {
                    "engine": name, "role": row["role"], "run": self.mine.get(name, 0), "wait": 0,
                    "slots": row["slots"], "keys": [], "standing": 0}}
            self.fails = {n: c for n, c in self.fails.items() if n in rows}

    def hints(self):
        return [h for h in super().hints() if "leaving" in h]

    def usable(self, selector, role=None):
        now, found = self.desk.now(), {}
        with self.lock:
            leaving = self.leaving()
            for name, row in self.rows.items():
                if name in leaving or self.doubts.get(name, 0) > now or role and row["role"] != role:
                    continue
                if all(row["labels"].get(k) == v for k, v in selector.items()):
                    found[name] = self.conditions[name]["c"]
        return found

    def room(self, name):
        row = self.rows.get(name)
        return row is not None and self.mine.get(name, 0) < row["slots"]

    def failed(self, name):
        """A send there failed without proof that the replica is well."""
        with self.lock:
            count = self.fails[name] = self.fails.get(name, 0) + 1
        self.doubt(name, min(constants.OUT_MOST, constants.OUT_SPAN * constants.OUT_GROW ** (count - 1)))

    def served(self, name):
        self.fails.pop(name, None)
