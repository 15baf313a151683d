"""HTTP fronts on cheroot: a WSGI server and the answers every front gives.

Answers are whole JSON with their length, or streams of events. A stream that
fails raises inside the server, which then closes the connection without the last
chunk: the user agent sees it broken.
"""

import json
import select
import socket
import threading
import time

import cheroot.wsgi

import mothshed.common.caller as caller
import mothshed.common.chunked as chunked
import mothshed.common.constants as constants
import mothshed.common.headers as headers
import mothshed.common.idle as idle
import mothshed.common.ring as ring
import mothshed.common.world as world

STATUS = {
    200: "OK",
    202: "Accepted",
    307: "Temporary Redirect",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    408: "Request Timeout",
    412: "Precondition Failed",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def line(status):
    return f"{status} {STATUS[status]}"


def respond(start, status, body, headers=()):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    kind = "text/plain" if isinstance(body, bytes) else "application/json"
    start(line(status), [("Content-Type", kind), ("Content-Length", str(len(data))), *headers])
    return [data]


def fault(start, status, reason, verdict="not_run", retry=0, headers=(), **more):
    headers = list(headers) + ([("Retry-After", str(retry))] if retry else [])
    error = {"message": reason, "verdict": verdict, **more}
    return respond(start, status, {"error": error}, headers)


def headers_of(environ):
    return {k[5:].replace("_", "-").lower(): v for k, v in environ.items() if k.startswith("HTTP_")}


class BadBody(Exception):
    """A request body that is not taken; the connection ends with the answer."""

    status, reason = 400, "the body is shorter than its length says"


class BadFraming(BadBody):
    """A chunked body that does not follow its framing."""

    reason = "the body's chunks are malformed"


class TooLarge(BadBody):
    """A request body over the limit."""

    status, reason = 413, "the body is too long"


def body_of(environ, most=constants.BODY_MOST):
    """The whole body, at most so many bytes; raises BadBody."""
    size = environ.get("CONTENT_LENGTH")
    if size:
        if int(size) > most:
            raise TooLarge()
        data = environ["wsgi.input"].read(int(size))
        if len(data) < int(size):
            raise BadBody()
        return data
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    try:
        data = environ["wsgi.input"].read(most + 1)
    except chunked.BadChunk as e:
        raise BadFraming() from e
    if len(data) > most:
        raise TooLarge()
    return data


class Gateway(cheroot.wsgi.Gateway_10):
    def get_environ(self):
        raw = {k.decode("latin-1"): v.decode("latin-1") for k, v in self.req.inheaders.items()}
        return {**super().get_environ(), "mothshed.caller": caller.Caller(self.req.conn), "mothshed.headers": raw}


class Server(cheroot.wsgi.Server):
    """A cheroot server that keeps its troubles in the ring and lets nobody hold its threads.

    A connection gets a thread once it says something, not before. From then on it is
    watched: a request that does not come whole within READ_TIME, sooner while no thread
    is free, or an answer not taken by its cutoff, shuts the connection. Threads are
    started as they are needed: `threads` is how many there may be.
    """

    def __init__(self, address, app, threads):
        host, port = address.rsplit(":", 1)
        super().__init__(
            (host, int(port)),
            app,
            numthreads=min(threads, constants.FRONT_STEP),
            max=threads,
            request_queue_size=256,
            timeout=20,
            shutdown_timeout=1,
        )
        self.idle_limit = idle.IdleLimit(constants.IDLE_LIMIT)
        self.gateway, self.ConnectionClass = Gateway, headers.Connection
        self.max_request_header_size = constants.HEAD_MOST
        self.keep_alive_conn_limit = constants.KEPT_CALLERS
        self.watched = set()
        threading.Thread(target=self.watch, name="lines", daemon=True).start()

    def prepare(self):
        super().prepare()
        self._connections._selector.close()
        self._connections = idle.IdleConnections(self)

    def limit_idle(self, seconds):
        """How long an idle connection may rest from now on; a longer limit before it runs out first."""
        self.idle_limit.change(seconds, world.now())

    def exchanging(self):
        """Whether a request is arriving, being served, or its answer not wholly written."""
        return any(conn.socket.fileno() >= 0 for conn in list(self.watched))

    def process_conn(self, conn):
        if not hasattr(conn, "arrived"):  # just accepted
            conn.arrived = conn.due = conn.left_at = conn.caller = None
            self.put_conn(conn)
            return
        conn.arrived = world.now()
        conn.due, conn.reading = conn.arrived + constants.READ_TIME, True
        self.watched.add(conn)
        super().process_conn(conn)

    def put_conn(self, conn):
        conn.due = None
        self.watched.discard(conn)
        super().put_conn(conn)

    def watch(self):
        while True:
            time.sleep(constants.LINE_BEAT)
            if self.ready and self.requests.idle < constants.FRONT_SPARE:
                self.requests.grow(constants.FRONT_STEP)
            now, crowded = world.now(), not self.requests.idle
            self.look_for_those_who_left(now)
            for conn in list(self.watched):
                due = conn.arrived + constants.READ_CROWDED if crowded and conn.reading else conn.due
                if conn.socket.fileno() < 0:
                    self.watched.discard(conn)
                elif due is not None and now > due:
                    self.watched.discard(conn)
                    try:
                        conn.socket.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass

    def look_for_those_who_left(self, now: float) -> None:
        """Cancel what is under way for callers that have hung up; one look at all connections."""
        look, by_descriptor = select.poll(), {}
        for conn in list(self.watched):
            descriptor = conn.socket.fileno()
            if descriptor >= 0 and conn.left_at is None:
                look.register(descriptor, caller.ENDED)
                by_descriptor[descriptor] = conn
        for descriptor, _events in look.poll(0) if by_descriptor else ():
            conn = by_descriptor[descriptor]
            conn.left_at = now
            if conn.caller:
                conn.caller.cancellation.cancel()

    def error_log(self, msg="", level=20, traceback=False):
        ring.note("http_server", message=msg)
