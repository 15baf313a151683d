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
import contextlib
import json
import typing

import mothshed.configuration.document as configuration
import mothshed.configuration.document_change as document_change
import mothshed.configuration.document_limits as document_limits
import mothshed.constants as constants
import mothshed.control_plane.confirmed_calls as confirmed_calls
import mothshed.control_plane.document_rows as document_rows
import mothshed.control_plane.large_orders as large_orders
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.control_plane.operator_orders as operator_orders
import mothshed.control_plane.operator_reads as operator_reads
import mothshed.control_plane.operator_responses as operator_responses
import mothshed.control_plane.order_documents as order_documents
import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body

StartResponse = collections.abc.Callable[..., typing.Any]  # WSGI's start_response
Environ = dict[str, typing.Any]  # WSGI's environ
Command = dict[str, typing.Any]  # for the log of the configuration part
Result = dict[str, typing.Any]  # result of such a command
Respond = collections.abc.Callable[[StartResponse, Command, Result], list[bytes]]
BuildDocument = collections.abc.Callable[[document_rows.StoredDocument | None], document_change.Document]
WsgiCall = collections.abc.Callable[[Environ, StartResponse], list[bytes]]
INVALID_JSON_ERRORS = (ValueError, RecursionError)


class OperatorApi(operator_reads.OperatorReads):
    def __init__(self, keeper):
        self.keeper = keeper
        self.calls = confirmed_calls.ConfirmedCalls(keeper.environment, lambda: self.member)
        self.large_orders = large_orders.LargeOrders(keeper.environment)

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
        return self.run(table[path][method], environ, start_response)

    def run(self, call: WsgiCall, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Run the call of a path, and respond to errors that any of them may raise."""
        try:
            return call(environ, start_response)
        except request_body.BodyError as error:
            headers = [("Connection", "close")]
            return http_server.error_response(start_response, error.status, error.reason, headers=headers)
        except large_orders.LargeOrdersBusyError:
            return operator_responses.respond_busy(start_response)

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

    def put_configuration(self, environ, start_response):
        data = request_body.read_body(environ)
        is_large = large_orders.is_large(data)
        redirect = is_large and self.redirect_to_leader(environ, start_response)
        if redirect:  # without parsing: the leader does that
            return redirect
        if is_large and not self.member.has_quorum():
            return operator_responses.respond_not_confirmed(start_response)
        with self.large_orders.turn(is_large):
            return self.put_document(environ, start_response, data)

    def put_document(self, environ: Environ, start_response: StartResponse, data: bytes) -> list[bytes]:
        """Have the document of a request body accepted, if it is valid."""
        try:
            body = json.loads(data)
        except INVALID_JSON_ERRORS as error:
            return http_server.error_response(start_response, 400, f"body is not JSON: {error}")
        redirect = self.redirect_to_leader(environ, start_response)
        if redirect:  # without validating: the leader does that, and a large document takes a while
            return redirect
        errors = document_limits.encoding_errors(body) or operator_orders.request_errors(body, {"document"})
        if not errors and large_orders.is_large(data) and body.get("id") and self.calls.is_known(body["id"]):
            return self.submit(environ, start_response, operator_orders.stage_command(body), respond_to_order)
        validation = configuration.validate(body.get("document") if isinstance(body, dict) else {})
        if isinstance(body, dict):
            errors += [f"document.{error}" for error in validation.errors]
        if errors:
            return operator_responses.respond_not_applied(start_response, errors)
        command = operator_orders.stage_command(body)
        return self.submit(environ, start_response, command, respond_to_order, document=validation.document)

    def patch_configuration(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Apply a change of named items to the newest document; the resulting whole document is replicated."""
        try:
            body = json.loads(request_body.read_body(environ))
        except INVALID_JSON_ERRORS as error:
            return http_server.error_response(start_response, 400, f"body is not JSON: {error}")
        errors = operator_orders.request_errors(body, {"put", "remove"}) or document_limits.encoding_errors(body)
        if errors:
            return operator_responses.respond_not_applied(start_response, errors)
        try:
            change = document_change.parse_change(body.get("put", {}), body.get("remove", {}))
        except document_change.ChangeError as error:
            return operator_responses.respond_not_applied(start_response, error.errors)

        def build_document(newest: document_rows.StoredDocument | None) -> document_change.Document:
            document = newest.whole() if newest else {}
            return operator_orders.validated_document(document_change.apply_change(document, change))

        command = operator_orders.stage_command(body)
        return self.submit(environ, start_response, command, respond_to_order, build_document=build_document)

    def submit(
        self,
        environ: Environ,
        start_response: StartResponse,
        command: Command,
        respond: Respond,
        document: document_change.Document | None = None,
        build_document: BuildDocument | None = None,
    ) -> list[bytes]:
        """Run an operator's order if this is the leader.

        document: that of the order; None if the order is known already. build_document: derives it from the newest
        one instead.
        """
        redirect = self.redirect_to_leader(environ, start_response)
        if redirect:
            return redirect
        try:
            with contextlib.ExitStack() as pins:
                if build_document:
                    result = self.calls.change(command, lambda newest: self.build_fields(build_document, newest, pins))
                elif document is not None:
                    fields = order_documents.stored_fields(self.member, document, pins)
                    result = self.calls.write({**command, **fields})
                else:
                    result = self.calls.write(command)
        except document_change.ChangeError as error:
            return operator_responses.respond_not_applied(start_response, error.errors)
        except confirmed_calls.NotConfirmed:
            return operator_responses.respond_not_confirmed(start_response)
        except confirmed_calls.OutcomeUnknown:
            return operator_responses.respond_outcome_unknown(start_response, command["id"])
        if "unknown" in result:
            return operator_responses.respond_outcome_unknown(start_response, command["id"])
        return respond(start_response, command, result)

    def build_fields(
        self,
        build_document: BuildDocument,
        newest: document_rows.StoredDocument | None,
        pins: contextlib.ExitStack,
    ) -> Command:
        """The fields of a command that carry the document derived from the newest one."""
        with self.large_orders.turn(newest is not None and newest.is_large):
            return order_documents.stored_fields(self.member, build_document(newest), pins)


def respond_to_order(start_response: StartResponse, command: Command, result: Result) -> list[bytes]:
    """Respond to an order that was applied, or whose result is already known."""
    if "conflict" in result:
        message = f"base {command['base']} is not the latest"
        return http_server.error_response(start_response, 409, message, current=result["conflict"])
    return http_server.respond(start_response, 200, {"sequence": result["sequence"], "id": command["id"]})
