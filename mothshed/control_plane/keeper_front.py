"""The operator's front on every keeper: the configuration over HTTP and JSON.

GET /configuration            the active and the latest document
PUT /configuration            {"base": sequence, "document": {...}, "by": "...", "id": "..."}
PATCH /configuration          {"base": sequence, "put": {...}, "remove": {...}, "by": "...", "id": "..."}: changes
                              named items of the newest document (document_change.py); answered as PUT is
GET /configuration/history    the accepted documents that are kept, oldest first, without the text that an adapter
                              took them from, which may hold keys; with ?id=ID, several if wanted, also
                              `taken`: the sequence that each order was given, or null
GET /condition, /metrics      this keeper

A keeper that does not own part 0 sends the caller on with 307, to a leader that it
heard of lately. Reads are confirmed by a majority; a leader without one answers 503 at
once. A write whose end is not known in time is answered 504 with `may_have_run`; sending
it again with its id resolves it.
"""

import collections.abc
import json
import secrets
import typing
import urllib.parse

import mothshed.configuration.document as configuration
import mothshed.configuration.document_change as document_change
import mothshed.constants as constants
import mothshed.control_plane.confirmed_calls as confirmed_calls
import mothshed.control_plane.document_delivery as document_delivery
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.http.front as front

StartResponse = collections.abc.Callable[..., typing.Any]  # WSGI's start_response
Environ = dict[str, typing.Any]  # WSGI's environ
Command = dict[str, typing.Any]  # for the configuration part's log
Result = dict[str, typing.Any]  # of such a command
Answer = collections.abc.Callable[[StartResponse, Command, Result], list[bytes]]
Complete = collections.abc.Callable[[document_change.Document | None], document_change.Document]
NO_JSON = (ValueError, RecursionError)


