"""The operator's front on every keeper: the configuration over HTTP and JSON.

GET /configuration            the active and the latest document
PUT /configuration            {"base": sequence, "document": {...}, "by": "...", "id": "..."}
GET /configuration/history    what was accepted, oldest first
GET /condition, /metrics      this keeper

A keeper that does not own part 0 sends the caller on with 307. Reads are
confirmed by a majority. A write whose end is not known in time is answered 504
with `may_have_run`; reading history by its id resolves it.
"""

import json
import secrets

import mothshed.common.configuration as configuration
import mothshed.common.constants as constants
import mothshed.common.front as front


class KeeperFront:
    def __init__(self, keeper):
        self.keeper = keeper
        self.seat = keeper.members[0]

    def __call__(self, environ, start):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        table = {
            "/configuration": {"GET": self.show, "PUT": self.put},
            "/configuration/history": {"GET": self.history},
            "/condition": {"GET": self.condition},
            "/metrics": {"GET": self.metrics},
        }
        if path not in table:
            return front.fault(start, 404, f"no such path {path}")
        if method not in table[path]:
            ways = ", ".join(sorted(table[path]))
            return front.fault(start, 405, f"use {ways}", headers=[("Allow", ways)])
        try:
            return table[path][method](environ, start)
        except front.BadBody as e:
            return front.fault(start, e.status, e.reason, headers=[("Connection", "close")])

    def condition(self, environ, start):
        said = self.keeper.condition()
        return front.respond(start, 200 if said["serving"] else 503, said)

    def metrics(self, environ, start):
        return front.respond(start, 200, self.keeper.totals.text().encode())

    def elsewhere(self, environ, start):
        """307 to the owner, or 503 while there is none; None if this is the owner."""
        if self.seat.owns:
            return None
        place = self.seat.members.get(self.seat.owner)
        if not place or self.seat.owner == self.seat.who:
            return front.fault(start, 503, "the configuration part has no owner now", retry=constants.RETRY_AFTER)
        goal = f"http://{place['http']}{environ['PATH_INFO']}"
        return front.respond(start, 307, {"owner": place["http"]}, [("Location", goal)])

    def read(self, environ, start, give):
        away = self.elsewhere(environ, start)
        if away:
            return away
        said = self.keeper.ask_part(
            self.seat, lambda done: self.seat.confirm(lambda good: done(give() if good else None))
        )
        if said is None:
            return front.fault(start, 503, "no majority confirms this owner now", retry=constants.RETRY_AFTER)
        return front.respond(start, 200, said)

    def show(self, environ, start):
        def give():
            m = self.seat.machine
            rows = {s: row["doc"] for s, row in m.docs.items()}
            return {
                "active": m.active,
                "latest": m.latest,
                "document": rows.get(m.active),
                "latest_document": rows.get(m.latest),
                **self.keeper.duties[0].report(),
            }

        return self.read(environ, start, give)

    def history(self, environ, start):
        def give():
            m = self.seat.machine
            return {
                "active": m.active,
                "latest": m.latest,
                "rows": [
                    {"sequence": s, "by": r["by"], "id": r["id"], "document": r["doc"]}
                    for s, r in sorted(m.docs.items())
                ],
            }

        return self.read(environ, start, give)

    def put(self, environ, start):
        data = front.body_of(environ)
        try:
            body = json.loads(data)
        except (ValueError, RecursionError) as e:
            return front.fault(start, 400, f"body is not JSON: {e}")
        found = faults(body)
        if found:
            return front.fault(start, 400, "nothing was applied", faults=found)
        away = self.elsewhere(environ, start)
        if away:
            return away
        command = {
            "op": "stage",
            "base": body["base"],
            "doc": configuration.full(body["document"]),
            "by": body.get("by", ""),
            "id": body.get("id") or secrets.token_hex(8),
        }
        said = self.commit(command)
        if said == "no owner":
            return front.fault(start, 503, "the owner changed; nothing was written", retry=constants.RETRY_AFTER)
        if said is None:
            return front.fault(
                start,
                504,
                "not known whether it was accepted: read the history",
                verdict="may_have_run",
                id=command["id"],
            )
        if "conflict" in said:
            return front.fault(start, 409, f"base {body['base']} is not the latest", current=said["conflict"])
        return front.respond(start, 200, {"sequence": said["sequence"], "id": command["id"]})

    def commit(self, command):
        """What became of a command: a result, "no owner" if nothing was written, None if not known."""
        return self.keeper.ask_part(self.seat, lambda done: self.write(command, done))

    def write(self, command, done):
        if not (self.seat.owns and self.seat.ready):
            done("no owner")
        else:
            self.seat.propose(command, done)


def faults(body):
    if not isinstance(body, dict):
        return ["document: expected an object with base and document"]
    found = []
    if not isinstance(body.get("base"), int) or isinstance(body.get("base"), bool) or body["base"] < 0:
        found.append("base: expected the sequence this document was made from, 0 for the first")
    for word in ("by", "id"):
        if not isinstance(body.get(word, ""), str):
            found.append(f"{word}: expected text")
    extra = set(body) - {"base", "document", "by", "id"}
    found += [f"{word}: unknown" for word in sorted(extra)]
    return found + [f"document.{f}" for f in configuration.faults(body.get("document"))]
