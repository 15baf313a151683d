"""A pool of persistent connections to replicas, for requests with streamed responses.

A connection carries one exchange at a time and is reused if the response was complete
and neither side sent `Connection: close`. A connection with unread input after a response
or while idle (an end of stream, or bytes that belong to no request) is closed instead. A
failure before the write proves that nothing was sent; any later failure proves nothing, on
a reused connection as on a new one. Nothing is retried here, and two sends with the same
name never share a connection: a duplicate response to the first could not be told from the
response to the second.
"""

import collections
import re
import select
import threading

import mothshed.constants as constants
import mothshed.http.connection as connection
import mothshed.http.http_client as http_client
import mothshed.http.reply as reply_module
import mothshed.runtime.cancellation as cancellation_module

KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]{1,9})(?![0-9])")


def is_idle(conn):
    """Return whether an idle connection is open and has no input."""
    if conn.sock is None:
        return False
    poller = select.poll()
    poller.register(conn.sock, select.POLLIN)
    return not poller.poll(0)


Entry = tuple[connection.Connection, float, float]  # (connection, idle since, usable until)


class ConnectionPool:
    """Idle connections by address, and the exchanges on pooled connections."""

    def __init__(self, now):
        self.now = now
        self.idle = {}  # "ip:port" -> [Entry], the most recently used last
        self.lock = threading.Lock()
        self.swept_at = now()
        self.opened_count = self.reused_count = 0

    def acquire(self, address, recent_only, name=None):
        """Take an idle connection that is still open, or None. name: not one that has carried it."""
        while True:
            with self.lock:
                entries = self.idle.get(address, [])
                entry = next(
                    (candidate for candidate in reversed(entries) if name is None or name not in candidate[0].names),
                    None,
                )
                if entry is None:
                    return None
                entries.remove(entry)
            conn, idle_since, expires_at = entry
            now = self.now()
            if now < (idle_since + (expires_at - idle_since) / 2 if recent_only else expires_at) and is_idle(conn):
                self.reused_count += 1
                return conn
            conn.close()

    def give_back(self, address, conn, headers):
        conn.on_silence = None
        keep_alive = KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", "").lower())
        keep_s = (
            int(keep_alive.group(1)) - constants.KEEP_ALIVE_MARGIN_S if keep_alive else constants.DEFAULT_KEEP_ALIVE_S
        )
        if "close" in headers.get("connection", "").lower() or keep_s <= 0:
            conn.close()
            return
        now = self.now()
        with self.lock:
            entries = self.idle.setdefault(address, [])
            entries.append((conn, now, now + keep_s))
            closing = [entries.pop(0)] if len(entries) > constants.MAX_IDLE_REPLICA_CONNECTIONS else []
            if now - self.swept_at > constants.IDLE_SWEEP_INTERVAL_S:
                self.swept_at = now
                closing += self.remove_expired(now)
        for entry in closing:
            entry[0].close()

    def remove_expired(self, now: float) -> list[Entry]:
        """Remove and return the expired connections of all addresses; the caller holds the lock."""
        closing = [entry for entries in self.idle.values() for entry in entries if entry[2] < now]
        remaining = {address: [entry for entry in entries if entry[2] >= now] for address, entries in self.idle.items()}
        self.idle = {address: entries for address, entries in remaining.items() if entries}
        return closing

    def connect(self, address):
        host, port = address.rsplit(":", 1)
        conn = connection.Connection(host, int(port), timeout=constants.DELIVERY_CONNECT_TIMEOUT_S)
        conn.names = collections.deque(maxlen=constants.MAX_CONNECTION_REQUESTS)
        try:
            conn.connect()
            connection.set_socket_options(conn.sock)
        except http_client.TRANSPORT_ERRORS as error:
            conn.close()
            raise http_client.ExchangeError(type(error).__name__, False) from error
        self.opened_count += 1
        return conn

    def check_connects(self, address):
        """Open a connection and keep it in the pool; raise ExchangeError if the replica does not accept it."""
        self.give_back(address, self.connect(address), {})

    def exchange(
        self,
        method,
        address,
        target,
        headers,
        body,
        read_timeout_s,
        ready=lambda: True,
        recent_only=False,
        name=None,
        cancellation=None,
        on_silence=None,
        write_timeout_s=None,
    ):
        """Send a request and return its Reply once the headers have arrived. Raises ExchangeError.

        read_timeout_s, write_timeout_s: timeouts of each read and write. on_silence: called with the socket at each
        timeout of a read, which goes on once it returns, and ends with what it raises; without it a timeout ends the
        exchange. recent_only: reuse a connection only within the first half of its keep-alive time. name: of the
        request, the same for each of its sends. cancellation: can abort the exchange from the write until the Reply
        is complete or closed.
        """
        cancellation = cancellation or cancellation_module.Cancellation()
        conn = self.acquire(address, recent_only, name) or self.connect(address)
        if not ready():
            self.give_back(address, conn, {})
            raise http_client.ExchangeError(http_client.NOT_READY, False)
        conn.names.append(name)
        conn.on_silence = on_silence
        conn.timeout = max(write_timeout_s or read_timeout_s, 0.01)
        conn.sock.settimeout(conn.timeout)
        try:
            sock = conn.sock  # kept here: a response that ends with its connection removes it from conn
            cancellation.hold(sock)
            conn.request(method, target, body=body, headers=headers, preload_content=False, decode_content=False)
            conn.timeout = max(read_timeout_s, 0.01)  # for the library, which sets it for the reads
            raw = conn.getresponse()
            return reply_module.Reply(self, address, conn, sock, raw, cancellation)
        except BaseException as error:
            cancellation.release()
            conn.close()
            if isinstance(error, http_client.TRANSPORT_ERRORS):
                raise http_client.ExchangeError(f"{type(error).__name__}: {error}", True) from error
            raise
