"""What a process knows of the replicas: the platform's list, and conditions that expire.

Conditions come from this process's probes and from hints of neighbours; the more recent one counts. A replica gets no
new requests while the list as read here shows it leaving, nor while a neighbour's reading does that is at most
LEAVING_MARK_TTL_S older than the own one: lists lag, so one that still shows the replica ready proves nothing. A
process that was suspended places nothing until it has asked for the list again. Load is estimated as what others had
on a replica at its last report plus what this process has there now, so that an old report doesn't hide this process's
own requests.
"""

import dataclasses
import math
import threading

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.replicas.platform_list as platform_list
import mothshed.replicas.replica_adapter as replica_adapter


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A replica as the destination of a send."""

    name: str
    url: str
    engine: str
    zone: str


def selects(selector: dict[str, str], labels: dict[str, str]) -> bool:
    """Return whether a pool's selector matches a replica's labels.

    >>> selects({"service": "a"}, {"service": "a", "zone": "z"}), selects({"service": "a"}, {"service": "b"})
    (True, False)
    """
    return all(labels.get(key) == value for key, value in selector.items())


class Replicas:
    """The replicas of the platform's list and their conditions, by name."""

    def __init__(self, environment, list_url, journal):
        self.environment, self.list_url, self.journal = environment, list_url, journal
        self.rows = {}  # name -> row of the platform's list
        self.conditions = {}  # name -> {"at": time, "own": own requests then, "c": condition}
        self.leaving_marks = {}  # name -> when a neighbour's list showed the replica leaving
        self.own_requests = {}  # name -> requests of this process running there
        self.suspected_until = {}  # name -> until when it is excluded after a failure
        self.lock = threading.RLock()
        self.router_count = lambda: 1  # number of routers that use the same replicas
        self.probing, self.failed_probes = set(), {}  # names being probed; name -> consecutive failures
        self.list_read_at = -1e9  # when the list was last read
        self.list_attempted_at = -1e9  # when it was last requested, successfully or not

    def run(self):
        self.environment.spawn(self.poll_list)
        self.environment.spawn(self.poll_conditions)

    def poll_list(self):
        while True:
            try:
                self.update_list(platform_list.read(self.environment, self.list_url))
            except http_client.ExchangeError as e:
                self.journal.add("list", outcome="failed", reason=str(e))
            self.list_attempted_at = self.environment.now()
            self.environment.sleep(constants.LIST_POLL_INTERVAL_S)

    def update_list(self, rows):
        now = self.environment.now()
        with self.lock:
            self.rows, self.list_read_at = rows, now
            self.leaving_marks = {
                n: at for n, at in self.leaving_marks.items() if at > now - constants.LEAVING_MARK_TTL_S
            }
            for name in [n for n in self.conditions if n not in rows]:
                del self.conditions[name]

    def leaving(self):
        """Return the replicas that get no new requests: leaving by this list, or by a neighbour's of about that age."""
        with self.lock:
            own = {n for n, row in self.rows.items() if row["leaving"]}
            return own | {
                n for n, at in self.leaving_marks.items() if at > self.list_read_at - constants.LEAVING_MARK_TTL_S
            }

    def poll_conditions(self):
        while True:
            now = self.environment.now()
            for name, row in list(self.rows.items()):
                known = self.conditions.get(name)
                if name not in self.probing and (not known or now - known["at"] > constants.PROBE_INTERVAL_S * 0.8):
                    self.probing.add(name)
                    self.environment.spawn(lambda name=name, url=row["url"]: self.probe(name, url))
            self.environment.sleep(constants.PROBE_INTERVAL_S / 2)

    def probe(self, name, url):
        own, at = self.own_requests.get(name, 0), self.environment.now()
        try:
            self.update_condition(name, at, own, replica_adapter.condition(self.environment, url))
            self.failed_probes.pop(name, None)
        except http_client.ExchangeError as e:
            self.journal.add("probe", outcome="failed", replica=name, reason=str(e))
            self.failed_probes[name] = self.failed_probes.get(name, 0) + 1
            if self.failed_probes[name] >= constants.MAX_FAILED_PROBES:
                self.suspect(name)
        finally:
            self.probing.discard(name)

    def update_condition(self, name, at, own, condition):
        with self.lock:
            known = self.conditions.get(name)
            if name in self.rows and (not known or known["at"] < at):
                self.conditions[name] = {"at": at, "own": own, "c": condition}

    def leaving_hints(self):
        now = self.environment.now()
        with self.lock:
            return [
                {
                    "leaving": n,
                    "age": round(
                        now - (self.list_read_at if self.rows.get(n, {}).get("leaving") else self.leaving_marks[n]), 3
                    ),
                }
                for n in sorted(self.leaving())
            ]

    def hints(self):
        """Return leaving replicas first, then conditions in random order, since a record may hold only some."""
        now, leaving = self.environment.now(), self.leaving_hints()
        with self.lock:
            rows = [
                {"replica": n, "age": round(now - s["at"], 3), "c": s["c"]}
                for n, s in self.conditions.items()
                if now - s["at"] < constants.HINT_TTL_S
            ]
        self.environment.random.shuffle(rows)
        return leaving + rows

    def apply_hint(self, hint):
        at = self.environment.now() - max(0.0, hint["age"])
        if "leaving" in hint:
            with self.lock:
                self.leaving_marks[hint["leaving"]] = max(at, self.leaving_marks.get(hint["leaving"], at))
        else:
            name = hint["replica"]
            self.update_condition(name, at, self.own_requests.get(name, 0), hint["c"])

    def suspect(self, name, duration_s=constants.SUSPECT_DURATION_S):
        self.suspected_until[name] = self.environment.now() + duration_s

    def usable(self, selector, role=None):
        """Return by name the condition of the replicas a selector matches that are listed, staying and up to date."""
        now, found = self.environment.now(), {}
        if now - self.list_attempted_at > constants.LIST_ATTEMPT_MAX_AGE_S:
            return found
        with self.lock:
            leaving = self.leaving()
            for name, row in self.rows.items():
                known = self.conditions.get(name)
                if (
                    name in leaving
                    or not known
                    or now - known["at"] > constants.REPLICA_STATUS_TTL_S
                    or self.suspected_until.get(name, 0) > now
                    or role
                    and known["c"]["role"] != role
                ):
                    continue
                if selects(selector, row["labels"]):
                    found[name] = known["c"]
            return found

    def estimated_load(self, name):
        """Return the estimated number of requests at a replica, including waiting ones."""
        known = self.conditions[name]
        others = max(0, known["c"]["run"] + known["c"]["wait"] - known["own"])
        return others + self.own_requests.get(name, 0)

    def has_room(self, name):
        """Return whether the replica can take one more request of this process.

        Between two reports a router uses no more than its share of the slots that were free in the last report,
        since it doesn't know what other routers have used since. A share below one slot is drawn at random once
        per report.
        """
        known = self.conditions[name]
        condition = known["c"]
        free = max(0, condition["slots"] + constants.MAX_REPLICA_QUEUED_REQUESTS - condition["run"] - condition["wait"])
        if "share" not in known:
            share = free * constants.SLOT_OVERCOMMIT_RATIO / max(1, self.router_count())
            known["share"] = int(share) + (self.environment.random.random() < share % 1)
        return self.own_requests.get(name, 0) - known["own"] < min(known["share"], free)

    def mark_full(self, name):
        """Send nothing more to a replica that rejected a request until it reports again."""
        with self.lock:
            if name in self.conditions:
                self.conditions[name]["share"] = -math.inf

    def request_started(self, name):
        with self.lock:
            self.own_requests[name] = self.own_requests.get(name, 0) + 1

    def request_ended(self, name):
        with self.lock:
            self.own_requests[name] = max(0, self.own_requests.get(name, 0) - 1)

    def endpoint(self, name):
        with self.lock:
            row = self.rows[name]
            return Endpoint(name, row["url"], self.conditions[name]["c"]["engine"], row["cell"])
