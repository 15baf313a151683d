"""Kept connections towards replicas, for requests delivered as they come.

A connection carries one exchange at a time and is kept for the next when its
response came whole and neither side said close. One that has something to read
after a response or while idle (an end, or bytes that belong to no request) is closed,
not used. A fault before the writing proves that nothing was sent; on a reused
connection as on a fresh one, any later fault proves nothing. Nothing is ever sent
twice here, and two sends under one name never share a connection: a doubled answer to
the first could not be told from the answer to the second.
"""

import collections
import re
import select
import socket
import threading

import urllib3
import urllib3.connection
import urllib3.exceptions

import mothshed.constants as constants
import mothshed.http.reply as reply_module
import mothshed.http.web as web
import mothshed.runtime.cancellation as cancellation_module

TIME = re.compile(r"timeout\s*=\s*(\d+)")


def tune(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.DELIVERY_ACK_TIMEOUT_S * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)


def quiet(conn):
    """Whether an idle connection has neither ended nor said anything."""
    if conn.sock is None:
        return False
    look = select.poll()
    look.register(conn.sock, select.POLLIN)
    return not look.poll(0)


class Connection(urllib3.connection.HTTPConnection):
    """A connection whose responses are of the class above."""

    response_class = reply_module.Response


Row = tuple[Connection, float, float]  # (connection, since when it rests, until when it may be used)


class Kept:
    """Idle connections by address, and the exchanges on them."""

    def __init__(self, now):
        self.now = now
        self.idle = {}  # "ip:port" -> [(connection, since when, until when)], the last used last
        self.lock = threading.Lock()
        self.swept_at = now()
        self.made = self.reused = 0

    def take(self, address, wary, name=None):
        """An idle connection that still stands, or None. wary: only one used lately; name: none that carried it."""
        while True:
            with self.lock:
                rows = self.idle.get(address, [])
                row = next((r for r in reversed(rows) if name is None or name not in r[0].names), None)
                if row is None:
                    return None
                rows.remove(row)
            conn, since, until = row
            now = self.now()
            if now < (since + (until - since) / 2 if wary else until) and quiet(conn):
                self.reused += 1
                return conn
            conn.close()

    def give(self, address, conn, headers):
        told = TIME.search(headers.get("keep-alive", "").lower())
        span = int(told.group(1)) - constants.KEEP_ALIVE_MARGIN_S if told else constants.DEFAULT_KEEP_ALIVE_S
        if "close" in headers.get("connection", "").lower() or span <= 0:
            conn.close()
            return
        now = self.now()
        with self.lock:
            rows = self.idle.setdefault(address, [])
            rows.append((conn, now, now + span))
            gone = [rows.pop(0)] if len(rows) > constants.MAX_IDLE_REPLICA_CONNECTIONS else []
            if now - self.swept_at > constants.IDLE_SWEEP_INTERVAL_S:
                self.swept_at = now
                gone += self.expired(now)
        for row in gone:
            row[0].close()

    def expired(self, now: float) -> list[Row]:
        """Take out what rested past its time, to any address; under the lock."""
        gone = [row for rows in self.idle.values() for row in rows if row[2] < now]
        left = {address: [row for row in rows if row[2] >= now] for address, rows in self.idle.items()}
        self.idle = {address: rows for address, rows in left.items() if rows}
        return gone

    def connect(self, address):
        host, port = address.rsplit(":", 1)
        conn = Connection(host, int(port), timeout=constants.DELIVERY_CONNECT_TIMEOUT_S)
        conn.names = collections.deque(maxlen=constants.MAX_CONNECTION_REQUESTS)
        try:
            conn.connect()
            tune(conn.sock)
        except web.FAULTS as e:
            conn.close()
            raise web.WebFault(type(e).__name__, False) from e
        self.made += 1
        return conn

    def look(self, address):
        """Raises WebFault if the replica takes no connection; one that it takes is kept."""
        self.give(address, self.connect(address), {})

    def exchange(
        self,
        method,
        address,
        target,
        headers,
        body,
        read,
        ready=lambda: True,
        wary=False,
        name=None,
        cancellation=None,
    ):
        """One send; returns its Reply once the head has come. Raises WebFault.

        read: s until then. name: of the request, the same for each of its sends. cancellation:
        what ends the exchange early, from the write until its Reply is whole or closed.
        """
        cancellation = cancellation or cancellation_module.Cancellation()
        conn = self.take(address, wary, name) or self.connect(address)
        if not ready():
            self.give(address, conn, {})
            raise web.WebFault(web.NOT_READY, False)
        conn.names.append(name)
        conn.timeout = max(read, 0.01)
        conn.sock.settimeout(conn.timeout)
        try:
            sock = conn.sock  # a response that ends with its connection takes it off conn
            cancellation.hold(sock)
            conn.request(method, target, body=body, headers=headers, preload_content=False, decode_content=False)
            raw = conn.getresponse()
            reply_module.check_framing(raw)
            return reply_module.Reply(self, address, conn, sock, raw, cancellation)
        except web.WebFault:
            cancellation.release()
            conn.close()
            raise
        except web.FAULTS as e:
            cancellation.release()
            conn.close()
            raise web.WebFault(f"{type(e).__name__}: {e}", True) from e
