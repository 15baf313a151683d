"""The router's HTTP front: completions, condition, metrics.

Every answer that is not a success says in JSON whether the request may have run.
A stream's status goes out only with its first token, so that failures before it
still get a status of their own.
"""

import functools
import json
import time

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.request_execution as request_execution
import mothshed.data_plane.request_parsing as request_parsing
import mothshed.http.caller as caller_module
import mothshed.http.front as front
import mothshed.replicas.verdict as verdict
import mothshed.runtime.log_buffer as log_buffer


class RouterFront:
    def __init__(self, router):
        self.router = router

    def __call__(self, environ, start):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path in request_parsing.PATHS:
            if method != "POST":
                return front.fault(start, 405, "use POST", headers=[("Allow", "POST")])
            return self.complete(path, environ, start)
        pages = {"/condition": self.condition, "/metrics": self.metrics}
        if path in pages:
            if method != "GET":
                return front.fault(start, 405, "use GET", headers=[("Allow", "GET")])
            return pages[path](start)
        return front.fault(start, 404, f"no such path {path}")

    def condition(self, start):
        said = self.router.condition()
        return front.respond(start, 200 if said["serving"] else 503, said)

    def metrics(self, start):
        return front.respond(start, 200, self.router.totals.text(self.router.environment.figures()).encode())

    def complete(self, path, environ, start):
        router = self.router
        headers = front.headers_of(environ)
        headers.setdefault("x-request-id", f"made-{router.environment.random.getrandbits(64):016x}")
        if not router.enter():
            return front.fault(
                start, 503, "this router is stopping", retry=constants.RETRY_AFTER_S, headers=[("Connection", "close")]
            )
        try:
            request = self.read(path, environ, headers, environ.get("mothshed.caller"))
            run = request_execution.RequestExecution(router, request).run()
            first = next(run)
        except BaseException as e:
            router.leave()
            return self.failed(start, e, headers)
        if request.stream:
            start(front.line(200), [("Content-Type", "text/event-stream"), ("X-Request-Id", request.id)])
            return Events(router, request, first, run)
        try:
            rows = [first, *run]
        except BaseException as e:
            return self.failed(start, e, headers)
        finally:
            router.leave()
        router.journal.add("request", outcome="done", request=request.id)
        return front.respond(start, 200, whole(request, rows), [("X-Request-Id", request.id)])

    def read(self, path, environ, headers, caller):
        """The request; its waits and cutoff count from when it arrived, not from when a thread was free."""
        router = self.router
        born, data = caller.arrived if caller else router.environment.now(), front.body_of(environ)
        document = router.lease.document()
        if document is None:
            raise verdict.Rejection(503, "no configuration yet", constants.RETRY_AFTER_S, "no_configuration")
        found = None
        if document.get("require_key"):
            sequence, document = router.wait_for_lease(caller or caller_module.Caller())
            if sequence is None:
                raise verdict.Rejection(503, "no lease", constants.RETRY_AFTER_S, "no_lease")
            found = identity.of_caller(document, router.tables.of(sequence, document).keys, headers)
        request = request_parsing.parse(born, path, headers, data, document, found)
        if caller:
            caller.shut_after(request.cutoff + constants.RESPONSE_GRACE_S)
            request.caller = caller
        return request

    def failed(self, start, e, headers):
        name = headers.get("x-request-id", "")
        name = name if request_parsing.REQUEST_ID.match(name) else ""
        extra = [("X-Request-Id", name)] if name else []
        add = functools.partial(self.router.journal.add, request=name)
        if isinstance(e, front.BadBody):
            add("request", outcome="invalid")
            return front.fault(start, e.status, e.reason, headers=extra + [("Connection", "close")])
        if isinstance(e, verdict.Rejection):
            add("request", outcome=identity.REFUSED.get(e.status, "invalid"))
            if e.status == 503:
                add("bounce", outcome="no_lease" if self.router.lease.sequence() is None else e.cause)
            extra += identity.challenge(e.status)
            return front.fault(start, e.status, e.reason, retry=e.retry, headers=extra)
        if isinstance(e, verdict.CallerLeft):
            add("request", outcome="left")
            return front.fault(start, 502, "the user agent hung up", verdict="may_have_run", headers=extra)
        if isinstance(e, verdict.RequestFailure):
            add("request", outcome="failed")
            late = any(f.reason == "cutoff passed" or "Timeout" in f.reason for f in e.exceptions)
            return front.fault(
                start,
                504 if late else 502,
                "; ".join(str(f) for f in e.exceptions),
                verdict="may_have_run",
                headers=extra,
            )
        if not isinstance(e, Exception):
            raise e
        log_buffer.failure("request_crashed", e)
        add("request", outcome="crashed")
        return front.fault(start, 500, "internal fault", verdict="may_have_run", headers=extra)


def chunk_of(request, text, finish, made):
    if request.path == "/v1/chat/completions":
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
        kind = "chat.completion.chunk"
    else:
        choice, kind = {"index": 0, "text": text, "finish_reason": finish}, "text_completion"
    return {
        "id": f"cmpl-{request.id}",
        "object": kind,
        "created": made,
        "model": request.body["model"],
        "choices": [choice],
    }


def whole(request, rows):
    text, finish = "".join(t for t, f in rows), rows[-1][1]
    said = chunk_of(request, text, finish, int(time.time()))
    if request.path == "/v1/chat/completions":
        said["object"] = "chat.completion"
        said["choices"] = [{"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish}]
    said["usage"] = {"completion_tokens": len(rows)}
    return said


class Events:
    """The body of a streamed answer. Raising in it breaks the stream visibly."""

    def __init__(self, router, request, first, run):
        self.router, self.request, self.run = router, request, run
        self.rows = self.events(first)
        self.open = True
        self.outcome = "left"

    def __iter__(self):
        return self

    def __next__(self):
        return next(self.rows)

    def events(self, first):
        made = int(time.time())
        try:
            yield self.pack(first, made)
            for row in self.run:
                yield self.pack(row, made)
            yield b"data: [DONE]\n\n"
        except verdict.StreamBroken:
            self.outcome = "broken"
            raise
        self.outcome = "done"

    def pack(self, row, made):
        return b"data: " + json.dumps(chunk_of(self.request, *row, made)).encode() + b"\n\n"

    def close(self):
        if self.open:
            self.open = False
            self.run.close()
            self.router.leave()
            self.router.journal.add("request", outcome=self.outcome, request=self.request.id)
