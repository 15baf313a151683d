"""Replicas known from the platform's list alone.

One process reads the list and distributes it to all others (control_plane/list_leader_task.py). A process that gets no
list for LIST_MAX_AGE_S reads it itself. Where the list gives each replica's role, replicas aren't probed: a replica is
usable while it is listed and not leaving. One that fails a send without proof that it works is excluded for a time
that grows with each consecutive failure, then tried again; a success ends the exclusion. The last list stays in use
while newer readings fail, however old it is.
"""

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.replicas.known_replicas as replicas
import mothshed.replicas.leaders as leaders


class ListedReplicas(replicas.Replicas):
    """The replicas of the platform's list, without probes."""

    def __init__(self, environment, list_url, journal, speech, keepers):
        super().__init__(environment, list_url, journal)
        self.speech = speech
        self.leaders = leaders.Leaders(environment, keepers)
        self.consecutive_failures = {}  # name -> count
        self.number = 0  # of the last list change received
        # when the current list was read; random at first, so that processes don't all read the list at once
        self.fresh_at = environment.now() + constants.LIST_MAX_AGE_S * environment.random.random()
        self.reading = False
        self.max_list_age, self.request_interval = constants.LIST_MAX_AGE_S, constants.LIST_REQUEST_INTERVAL_S
        environment.subscribe("list_news", self.on_list_news, constants.LIST_READER_PART)

    def run(self):
        self.environment.post(self.tick)

    def tick(self):
        try:
            destination = self.leaders.address_for(constants.LIST_READER_PART)
            self.environment.send(destination, "list_ask", part=constants.LIST_READER_PART, number=self.number)
            if self.environment.now() - self.fresh_at > self.max_list_age and not self.reading:
                self.reading = True
                self.environment.spawn(self.read_list)
        finally:
            self.environment.call_later(
                self.next_request_delay() * (0.9 + 0.2 * self.environment.random.random()), self.tick
            )

    def next_request_delay(self) -> float:
        """Return the seconds until the next request for the list; short without a list, as nothing can be served."""
        return (
            self.request_interval
            if self.rows
            else min(self.request_interval, constants.INITIAL_LIST_REQUEST_INTERVAL_S)
        )

    def on_list_news(self, sender, body):
        """Apply changes of the list from the process that reads it for all."""
        self.leaders.note_response(constants.LIST_READER_PART, sender)
        if not body["whole"] and body["held"] != self.number:
            return  # changes are missing; the next request names the number that is held
        rows = {} if body["whole"] else {n: r for n, r in self.rows.items() if n not in body["gone"]}
        self.number = body["number"]
        self.update_list({**rows, **body["rows"]})
        self.fresh_at = self.list_read_at = self.environment.now() - max(0.0, body["age"])

    def read_list(self):
        """Read the list here, since no list or only an old one was received."""
        started_at = self.environment.now()
        try:
            rows = self.speech.rows(self.environment, self.list_url)
            self.update_list(rows)
            self.number, self.fresh_at = 0, started_at
        except http_client.ExchangeError as e:
            self.journal.add("list", outcome="failed", reason=str(e))
            self.fresh_at += constants.LIST_REQUEST_INTERVAL_S * self.environment.random.random()
        finally:
            self.reading = False

    def update_list(self, rows):
        now = self.environment.now()
        with self.lock:  # no other thread sees a row without its condition
            super().update_list(rows)
            for name, row in rows.items():
                self.conditions[name] = {
                    "at": now,
                    "own": 0,
                    "c": {
                        "engine": name,
                        "role": row["role"],
                        "run": self.own_requests.get(name, 0),
                        "wait": 0,
                        "slots": row["slots"],
                        "keys": [],
                        "standing": 0,
                    },
                }
            self.consecutive_failures = {n: c for n, c in self.consecutive_failures.items() if n in rows}

    def hints(self):
        """Return leaving replicas only: load is reported to each part's leader instead of among neighbours."""
        return self.leaving_hints()

    def usable(self, selector, role=None):
        now, found = self.environment.now(), {}
        with self.lock:
            leaving = self.leaving()
            for name, row in self.rows.items():
                if name in leaving or self.suspected_until.get(name, 0) > now or role and row["role"] != role:
                    continue
                if replicas.selects(selector, row["labels"]):
                    found[name] = self.conditions[name]["c"]
        return found

    def has_room(self, name):
        row = self.rows.get(name)
        return row is not None and self.own_requests.get(name, 0) < row["slots"]

    def mark_failed(self, name):
        """Exclude a replica after a send that failed without proof that the replica works."""
        with self.lock:
            count = self.consecutive_failures[name] = self.consecutive_failures.get(name, 0) + 1
        self.suspect(
            name,
            min(constants.MAX_EXCLUSION_S, constants.MIN_EXCLUSION_S * constants.EXCLUSION_GROWTH_RATIO ** (count - 1)),
        )

    def mark_succeeded(self, name):
        with self.lock:
            self.consecutive_failures.pop(name, None)
