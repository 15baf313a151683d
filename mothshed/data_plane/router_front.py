"""The router's HTTP front for the completions interface: completions, condition and metrics.

Every error response states in JSON whether the request may have run. The status of a
stream is sent only with its first token, so that a failure before it still gets an
error status.
"""

import functools
import json
import time

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.request_execution as request_execution
import mothshed.data_plane.request_parsing as request_parsing
import mothshed.http.caller as caller_module
import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body
import mothshed.replicas.verdict as verdict
import mothshed.runtime.log_buffer as log_buffer


class CompletionsFront:
    """The WSGI application of a router that serves the completions interface."""

    def __init__(self, router):
        self.router = router

    def __call__(self, environ, start):
        """Dispatch one WSGI request by its path and method."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path in request_parsing.PATHS:
            if method != "POST":
                return http_server.error_response(start, 405, "use POST", headers=[("Allow", "POST")])
            return self.complete(path, environ, start)
        handlers = {"/condition": self.condition, "/metrics": self.metrics}
        if path in handlers:
            if method != "GET":
                return http_server.error_response(start, 405, "use GET", headers=[("Allow", "GET")])
            return handlers[path](start)
        return http_server.error_response(start, 404, f"no such path {path}")

    def condition(self, start):
        """Respond with the router's state; status 503 while it does not serve."""
        condition = self.router.condition()
        return http_server.respond(start, 200 if condition["serving"] else 503, condition)

    def metrics(self, start):
        """Respond with the counters in text form."""
        return http_server.respond(start, 200, self.router.totals.text(self.router.environment.figures()).encode())

    def complete(self, path, environ, start):
        """Execute one completions request and respond with its result or failure."""
        router = self.router
        headers = http_server.request_headers(environ)
        headers.setdefault("x-request-id", f"made-{router.environment.random.getrandbits(64):016x}")
        if not router.begin_request():
            router.journal.add("bounce", outcome="stopping")
            return http_server.error_response(
                start,
                503,
                "this router is stopping",
                retry_after_s=constants.RETRY_AFTER_S,
                headers=[("Connection", "close")],
            )
        execution = None
        try:
            request = self.parse_request(path, environ, headers, environ.get("mothshed.caller"))
            execution = request_execution.RequestExecution(router, request)
            tokens = execution.run()
            first = next(tokens)
        except BaseException as e:
            router.end_request()
            if router.cutting and isinstance(e, verdict.CallerDisconnected):
                return self.cut_response(start, execution, headers)
            return self.respond_failure(start, e, headers)
        if request.stream:
            start(http_server.status_line(200), [("Content-Type", "text/event-stream"), ("X-Request-Id", request.id)])
            return EventStream(router, request, first, tokens)
        try:
            gathered = [first, *tokens]
        except BaseException as e:
            return self.respond_failure(start, e, headers)
        finally:
            router.end_request()
        router.journal.add("request", outcome="done", request=request.id)
        return http_server.respond(start, 200, make_response(request, gathered), [("X-Request-Id", request.id)])

    def cut_response(
        self,
        start: http_server.StartResponse,
        execution: request_execution.RequestExecution | None,
        headers: dict[str, str],
    ) -> list[bytes]:
        """Respond to a request that the stop of this router has cut before the head of its response."""
        request_id = valid_request_id(headers)
        headers_out = [("X-Request-Id", request_id)] if request_id else []
        self.router.journal.add("request", outcome="cut", request=request_id)
        reason = "this router is stopping"
        if execution is not None and execution.was_sent():
            return http_server.error_response(start, 502, reason, verdict="may_have_run", headers=headers_out)
        return http_server.error_response(
            start, 503, reason, retry_after_s=constants.RETRY_AFTER_S, headers=headers_out
        )

    def parse_request(self, path, environ, headers, caller):
        """Parse the request; its waits and cutoff count from its arrival, not from when a thread was free."""
        router = self.router
        arrived_at, data = caller.arrived if caller else router.environment.now(), request_body.read_body(environ)
        document = router.lease.document()
        if document is None:
            raise verdict.Rejection(503, "no configuration yet", constants.RETRY_AFTER_S, "no_configuration")
        caller_identity = None
        if document.get("require_key"):
            sequence, document = router.wait_for_lease(caller or caller_module.Caller())
            if sequence is None:
                raise verdict.Rejection(503, "no lease", constants.RETRY_AFTER_S, "no_lease")
            caller_identity = identity.identify_caller(
                document, router.tables.table_for(sequence, document).keys, headers
            )
        request = request_parsing.parse(arrived_at, path, headers, data, document, caller_identity)
        if caller:
            caller.close_after(request.cutoff + constants.RESPONSE_GRACE_S)
            request.caller = caller
        return request

    def respond_failure(self, start, error, headers):
        """Respond to a request that failed before its response began, and record its outcome in the journal."""
        request_id = valid_request_id(headers)
        headers_out = [("X-Request-Id", request_id)] if request_id else []
        add_entry = functools.partial(self.router.journal.add, request=request_id)
        if isinstance(error, request_body.BodyError):
            add_entry("request", outcome="invalid")
            return http_server.error_response(
                start, error.status, error.reason, headers=headers_out + [("Connection", "close")]
            )
        if isinstance(error, verdict.Rejection):
            add_entry("request", outcome=identity.REFUSAL_OUTCOMES.get(error.status, "invalid"))
            if error.status == 503:
                add_entry("bounce", outcome="no_lease" if self.router.lease.sequence() is None else error.cause)
            headers_out += identity.challenge_headers(error.status)
            return http_server.error_response(
                start, error.status, error.reason, retry_after_s=error.retry_after_s, headers=headers_out
            )
        if isinstance(error, verdict.CallerDisconnected):
            add_entry("request", outcome="left")
            return http_server.error_response(
                start, 502, "the user agent hung up", verdict="may_have_run", headers=headers_out
            )
        if isinstance(error, verdict.RequestFailure):
            add_entry("request", outcome="failed")
            timed_out = any(f.reason == "cutoff passed" or "Timeout" in f.reason for f in error.exceptions)
            return http_server.error_response(
                start,
                504 if timed_out else 502,
                "; ".join(str(f) for f in error.exceptions),
                verdict="may_have_run",
                headers=headers_out,
            )
        if not isinstance(error, Exception):
            raise error
        log_buffer.failure("request_crashed", error)
        add_entry("request", outcome="crashed")
        return http_server.error_response(start, 500, "internal fault", verdict="may_have_run", headers=headers_out)


