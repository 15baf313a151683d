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
import collections.abc
import http.client
import re
import select
import socket
import threading

import urllib3
import urllib3.connection
import urllib3.exceptions

import mothshed.common.chunked as chunked
import mothshed.common.constants as constants
import mothshed.common.web as web

TIME = re.compile(r"timeout\s*=\s*(\d+)")
LENGTH = re.compile(r"[0-9]{1,15}")


def tune(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.KEPT_SILENT * 1000))
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


class Response(http.client.HTTPResponse):
    """A response that notices bytes beyond its end, which the library would drop with its buffer."""

    surplus = False

    def _close_conn(self) -> None:
        try:
            file = self.fp
            file.raw._sock.settimeout(0)
            self.surplus = bool(file.peek(1))
        except (OSError, ValueError, AttributeError):  # it has ended already
            pass
        super()._close_conn()


class Connection(urllib3.connection.HTTPConnection):
    """A connection whose responses are of the class above."""

    response_class = Response


def check_framing(raw: urllib3.BaseHTTPResponse) -> None:
    """Raises WebFault unless the head says in one clear way where its body ends."""
    lengths = raw.headers.getlist("content-length")
    codings = [coding.lower() for coding in raw.headers.getlist("transfer-encoding")]
    if raw.status < 200:
        raise web.WebFault("head is of no final status", True)
    if codings and (lengths or codings != ["chunked"]):
        raise web.WebFault("head says in two ways where its body ends", True)
    if len(lengths) > 1 or lengths and not LENGTH.fullmatch(lengths[0]):
        raise web.WebFault("head says no clear length", True)
    if not lengths and not codings and raw.status not in (204, 304):
        raise web.WebFault("head is cut off or says no length", True)


class Kept:
    """Idle connections by address, and the exchanges on them."""

    def __init__(self, now):
        self.now = now
        self.idle = {}  # "ip:port" -> [(connection, since when, until when)], the last used last
        self.lock = threading.Lock()
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
        span = int(told.group(1)) - constants.KEPT_MARGIN if told else constants.KEPT_IDLE
        if "close" in headers.get("connection", "").lower() or span <= 0:
            conn.close()
            return
        now = self.now()
        with self.lock:
            rows = self.idle.setdefault(address, [])
            rows.append((conn, now, now + span))
            gone = [rows.pop(0)] if len(rows) > constants.KEPT_MOST else []
            while rows and rows[0][2] < now:
                gone.append(rows.pop(0))
        for row in gone:
            row[0].close()

    def connect(self, address):
        host, port = address.rsplit(":", 1)
        conn = Connection(host, int(port), timeout=constants.KEPT_CONNECT)
        conn.names = collections.deque(maxlen=constants.KEPT_NAMES)
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

    def exchange(self, method, address, target, headers, body, read, ready=lambda: True, wary=False, name=None):
        """One send; returns its Reply once the head has come. Raises WebFault.

        read: s until then. name: of the request, the same for each of its sends.
        """
        conn = self.take(address, wary, name) or self.connect(address)
        if not ready():
            self.give(address, conn, {})
            raise web.WebFault(web.NOT_READY, False)
        conn.names.append(name)
        conn.timeout = max(read, 0.01)
        conn.sock.settimeout(conn.timeout)
        try:
            sock = conn.sock  # a response that ends with its connection takes it off conn
            conn.request(method, target, body=body, headers=headers, preload_content=False, decode_content=False)
            raw = conn.getresponse()
            check_framing(raw)
            return Reply(self, address, conn, sock, raw)
        except web.WebFault:
            conn.close()
            raise
        except web.FAULTS as e:
            conn.close()
            raise web.WebFault(f"{type(e).__name__}: {e}", True) from e


class Reply:
    """A replica's response: status, headers, and a body read as it comes."""

    def __init__(self, kept, address, conn, sock, raw):
        self.kept, self.address, self.conn, self.sock, self.raw = kept, address, conn, sock, raw
        self.status, self.reason, self.headers = raw.status, raw.reason or "", raw.headers
        self.whole = False

    def patience(self, span):
        """Seconds the next reads wait, each.

        Once the body is whole its socket is closed, or serves another exchange: it is left alone.
        """
        if not self.conn or self.sock.fileno() < 0:
            return
        try:
            self.sock.settimeout(max(span, 0.01))
        except OSError as e:  # it has ended already
            raise web.WebFault(f"body: {e}", True) from e

    def pieces(self):
        """Bytes as they come; ends only when the body is whole, else raises WebFault."""
        try:
            if self.raw.chunked:
                yield from self.chunks()
            else:
                while True:
                    piece = self.raw.read1(constants.EOF_BYTES, decode_content=False)
                    if not piece:
                        break
                    yield piece
                if self.raw.length_remaining not in (0, None):
                    raise web.WebFault("body is cut off", True)
        except web.WebFault:
            raise
        except (*web.FAULTS, AttributeError) as e:
            raise web.WebFault(f"body: {type(e).__name__}: {e}", True) from e
        self.finish()

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """The pieces of a chunked body; the library's own reader takes what is no chunk for one."""
        body = chunked.ChunkedBody(self.raw._fp.fp)
        while piece := body.read1(constants.EOF_BYTES):
            yield piece
        self.raw._fp.close()

    def all(self, most=constants.BODY_MOST):
        """The whole body at once; longer than most is a WebFault."""
        rows, size = [], 0
        for piece in self.pieces():
            rows.append(piece)
            size += len(piece)
            if size > most:
                self.close()
                raise web.WebFault("body is too long", True)
        return b"".join(rows)

    def finish(self):
        if self.conn:
            self.whole, conn, self.conn = True, self.conn, None
            surplus = self.raw._original_response.surplus
            self.kept.give(self.address, conn, {"connection": "close"} if surplus else self.headers)

    def close(self):
        """Ends the exchange where it stands; a replica at work sees it broken off."""
        if self.conn:
            conn, self.conn = self.conn, None
            conn.close()
            self.raw.close()
