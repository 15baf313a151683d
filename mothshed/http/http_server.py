"""HTTP fronts on cheroot: a WSGI server and the answers every front gives.

Answers are whole JSON with their length, or streams of events. A stream that
fails raises inside the server, which then closes the connection without the last
chunk: the user agent sees it broken.
"""

import collections.abc
import json
import select
import threading
import time
import typing

import cheroot.wsgi

import mothshed.constants as constants
import mothshed.http.caller as caller
import mothshed.http.chunked as chunked
import mothshed.http.headers as headers
import mothshed.http.idle as idle
import mothshed.runtime.cancellation as cancellation
import mothshed.runtime.clock as clock
import mothshed.runtime.log_buffer as log_buffer

STATUS = {
    200: "OK",
    202: "Accepted",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    408: "Request Timeout",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


Environ = dict[str, typing.Any]  # WSGI's
StartResponse = collections.abc.Callable[..., typing.Any]  # WSGI's
HeaderRows = collections.abc.Iterable[tuple[str, str]]


def status_line(status: int) -> str:
    """The status as WSGI wants it: number and reason."""
    return f"{status} {STATUS[status]}"


def respond(start: StartResponse, status: int, body: typing.Any, headers: HeaderRows = ()) -> list[bytes]:
    """A whole response: bytes as text, anything else as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    content_type = "text/plain" if isinstance(body, bytes) else "application/json"
    start(status_line(status), [("Content-Type", content_type), ("Content-Length", str(len(data))), *headers])
    return [data]


def error_response(
    start: StartResponse,
    status: int,
    reason: str,
    verdict: str = "not_run",
    retry_after_s: float = 0,
    headers: HeaderRows = (),
    **fields: typing.Any,
) -> list[bytes]:
    """A failure as JSON. retry_after_s: seconds after which to come back, told in Retry-After if it is not 0."""
    headers = list(headers) + ([("Retry-After", str(retry_after_s))] if retry_after_s else [])
    error = {"message": reason, "verdict": verdict, **fields}
    return respond(start, status, {"error": error}, headers)


def request_headers(environ: Environ) -> dict[str, str]:
    """The request's headers by lower-case name."""
    return {k[5:].replace("_", "-").lower(): v for k, v in environ.items() if k.startswith("HTTP_")}


class BodyError(Exception):
    """A request body that is not taken; the connection ends with the answer."""

    status, reason = 400, "the body is shorter than its length says"


class FramingError(BodyError):
    """A chunked body that does not follow its framing."""

    reason = "the body's chunks are malformed"


class BodyTooLargeError(BodyError):
    """A request body over the limit."""

    status, reason = 413, "the body is too long"


def read_body(environ: Environ, limit: int = constants.MAX_BODY_BYTES) -> bytes:
    """The whole body, at most so many bytes; raises BodyError."""
    size = environ.get("CONTENT_LENGTH")
    if size:
        if int(size) > limit:
            raise BodyTooLargeError()
        data = environ["wsgi.input"].read(int(size))
        if len(data) < int(size):
            raise BodyError()
        return data
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    try:
        data = environ["wsgi.input"].read(limit + 1)
    except chunked.ChunkError as error:
        raise FramingError() from error
    if len(data) > limit:
        raise BodyTooLargeError()
    return data


class Gateway(cheroot.wsgi.Gateway_10):
    """The library's gateway, which also hands an application its caller and the headers as they came."""

    def get_environ(self) -> Environ:
        """WSGI's environment with `mothshed.caller` (Caller) and `mothshed.headers` (name -> text)."""
        raw = {k.decode("latin-1"): v.decode("latin-1") for k, v in self.req.inheaders.items()}
        return {**super().get_environ(), "mothshed.caller": caller.Caller(self.req.conn), "mothshed.headers": raw}


class Server(cheroot.wsgi.Server):
    """A cheroot server that keeps its troubles in the log buffer and lets nobody hold its threads.

    A connection gets a thread once it says something, not before. From then on it is
    watched: a request that does not come whole within REQUEST_READ_TIMEOUT_S, sooner while no thread
    is free, or an answer not taken by its cutoff, shuts the connection. Threads are
    started as they are needed, and end when they rest: `threads` is how many there may be.
    """

    def __init__(self, address: str, app: typing.Any, threads: int) -> None:
        host, port = address.rsplit(":", 1)
        super().__init__(
            (host, int(port)),
            app,
            numthreads=min(threads, constants.SERVER_STEP_THREADS),
            max=threads,
            request_queue_size=256,
            timeout=20,
            shutdown_timeout=1,
        )
        self.idle_limit = idle.IdleLimit(constants.DEFAULT_IDLE_TIMEOUT_S)
        self.gateway, self.ConnectionClass = Gateway, headers.Connection
        self.max_request_header_size = constants.MAX_HEADER_BYTES
        self.keep_alive_conn_limit = constants.MAX_IDLE_CLIENT_CONNECTIONS
        self.active_connections = set()
        self.many_idle_since = clock.now()
        threading.Thread(target=self.monitor_connections, name="lines", daemon=True).start()

    def prepare(self) -> None:
        """Listen; idle connections are kept by our own limits from then on."""
        super().prepare()
        self._connections._selector.close()
        self._connections = idle.IdleConnections(self)

    def set_idle_limit(self, seconds: float) -> None:
        """How long an idle connection may rest from now on; a longer limit before it runs out first."""
        self.idle_limit.change(seconds, clock.now())

    def has_active_exchange(self) -> bool:
        """Whether a request is arriving, being served, or its answer not wholly written."""
        return any(conn.socket.fileno() >= 0 for conn in list(self.active_connections))

    def process_conn(self, conn: typing.Any) -> None:
        """Give a connection that says something to a thread; one just accepted waits until it does."""
        if not hasattr(conn, "arrived"):  # just accepted
            conn.arrived = conn.deadline = conn.disconnected_at = conn.caller = None
            self.put_conn(conn)
            return
        conn.arrived = clock.now()
        conn.deadline, conn.reading = conn.arrived + constants.REQUEST_READ_TIMEOUT_S, True
        self.active_connections.add(conn)
        super().process_conn(conn)

    def put_conn(self, conn: typing.Any) -> None:
        """Take a connection back whose exchange is over: it rests until its caller says something more."""
        conn.deadline = None
        self.active_connections.discard(conn)
        super().put_conn(conn)

    def monitor_connections(self) -> None:
        """Look over the connections in use while the process lives; what fails once is noted and tried again."""
        while True:
            time.sleep(constants.CONNECTION_CHECK_INTERVAL_S)
            try:
                self.adjust_thread_count(clock.now())
                self.cancel_disconnected(clock.now())
                self.close_overdue_connections(clock.now())
            except Exception as error:
                log_buffer.failure("watch_failed", error)

    def adjust_thread_count(self, now: float) -> None:
        """Start some threads while few are idle, and end some once many were idle for long.

        The library keeps to the fewest and the most there may be.
        """
        if not self.ready:
            return
        idle = self.requests.idle
        if idle <= constants.MIN_IDLE_SERVER_THREADS + constants.SERVER_STEP_THREADS:
            self.many_idle_since = now
        if idle < constants.MIN_IDLE_SERVER_THREADS:
            self.requests.grow(constants.SERVER_STEP_THREADS)
        elif now - self.many_idle_since > constants.SERVER_THREAD_IDLE_S:
            self.requests.shrink(constants.SERVER_STEP_THREADS)
            self.many_idle_since = now

    def close_overdue_connections(self, now: float) -> None:
        """Shut connections whose request does not come, or whose answer is not taken, in time."""
        no_idle_thread = not self.requests.idle
        for conn in list(self.active_connections):
            deadline = (
                conn.arrived + constants.CROWDED_REQUEST_READ_TIMEOUT_S
                if no_idle_thread and conn.reading
                else conn.deadline
            )
            if conn.socket.fileno() < 0:
                self.active_connections.discard(conn)
            elif deadline is not None and now > deadline:
                self.active_connections.discard(conn)
                cancellation.shut_down(conn.socket)

    def cancel_disconnected(self, now: float) -> None:
        """Cancel what is under way for callers that have hung up; one look at all connections."""
        poller, by_descriptor = select.poll(), {}
        for conn in list(self.active_connections):
            descriptor = conn.socket.fileno()
            if descriptor >= 0 and conn.disconnected_at is None:
                poller.register(descriptor, caller.CLOSED_EVENTS)
                by_descriptor[descriptor] = conn
        for descriptor, _events in poller.poll(0) if by_descriptor else ():
            conn = by_descriptor[descriptor]
            conn.disconnected_at = now
            if conn.caller:
                conn.caller.cancellation.cancel()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Keep what the library says of its troubles in the log buffer."""
        log_buffer.note("http_server", message=msg)
