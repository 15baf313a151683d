"""The HTTP server on cheroot (WSGI) and the responses common to all its applications.

Responses are JSON with a Content-Length, or event streams. A stream that fails raises
within the server, which then closes the connection without the last chunk, or resets one
whose end would be the end of the stream, so that the user agent detects the truncated response.
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
import mothshed.http.gateway as gateway
import mothshed.http.headers as headers
import mothshed.http.idle as idle
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


Environ = gateway.Environ
StartResponse = collections.abc.Callable[..., typing.Any]  # WSGI's
HeaderRows = gateway.HeaderRows


def status_line(status: int) -> str:
    """Return the WSGI status line: status code and reason phrase."""
    return f"{status} {STATUS[status]}"


def respond(start: StartResponse, status: int, body: typing.Any, headers: HeaderRows = ()) -> list[bytes]:
    """Respond with a complete body: bytes as plain text, anything else as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    content_type = "text/plain" if isinstance(body, bytes) else "application/json"
    start(status_line(status), [("Content-Type", content_type), ("Content-Length", str(len(data))), *headers])
    return [data]


def respond_json_text(start: StartResponse, status: int, data: bytes) -> list[bytes]:
    """Respond with a body that is JSON text already."""
    start(status_line(status), [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
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
    """Respond with an error as JSON. retry_after_s: sent as Retry-After unless it is 0."""
    headers = list(headers) + ([("Retry-After", str(retry_after_s))] if retry_after_s else [])
    error = {"message": reason, "verdict": verdict, **fields}
    return respond(start, status, {"error": error}, headers)


def request_headers(environ: Environ) -> dict[str, str]:
    """Return the request headers by lower-case name."""
    return {key[5:].replace("_", "-").lower(): value for key, value in environ.items() if key.startswith("HTTP_")}


class Server(cheroot.wsgi.Server):
    """A cheroot server that logs to the log buffer and protects its threads from slow clients.

    A connection gets a thread only once it has input. From then on it is monitored: it is shut
    down if its request is not complete within REQUEST_READ_TIMEOUT_S (less while no thread is
    idle), or if its response is not read by its cutoff. Threads are started on demand and ended
    when idle; `threads` is their maximum.
    """

    def __init__(
        self,
        address: str,
        app: typing.Any,
        threads: int,
        is_leaving: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """is_leaving: whether clients are told to open their next connection elsewhere."""
        self.is_leaving = is_leaving
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
        self.gateway, self.ConnectionClass = gateway.Gateway, headers.Connection
        self.max_request_header_size = constants.MAX_HEADER_BYTES
        self.keep_alive_conn_limit = constants.MAX_IDLE_CLIENT_CONNECTIONS
        self.active_connections = set()
        self.many_idle_since = clock.now()
        threading.Thread(target=self.monitor_connections, name="lines", daemon=True).start()

    def prepare(self) -> None:
        """Start listening; IdleConnections replaces the library's connection manager."""
        super().prepare()
        self._connections._selector.close()
        self._connections = idle.IdleConnections(self)

    def set_idle_limit(self, seconds: float) -> None:
        """Set the idle timeout of connections; a longer previous one stays valid for its duration."""
        self.idle_limit.change(seconds, clock.now())

    def has_active_exchange(self) -> bool:
        """Return whether a request is being received or served, or its response is not fully written."""
        return any(conn.socket.fileno() >= 0 for conn in list(self.active_connections))

    def process_conn(self, conn: typing.Any) -> None:
        """Pass a connection with input to a thread; a newly accepted one waits for its first input."""
        if not hasattr(conn, "arrived"):  # just accepted
            conn.arrived = conn.deadline = conn.disconnected_at = conn.caller = None
            self.put_conn(conn)
            return
        conn.arrived = clock.now()
        conn.deadline, conn.reading = conn.arrived + constants.REQUEST_READ_TIMEOUT_S, True
        self.active_connections.add(conn)
        super().process_conn(conn)

    def put_conn(self, conn: typing.Any) -> None:
        """Put a connection back after its exchange; it is idle until its next input."""
        conn.deadline = None
        self.active_connections.discard(conn)
        super().put_conn(conn)

    def monitor_connections(self) -> None:
        """Check the active connections until the process ends; a failed check is logged and repeated."""
        while True:
            time.sleep(constants.CONNECTION_CHECK_INTERVAL_S)
            try:
                self.adjust_thread_count(clock.now())
                self.cancel_disconnected(clock.now())
                self.close_overdue_connections(clock.now())
            except Exception as error:
                log_buffer.failure("watch_failed", error)

    def adjust_thread_count(self, now: float) -> None:
        """Start threads while few are idle, and end some after many have been idle for a while.

        The library enforces the minimum and the maximum number of threads.
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
        """Shut down connections whose request is not received, or whose response is not read, in time."""
        busy = not self.requests.idle
        for conn in list(self.active_connections):
            until = conn.arrived + constants.CROWDED_REQUEST_READ_TIMEOUT_S if busy and conn.reading else conn.deadline
            if conn.socket.fileno() < 0:
                self.active_connections.discard(conn)
            elif until is not None and now > until:
                self.active_connections.discard(conn)
                conn.abort()

    def cancel_disconnected(self, now: float) -> None:
        """Cancel the requests of callers that have disconnected, with one poll of all connections."""
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

    def cancel_requests(self) -> None:
        """Cancel the requests that are being served, as if their callers had disconnected."""
        for conn in list(self.active_connections):
            if conn.caller:
                conn.caller.cancellation.cancel()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Keep the library's log messages in the log buffer."""
        log_buffer.note("http_server", message=msg)
