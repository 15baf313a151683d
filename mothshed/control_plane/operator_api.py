"""The operator's HTTP interface on every keeper: the configuration as JSON.

GET /configuration            the active and the latest document
PUT /configuration            {"base": sequence, "document": {...}, "by": "...", "id": "..."}
PATCH /configuration          {"base": sequence, "put": {...}, "remove": {...}, "by": "...", "id": "..."}: changes
                              named items of the newest document (document_change.py); same responses as PUT
GET /configuration/history    the retained documents, oldest first, without the text that an adapter
                              received, which may contain keys; with one or more ?id=ID, also
                              `taken`: the sequence that each order was assigned, or null
GET /condition, /metrics      state and metrics of this keeper

A keeper that does not lead part 0 redirects the client with 307 to a leader that it has heard from recently.
Reads are confirmed by a majority; a leader without one answers 503 immediately. A write whose outcome is not
known in time is answered 504 with `may_have_run`; repeating it with the same id resolves it.
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
import mothshed.control_plane.operator_responses as operator_responses
import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body

StartResponse = collections.abc.Callable[..., typing.Any]  # WSGI's start_response
Environ = dict[str, typing.Any]  # WSGI's environ
Command = dict[str, typing.Any]  # for the log of the configuration part
Result = dict[str, typing.Any]  # result of such a command
Respond = collections.abc.Callable[[StartResponse, Command, Result], list[bytes]]
BuildDocument = collections.abc.Callable[[document_change.Document | None], document_change.Document]
INVALID_JSON_ERRORS = (ValueError, RecursionError)


class OperatorApi:
    def __init__(self, keeper):
        self.keeper = keeper
        self.calls = confirmed_calls.ConfirmedCalls(keeper.environment, lambda: self.member)

    @property
    def member(self) -> typing.Any:
        """The member of the configuration part, which is replaced after a disk failure."""
        return self.keeper.members[0]

    def __call__(self, environ, start_response):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        table = {
            "/configuration": {
                "GET": self.get_configuration,
                "PUT": self.put_configuration,
                "PATCH": self.patch_configuration,
            },
            "/configuration/history": {"GET": self.get_history},
            "/condition": {"GET": self.get_condition},
            "/metrics": {"GET": self.get_metrics},
        }
        if path not in table:
            return http_server.error_response(start_response, 404, f"no such path {path}")
        if method not in table[path]:
            methods = ", ".join(sorted(table[path]))
            return http_server.error_response(start_response, 405, f"use {methods}", headers=[("Allow", methods)])
        try:
            return table[path][method](environ, start_response)
        except request_body.BodyError as error:
            headers = [("Connection", "close")]
            return http_server.error_response(start_response, error.status, error.reason, headers=headers)

    def get_condition(self, environ, start_response):
        condition = self.keeper.condition()
        return http_server.respond(start_response, 200 if condition["serving"] else 503, condition)

    def get_metrics(self, environ, start_response):
        text = self.keeper.totals.text(self.keeper.environment.figures())
        return http_server.respond(start_response, 200, text.encode())

    def redirect_to_leader(self, environ, start_response):
        """Respond 307 to the leader heard from recently, or 503 if there is none; None if this is the leader."""
        if self.member.is_leader:
            return None
        leader = self.member.members.get(leader_hint.recent_leader(self.member))
        if not leader:
            message = "the configuration part has no leader now"
            return http_server.error_response(start_response, 503, message, retry_after_s=constants.RETRY_AFTER_S)
        query = environ.get("QUERY_STRING")
        location = f"http://{leader['http']}{environ['PATH_INFO']}" + (f"?{query}" if query else "")
        return http_server.respond(start_response, 307, {"leader": leader["http"]}, [("Location", location)])

    def confirmed_read(self, environ, start_response, query):
        redirect = self.redirect_to_leader(environ, start_response)
        if redirect:
            return redirect
        try:
            return http_server.respond(start_response, 200, self.calls.read(query))
        except confirmed_calls.NotConfirmed:
            return operator_responses.respond_not_confirmed(start_response)

    def get_configuration(self, environ, start_response):
        def query():
            machine = self.member.machine
            rows = {s: row["doc"] for s, row in machine.docs.items()}
            return {
                "active": machine.active,
                "latest": machine.latest,
                "document": rows.get(machine.active),
                "latest_document": rows.get(machine.latest),
                **self.keeper.leader_tasks[0].report(),
            }

        return self.confirmed_read(environ, start_response, query)

    def get_history(self, environ, start_response):
        order_ids = urllib.parse.parse_qs(environ.get("QUERY_STRING", "")).get("id", [])

        def query():
            machine = self.member.machine
            return {
                "active": machine.active,
                "latest": machine.latest,
                "rows": [history_row(sequence, row) for sequence, row in sorted(machine.docs.items())],
                "taken": {order_id: machine.accepted.sequence_of(order_id) for order_id in order_ids},
            }

        return self.confirmed_read(environ, start_response, query)

    def put_configuration(self, environ, start_response):
        try:
            body = json.loads(request_body.read_body(environ))
        except INVALID_JSON_ERRORS as error:
            return http_server.error_response(start_response, 400, f"body is not JSON: {error}")
        redirect = self.redirect_to_leader(environ, start_response)
        if redirect:  # without validating: the leader does that, and a large document takes a while
            return redirect
        errors = request_errors(body, {"document"})
        validation = configuration.validate(body.get("document") if isinstance(body, dict) else {})
        if isinstance(body, dict):
            errors += [f"document.{error}" for error in validation.errors]
        if errors:
            return operator_responses.respond_not_applied(start_response, errors)
        command = {**stage_command(body), "doc": validation.document}
        return self.submit(environ, start_response, command, respond_to_order)

    def patch_configuration(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Apply a change of named items to the newest document; the resulting whole document is replicated."""
        try:
            body = json.loads(request_body.read_body(environ))
        except INVALID_JSON_ERRORS as error:
            return http_server.error_response(start_response, 400, f"body is not JSON: {error}")
        errors = request_errors(body, {"put", "remove"})
        if errors:
            return operator_responses.respond_not_applied(start_response, errors)
        try:
            change = document_change.parse_change(body.get("put", {}), body.get("remove", {}))
        except document_change.ChangeError as error:
            return operator_responses.respond_not_applied(start_response, error.errors)

        def build_document(newest: document_change.Document | None) -> document_change.Document:
            return validated_document(document_change.apply_change(newest or {}, change))

        return self.submit(environ, start_response, stage_command(body), respond_to_order, build_document)

    def submit(
        self,
        environ: Environ,
        start_response: StartResponse,
        command: Command,
        respond: Respond,
        build_document: BuildDocument | None = None,
    ) -> list[bytes]:
        """Run an operator's order if this is the leader.

        build_document: derives the document from the newest one, for orders that do not carry it whole.
        """
        redirect = self.redirect_to_leader(environ, start_response)
        if redirect:
            return redirect
        try:
            result = self.calls.change(command, build_document) if build_document else self.calls.write(command)
        except document_change.ChangeError as error:
            return operator_responses.respond_not_applied(start_response, error.errors)
        except confirmed_calls.NotConfirmed:
            return operator_responses.respond_not_confirmed(start_response)
        except confirmed_calls.OutcomeUnknown:
            return operator_responses.respond_outcome_unknown(start_response, command["id"])
        if "unknown" in result:
            return operator_responses.respond_outcome_unknown(start_response, command["id"])
        return respond(start_response, command, result)


