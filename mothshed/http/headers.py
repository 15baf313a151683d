"""Reads a request's head strictly: what two readers could read in two ways is refused.

A length given twice or beside an encoding, an odd length, another encoding than
chunked, folded lines, a space before the colon, and a carriage return or a zero byte
within a line are a ValueError, which the server answers with 400 and an end of the
connection. Other fields that come twice are kept, joined by a comma.
"""

import socket

import cheroot.server

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import mothshed.runtime.clock as clock

SINGLE_FIELDS = {b"Content-Length", b"Transfer-Encoding", b"Host"}
LINE_END = b"\r\n"
FORBIDDEN_IN_LINE = (b"\r", b"\0")  # some readers take them for the end of a line or of the head


class HeaderLines:
    """A head's lines, each looked at before it is parsed."""

    def __init__(self, file):
        self.file = file

    def readline(self):
        line = self.file.readline()
        name = line.partition(b":")[0]
        if line.strip() and (line[:1] in b" \t" or name != name.strip()):
            raise ValueError("Folded line or space before a colon.")
        if any(byte in line.removesuffix(LINE_END) for byte in FORBIDDEN_IN_LINE):
            raise ValueError("A carriage return or a zero byte within a line.")
        return line


class HeaderFields(dict):
    """Fields by name; one that comes twice is joined, or refused where only one may be."""

    def __setitem__(self, name, value):
        earlier = self.get(name)
        if earlier is not None and name in SINGLE_FIELDS:
            raise ValueError("A field came twice that may come once.")
        if earlier is not None and not value.startswith(earlier + b", "):  # else joined already
            value = earlier + b", " + value
        super().__setitem__(name, value)


class StrictHeaderReader(cheroot.server.HeaderReader):
    def __call__(self, rfile, hdict=None):
        fields = super().__call__(HeaderLines(rfile), HeaderFields())
        length, coding = fields.get(b"Content-Length"), fields.get(b"Transfer-Encoding")
        if length is not None and (coding is not None or not length.isdigit()):
            raise ValueError("Length is not clear.")
        if coding is not None and coding.lower() != b"chunked":
            raise ValueError("Encoding is not known.")
        hdict = {} if hdict is None else hdict
        hdict.update(fields)
        return hdict


class Request(cheroot.server.HTTPRequest):
    header_reader = StrictHeaderReader()

    def respond(self):
        """As the library does, but with a strict reader of chunked bodies."""
        if not self.chunked_read:
            super().respond()
            return
        self.rfile = chunked.ChunkedBody(self.conn.rfile)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self):
        """A connection whose chunked body was not read to its end carries no further request."""
        if self.chunked_read and not self.rfile.complete:
            self.close_connection = True
        super().send_headers()
        self.conn.discard_on_close = self.close_connection

    def simple_response(self, status, msg=""):
        self.conn.discard_on_close = True
        super().simple_response(status, msg)


class Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = Request
    discard_on_close = False  # the caller may have sent more than was read

    def close(self):
        if self.discard_on_close:
            self.discard_input()
        super().close()

    def discard_input(self):
        """Reads away what still comes: closing over unread bytes resets the connection and loses the answer."""
        deadline = clock.now() + constants.LINGER_TIMEOUT_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline - clock.now()) > 0:
                self.socket.settimeout(remaining_s)
                if not self.socket.recv(constants.SOCKET_READ_BYTES):
                    return
        except OSError:
            pass