def valid_request_id(headers: dict[str, str]) -> str:
    """Return the id that a request came with, or an empty one if it is none."""
    request_id = headers.get("x-request-id", "")
    return request_id if request_parsing.REQUEST_ID.match(request_id) else ""


def make_chunk(request, text, finish_reason, created):
    """Return one chunk of a streamed response as an object of the completions API."""
    if request.path == "/v1/chat/completions":
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
        kind = "chat.completion.chunk"
    else:
        choice, kind = {"index": 0, "text": text, "finish_reason": finish_reason}, "text_completion"
    return {
        "id": f"cmpl-{request.id}",
        "object": kind,
        "created": created,
        "model": request.body["model"],
        "choices": [choice],
    }


def make_response(request, tokens):
    """Return the complete response as an object of the completions API."""
    text, finish_reason = "".join(t for t, f in tokens), tokens[-1][1]
    response = make_chunk(request, text, finish_reason, int(time.time()))
    if request.path == "/v1/chat/completions":
        response["object"] = "chat.completion"
        response["choices"] = [
            {"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish_reason}
        ]
    response["usage"] = {"completion_tokens": len(tokens)}
    return response


class EventStream:
    """The body of a streamed response. An exception closes the connection without the end of the stream."""

    def __init__(self, router, request, first, execution):
        self.router, self.request, self.execution = router, request, execution
        self.encoded_events = self.encode_events(first)
        self.open = True
        self.outcome = "left"

    def __iter__(self):
        return self

    def __next__(self):
        return next(self.encoded_events)

    def encode_events(self, first):
        """Yield the encoded events of the stream, the end marker last; sets the outcome."""
        created = int(time.time())
        try:
            yield self.encode_event(first, created)
            for token in self.execution:
                yield self.encode_event(token, created)
            yield b"data: [DONE]\n\n"
        except verdict.StreamInterrupted:
            self.outcome = "broken"
            raise
        self.outcome = "done"

    def encode_event(self, token, created):
        """Return one server-sent event."""
        return b"data: " + json.dumps(make_chunk(self.request, *token, created)).encode() + b"\n\n"

    def close(self):
        """End the execution, called by the server when the response is sent or broken off; record its outcome."""
        if self.open:
            self.open = False
            self.execution.close()
            self.router.end_request()
            if self.outcome == "left" and self.router.cutting:
                self.outcome = "cut"
            self.router.journal.add("request", outcome=self.outcome, request=self.request.id)