def history_row(sequence: int, row: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """A row of the history, without the operator's original text, which may contain keys."""
    document = document_delivery.deliverable_document(row["doc"])
    return {"sequence": sequence, "by": row["by"], "id": row["id"], "document": document}


def respond_to_order(start_response: StartResponse, command: Command, result: Result) -> list[bytes]:
    """Respond to an order that was applied, or whose result is already known."""
    if "conflict" in result:
        message = f"base {command['base']} is not the latest"
        return http_server.error_response(start_response, 409, message, current=result["conflict"])
    return http_server.respond(start_response, 200, {"sequence": result["sequence"], "id": command["id"]})


def validated_document(document: document_change.Document) -> document_change.Document:
    """The document that a change results in, with defaults; raises ChangeError if it is not valid."""
    validation = configuration.validate(document)
    if validation.document is None:
        raise document_change.ChangeError([f"document.{error}" for error in validation.errors])
    size = len(json.dumps(validation.document))
    if size > constants.MAX_BODY_BYTES:
        raise document_change.ChangeError([f"document: {size} bytes, more than {constants.MAX_BODY_BYTES}"])
    return validation.document


def stage_command(body: dict[str, typing.Any]) -> Command:
    """The command for an operator's order, without its document."""
    return {
        "op": "stage",
        "base": body["base"],
        "by": body.get("by", ""),
        "id": body.get("id") or secrets.token_hex(8),
    }


def request_errors(body: typing.Any, fields: set[str]) -> list[str]:
    """Errors in the structure of an order. fields: those allowed besides base, by and id."""
    if not isinstance(body, dict):
        return [f"document: expected an object with base and {' and '.join(sorted(fields))}"]
    errors = []
    if not isinstance(body.get("base"), int) or isinstance(body.get("base"), bool) or body["base"] < 0:
        errors.append("base: expected the sequence this document was made from, 0 for the first")
    for field in ("by", "id"):
        if not isinstance(body.get(field, ""), str):
            errors.append(f"{field}: expected text")
    return errors + [f"{field}: unknown" for field in sorted(set(body) - {"base", "by", "id"} - fields)]
