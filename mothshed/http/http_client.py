"""HTTP client for replicas and the platform, based on urllib3.

A send uses a new connection and is never retried by the library. The connection is
opened first; then `ready` is called, so that no wait follows the last check before a
send; then the request is written. A failure before the write proves that nothing was
sent; any later failure proves nothing. Polls (conditions, lists) use pooled connections.
"""

import http.client
import json

import urllib3

import mothshed.constants as constants
import mothshed.http.connection as connection
import mothshed.runtime.cancellation as cancellation_module

NOT_READY = "not ready to send any more"


class ExchangeError(Exception):
    """An exchange without a complete response; `sent` is False only if provably nothing was sent."""

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent


NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
    urllib3.exceptions.NameResolutionError,
)
TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


def encode_json(body, headers):
    """Encode a body as JSON; return it with the request headers."""
    data = None if body is None else json.dumps(body).encode()
    return data, {"content-type": "application/json", **headers}


class Response:
    def __init__(self, raw, conn=None, cancellation=None):
        self.raw, self.conn = raw, conn
        self.cancellation = cancellation or cancellation_module.Cancellation()
        self.status, self.headers = raw.status, raw.headers

    def body(self):
        try:
            return json.loads(self.raw.read())
        except TRANSPORT_ERRORS as error:
            raise ExchangeError(f"body: {error}", True) from error
        finally:
            self.close()

    def lines(self):
        """Yield whole lines as they arrive; raise ExchangeError if the stream is truncated."""
        remainder = b""
        try:
            while piece := self.raw.read1(constants.SOCKET_READ_BYTES):
                remainder += piece
                *lines, remainder = remainder.split(b"\n")
                yield from lines
            if remainder:
                raise ExchangeError("stream ends within a line", True)
        except TRANSPORT_ERRORS as error:
            raise ExchangeError(f"stream: {type(error).__name__}: {error}", True) from error
        finally:
            self.close()

    def close(self):
        self.cancellation.release()
        self.raw.close()
        self.raw.release_conn()
        if self.conn:
            self.conn.close()


class HttpClient:
    def __init__(self):
        self.pools = connection.AddressPools(num_pools=constants.MAX_CONNECTION_POOLS, maxsize=4, retries=False)

    def send(
        self,
        method,
        url,
        body=None,
        headers=None,
        connect=constants.CONNECT_TIMEOUT_S,
        read=constants.STREAM_IDLE_TIMEOUT_S,
        ready=lambda: True,
        cancellation=None,
        on_silence=None,
    ):
        """Send one request on a new connection; the sender must close the response. Raises ExchangeError.

        read: timeout of each read, in seconds. on_silence: called with the socket at each such timeout; it returns the
        timeout with which the read goes on, or raises TimeoutError. Without it a timeout ends the exchange.
        cancellation: can abort the exchange from the write until the response is closed.
        """
        cancellation = cancellation or cancellation_module.Cancellation()
        data, headers = encode_json(body, {"connection": "close", **(headers or {})})
        parsed_url = urllib3.util.parse_url(url)
        conn = connection.Connection(parsed_url.host, parsed_url.port or 80, timeout=connect)
        conn.on_silence = on_silence
        try:
            conn.connect()
            connection.set_socket_options(conn.sock)
        except TRANSPORT_ERRORS as error:
            raise ExchangeError(type(error).__name__, False) from error
        if not ready():
            conn.close()
            raise ExchangeError(NOT_READY, False)
        conn.timeout = max(read, 0.01)
        conn.sock.settimeout(conn.timeout)
        cancellation.hold(conn.sock)
        try:
            conn.request(method, parsed_url.request_uri, body=data, headers=headers, preload_content=False)
            return Response(conn.getresponse(), conn, cancellation)
        except TRANSPORT_ERRORS as error:
            cancellation.release()
            conn.close()
            raise ExchangeError(f"{type(error).__name__}: {error}", True) from error

    def poll(self, method, url, body=None, headers=None, read=constants.PROBE_TIMEOUT_S):
        """Run a small exchange on a pooled connection; return (status, JSON body)."""
        data, headers = encode_json(body, headers or {})
        try:
            raw = self.pools.request(
                method,
                url,
                body=data,
                headers=headers,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=constants.CONNECT_TIMEOUT_S, read=max(read, 0.01)),
            )
        except NOT_SENT_ERRORS as error:
            raise ExchangeError(f"{type(error).__name__}", False) from error
        except TRANSPORT_ERRORS as error:
            raise ExchangeError(f"{type(error).__name__}: {error}", True) from error
        response = Response(raw)
        return response.status, response.body()
