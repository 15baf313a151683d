"""The reading half of the operator's HTTP interface: the configuration and its history, as a majority confirms them.

What is read in the mailbox refers to large documents only; they are unpacked and encoded by the thread that responds.
"""

import collections.abc
import typing
import urllib.parse

import mothshed.control_plane.confirmed_calls as confirmed_calls
import mothshed.control_plane.operator_orders as operator_orders
import mothshed.control_plane.operator_responses as operator_responses
import mothshed.http.http_server as http_server

StartResponse = collections.abc.Callable[..., typing.Any]  # WSGI's start_response
Environ = dict[str, typing.Any]  # WSGI's environ
Result = dict[str, typing.Any]
Query = collections.abc.Callable[[], typing.Any]
Respond = collections.abc.Callable[[StartResponse, int, typing.Any], list[bytes]]


class OperatorReads:
    """Mixin of OperatorApi: GET of the configuration and its history."""

    def confirmed_read(
        self, environ: Environ, start_response: StartResponse, query: Query, respond: Respond = http_server.respond
    ) -> list[bytes]:
        """Respond with what query() returns in the mailbox. respond(start_response, 200, result) may take a while."""
        redirect = self.redirect_to_leader(environ, start_response)
        if redirect:
            return redirect
        try:
            result = self.calls.read(query)
        except confirmed_calls.NotConfirmed:
            return operator_responses.respond_not_confirmed(start_response)
        return respond(start_response, 200, result)

    def get_configuration(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Respond with the active and the latest document."""

        def query() -> Result:
            machine = self.member.machine
            return {
                "active": machine.active,
                "latest": machine.latest,
                "document": machine.stored_document(machine.active),
                "latest_document": machine.stored_document(machine.latest),
                **self.keeper.leader_tasks[0].report(),
            }

        return self.confirmed_read(environ, start_response, query, self.respond_with_documents)

    def respond_with_documents(self, start_response: StartResponse, status: int, result: Result) -> list[bytes]:
        """Respond with the documents themselves."""
        found = {name: result[name] for name in ("document", "latest_document")}
        with self.large_orders.turn(any(stored and stored.is_large for stored in found.values())):
            documents = {name: stored and stored.whole() for name, stored in found.items()}
            return http_server.respond(start_response, status, {**result, **documents})

    def get_history(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Respond with the retained documents, and with the sequences of the orders that are asked for."""
        order_ids = urllib.parse.parse_qs(environ.get("QUERY_STRING", "")).get("id", [])

        def query() -> Result:
            machine = self.member.machine
            return {
                "active": machine.active,
                "latest": machine.latest,
                "rows": [(sequence, machine.stored_document(sequence)) for sequence in sorted(machine.docs)],
                "taken": {order_id: machine.accepted.sequence_of(order_id) for order_id in order_ids},
            }

        return self.confirmed_read(environ, start_response, query, self.respond_with_history)

    def respond_with_history(self, start_response: StartResponse, status: int, result: Result) -> list[bytes]:
        """Respond with the documents of the history."""
        with self.large_orders.turn(any(stored.is_large for _sequence, stored in result["rows"])):
            rows = [operator_orders.history_row(sequence, stored) for sequence, stored in result["rows"]]
            return http_server.respond(start_response, status, {**result, "rows": rows})