class KeeperFront:
    def __init__(self, keeper):
        self.keeper = keeper
        self.calls = confirmed_calls.ConfirmedCalls(keeper.environment, lambda: self.member)

    @property
    def member(self) -> typing.Any:
        """The member of the configuration's part; another one after its disk failed."""
        return self.keeper.members[0]

    def __call__(self, environ, start):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        table = {
            "/configuration": {"GET": self.show, "PUT": self.put, "PATCH": self.patch},
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
        return front.respond(start, 200, self.keeper.totals.text(self.keeper.environment.figures()).encode())

    def elsewhere(self, environ, start):
        """307 to a leader heard of lately, or 503 while there is none; None if this is the leader."""
        if self.member.is_leader:
            return None
        place = self.member.members.get(leader_hint.recent_leader(self.member))
        if not place:
            return front.fault(start, 503, "the configuration part has no leader now", retry=constants.RETRY_AFTER_S)
        query = environ.get("QUERY_STRING")
        goal = f"http://{place['http']}{environ['PATH_INFO']}" + (f"?{query}" if query else "")
        return front.respond(start, 307, {"leader": place["http"]}, [("Location", goal)])

    def read(self, environ, start, give):
        away = self.elsewhere(environ, start)
        if away:
            return away
        try:
            return front.respond(start, 200, self.calls.read(give))
        except confirmed_calls.NotConfirmed:
            return not_confirmed(start)

    def show(self, environ, start):
        def give():
            m = self.member.machine
            rows = {s: row["doc"] for s, row in m.docs.items()}
            return {
                "active": m.active,
                "latest": m.latest,
                "document": rows.get(m.active),
                "latest_document": rows.get(m.latest),
                **self.keeper.leader_tasks[0].report(),
            }

        return self.read(environ, start, give)

    def history(self, environ, start):
        asked = urllib.parse.parse_qs(environ.get("QUERY_STRING", "")).get("id", [])

        def give():
            machine = self.member.machine
            return {
                "active": machine.active,
                "latest": machine.latest,
                "rows": [history_row(sequence, row) for sequence, row in sorted(machine.docs.items())],
                "taken": {order_id: machine.accepted.sequence_of(order_id) for order_id in asked},
            }

        return self.read(environ, start, give)

    def put(self, environ, start):
        try:
            body = json.loads(front.body_of(environ))
        except NO_JSON as e:
            return front.fault(start, 400, f"body is not JSON: {e}")
        found = form_faults(body, {"document"})
        if isinstance(body, dict):
            found += [f"document.{f}" for f in configuration.validation_errors(body.get("document"))]
        if found:
            return not_applied(start, found)
        command = {**command_of(body), "doc": configuration.with_defaults(body["document"])}
        return self.stage(environ, start, command, answer)

    def patch(self, environ: Environ, start: StartResponse) -> list[bytes]:
        """Take a change of named items; the newest document with the change in it is agreed on whole."""
        try:
            body = json.loads(front.body_of(environ))
        except NO_JSON as e:
            return front.fault(start, 400, f"body is not JSON: {e}")
        found = form_faults(body, {"put", "remove"})
        if found:
            return not_applied(start, found)
        try:
            change = document_change.parse_change(body.get("put", {}), body.get("remove", {}))
        except document_change.ChangeError as e:
            return not_applied(start, e.errors)

        def complete(newest: document_change.Document | None) -> document_change.Document:
            return checked(document_change.apply_change(newest or {}, change))

        return self.stage(environ, start, command_of(body), answer, complete)

    def stage(
        self,
        environ: Environ,
        start: StartResponse,
        command: Command,
        answer: Answer,
        complete: Complete | None = None,
    ) -> list[bytes]:
        """Carry out an operator's order if this is the leader. complete: makes its document from the newest one."""
        away = self.elsewhere(environ, start)
        if away:
            return away
        try:
            result = self.calls.change(command, complete) if complete else self.calls.write(command)
        except document_change.ChangeError as e:
            return not_applied(start, e.errors)
        except confirmed_calls.NotConfirmed:
            return not_confirmed(start)
        except confirmed_calls.OutcomeUnknown:
            return unclear(start, command["id"])
        if "unknown" in result:
            return unclear(start, command["id"])
        return answer(start, command, result)


def not_confirmed(start: StartResponse) -> list[bytes]:
    reason = "no majority confirms this leader now; nothing was written"
    return front.fault(start, 503, reason, retry=constants.RETRY_AFTER_S)


def unclear(start: StartResponse, order_id: str) -> list[bytes]:
    reason = "not known whether it was accepted: send it again with its id, or read the history"
    return front.fault(start, 504, reason, verdict="may_have_run", id=order_id)


def history_row(sequence: int, row: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """A document of the history as operators are shown it: without the text that may hold keys."""
    document = document_delivery.deliverable_document(row["doc"])
    return {"sequence": sequence, "by": row["by"], "id": row["id"], "document": document}


def not_applied(start: StartResponse, faults: list[str]) -> list[bytes]:
    return front.fault(start, 400, "nothing was applied", faults=faults)


def answer(start: StartResponse, command: Command, result: Result) -> list[bytes]:
    """The answer to an order that was applied, or that the record knows."""
    if "conflict" in result:
        return front.fault(start, 409, f"base {command['base']} is not the latest", current=result["conflict"])
    return front.respond(start, 200, {"sequence": result["sequence"], "id": command["id"]})


def checked(document: document_change.Document) -> document_change.Document:
    """A document made by a change, with its defaults filled in; raises ChangeError if it is not valid whole."""
    found = configuration.validation_errors(document)
    if found:
        raise document_change.ChangeError([f"document.{f}" for f in found])
    document = configuration.with_defaults(document)
    size = len(json.dumps(document))
    if size > constants.MAX_BODY_BYTES:
        raise document_change.ChangeError([f"document: {size} bytes, more than {constants.MAX_BODY_BYTES}"])
    return document


def command_of(body: dict[str, typing.Any]) -> Command:
    """The command that an operator's order stands for, but for its document."""
    return {
        "op": "stage",
        "base": body["base"],
        "by": body.get("by", ""),
        "id": body.get("id") or secrets.token_hex(8),
    }


def form_faults(body: typing.Any, words: set[str]) -> list[str]:
    """What is wrong with an order's form. words: the fields that it may have beside base, by and id."""
    if not isinstance(body, dict):
        return [f"document: expected an object with base and {' and '.join(sorted(words))}"]
    found = []
    if not isinstance(body.get("base"), int) or isinstance(body.get("base"), bool) or body["base"] < 0:
        found.append("base: expected the sequence this document was made from, 0 for the first")
    for word in ("by", "id"):
        if not isinstance(body.get(word, ""), str):
            found.append(f"{word}: expected text")
    return found + [f"{word}: unknown" for word in sorted(set(body) - {"base", "by", "id"} - words)]
