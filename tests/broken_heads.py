"""Heads of responses that violate the grammar, sound ones at its edge, and a stand-in that sends them byte by byte."""

import enum
import itertools
import socket

import tests.bare_http as bare_http
import tests.framed_replicas as framed
import tests.platform_stand_in as stand_in

Framing = framed.Framing
STATUS_LINE = b"HTTP/1.1 200 Said"
CONTROL_BYTES = bytes([*range(0x20), 0x7F])
TOKEN_BYTES = b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"  # of a name
BLANKS_AND_CONTROLS = CONTROL_BYTES + b" "

NAMES_WITH_BLANK_OR_CONTROL = [
    b"X Evil: 1",
    b"X-Evil : 1",
    b" X-Evil: 1",
    b"\tX-Evil: 1",
    b"X\x01Evil: 1",
    b"X\x00Evil: 1",
    b"X\rEvil: 1",
    b"X\nEvil: 1",
    b"\nX-Evil: 1",
    b"\x0cX-Evil: 1",
    b"X-Evil\x7f: 1",
    b"From X-Evil: 1",  # the library drops a line that begins like a mailbox's
]
OTHER_BROKEN_LINES = [
    b": 1",
    b"X-Evil",
    b"X(Evil: 1",
    b"X\x85Evil: 1",
    b"X-Evil: a\rX-Other: b",
    b"X-Evil: a\nX-Other: b",
    b"X-Evil: a\x00b",
    b"X-Evil: a\x01b",
    b"X-Evil: a\x7fb",
    b"X-Evil: a\r\n folded",
]
BROKEN_STATUS_LINES = [
    b"HTTP/1.1 000 Said",
    b"HTTP/1.1 099 Said",
    b"HTTP/1.1 600 Said",
    b"HTTP/1.1 999 Said",
    b"HTTP/1.1 20 Said",
    b"HTTP/1.1 0200 Said",
    b"HTTP/1.1 2000 Said",
    b"HTTP/1.1 2_0_0 Said",
    b"HTTP/1.1 +200 Said",
    b"HTTP/1.1 -200 Said",
    b"HTTP/1.1 2x0 Said",
    b"HTTP/1.1",
    b"HTTP/1.1 Said",
    b"HTTP/1.1  200 Said",
    b"HTTP/1.1\t200 Said",
    b"HTTP/1.1\xa0200 Said",
    b"HTTP/1.1\x1f200\x1fSaid",
    b" HTTP/1.1 200 Said",
    b"HTTP/1.1 200 Sa\x01id",
    b"HTTP/1.1 200 Sa\rid",
    b"HTTP/1.1 200 Sa\x00id",
    b"HTTP/1.x 200 Said",
    b"HTTP/1.banana 200 Said",
    b"HTTP/0.9 200 Said",
    b"HTTP/2.0 200 Said",
    b"http/1.1 200 Said",
    b"ICY 200 OK",
    b"",
]


class Place(enum.Enum):
    """Where a line stands among the fields of a head."""

    FIRST = "first"
    BEFORE_FRAMING = "before the field that frames the body"
    LAST = "last"


def lines_with(line, place, fields, framing_fields):
    """Return the lines of the fields of a head with one more at a place."""
    lines = [b"%s: %s" % field for field in fields]
    framing_lines = [b"%s: %s" % field for field in framing_fields]
    if place is Place.FIRST:
        return [line, *lines, *framing_lines]
    if place is Place.BEFORE_FRAMING:
        return [*lines, line, *framing_lines]
    return [*lines, *framing_lines, line]


def framing_fields_of(framing, body):
    """Return the fields that frame a body."""
    return {
        Framing.LENGTH: [(b"Content-Length", b"%d" % len(body))],
        Framing.CHUNKS: [(b"Transfer-Encoding", b"chunked")],
        Framing.CONNECTION: [],
    }[framing]


def framed_body(framing, body):
    """Return the bytes of a body as they are sent."""
    return bare_http.chunk(body) + b"0\r\n\r\n" if framing is Framing.CHUNKS else body


def message(status_line, lines, framing, body):
    """Return the bytes of a whole response."""
    return b"\r\n".join([status_line, *lines, b"", b""]) + framed_body(framing, body)


def broken_response(line, place, framing, body, fields=()):
    """Return a whole response of which one field line is broken."""
    return message(STATUS_LINE, lines_with(line, place, fields, framing_fields_of(framing, body)), framing, body)


class RawServer(bare_http.Listener):
    """Answers each request with the bytes of `response`, and closes the connection."""

    def __init__(self):
        self.response, self.requests = b"", []
        super().__init__()

    def answer(self, conn, request):
        self.requests.append(request)
        conn.sendall(self.response)
        conn.shutdown(socket.SHUT_WR)
        return False


def serve_response_once(site, replicas, response_of):
    """Have the replica that is asked first answer with response_of(fields of its request), the others soundly.

    The fields are (name, value) pairs of bytes that a replica of the platform has to send.
    """
    numbers = itertools.count()

    for replica in replicas:

        def run(conn, request, fault, headers, replica=replica):
            stamp = f"stamp.{next(stand_in.COUNT)}"
            fields = [*headers, ("Postmark", stamp), ("Content-Type", "text/event-stream")]
            site.platform.runs.append({"id": request.get("Try-Id"), "replica": replica.name, "stamp": stamp})
            if next(numbers) == 0:
                conn.sendall(response_of([(name.encode(), str(value).encode()) for name, value in fields]))
                return False
            after = int(request.get("Last-Event-Id", "0"))
            return framed.send_run(conn, framed.Run(Framing.LENGTH), [*headers, ("Postmark", stamp)], after)

        replica.run = run
