"""A strict parser of request headers: rejects ambiguous framing, which allows request smuggling.

A repeated Content-Length, one beside a Transfer-Encoding, one that is not a number, an
encoding other than chunked, folded lines, a space before the colon, and a carriage return
or a zero byte within a line raise ValueError; the server then responds with 400 and closes
the connection. Other repeated fields are joined by a comma.
"""

import socket
import struct

import cheroot.server

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import mothshed.http.response_rules as response_rules
import mothshed.runtime.cancellation as cancellation
import mothshed.runtime.clock as clock

SINGLE_FIELDS = {b"Content-Length", b"Transfer-Encoding", b"Host"}
LINE_END = b"\r\n"
UNFRAMED_STATUSES = response_rules.BODILESS_STATUSES | {205}  # the library gives these neither length nor chunks
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # values of SO_LINGER
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
FORBIDDEN_IN_LINE = (b"\r", b"\0")  # some parsers take them for the end of a line or of the headers


class HeaderLines:
    """The lines of the headers, each validated before it is parsed."""

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
    """Header fields by name; repeated fields are joined, or rejected if only one is allowed."""

    def __setitem__(self, name, value):
        earlier = self.get(name)
        if earlier is not None and name in SINGLE_FIELDS:
            raise ValueError("A field came twice that may come once.")
        if earlier is not None and not value.startswith(earlier + b", "):  # otherwise the library has joined them
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
        """Respond as the library does, and note once the response is complete."""
        if self.chunked_read:
            self.respond_to_chunked()
        else:
            super().respond()
        self.conn.end_response()

    def respond_to_chunked(self) -> None:
        """Respond as the library does, but read the chunked body with the strict reader."""
        self.rfile = chunked.ChunkedBody(self.conn.rfile)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self):
        """Send the headers; close the connection later if a chunked body was not read to its end."""
        if self.chunked_read and not self.rfile.complete:
            self.close_connection = True
        super().send_headers()
        self.conn.discard_on_close = self.close_connection
        if self.ends_with_connection():
            self.conn.begin_unframed_response()

    def ends_with_connection(self) -> bool:
        """Return whether the end of the connection is the end of the body, as for a client of HTTP/1.0."""
        has_length = any(name.lower() == b"content-length" for name, _value in self.outheaders)
        has_body = self.method != b"HEAD" and int(self.status[:3]) not in UNFRAMED_STATUSES
        return has_body and not has_length and not self.chunked_write

    def simple_response(self, status, msg=""):
        self.conn.discard_on_close = True
        super().simple_response(status, msg)


class Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = Request
    discard_on_close = False  # there may be unread input
    is_unfinished = False  # a response that ends with this connection is not complete

    def begin_unframed_response(self) -> None:
        """Have the connection reset if it ends before the response does, even with this process."""
        self.is_unfinished = True
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def end_response(self) -> None:
        """Note that the response is complete: a connection that ends now ends in order."""
        if self.is_unfinished:
            self.is_unfinished = False
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_IN_ORDER)

    def abort(self) -> None:
        """End the exchange from another thread, so that the client sees an incomplete response."""
        if self.is_unfinished and self.caller:
            self.caller.cancellation.cancel()  # a shutdown would look like the end of the response
        else:
            cancellation.shut_down(self.socket)

    def close(self):
        if self.discard_on_close and not self.is_unfinished:
            self.discard_input()
        super().close()

    def _close_kernel_socket(self) -> None:
        if not self.is_unfinished:  # the library's shutdown would prevent the reset
            super()._close_kernel_socket()

    def discard_input(self):
        """Discard further input before closing: unread bytes would reset the connection and lose the response."""
        deadline = clock.now() + constants.LINGER_TIMEOUT_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline - clock.now()) > 0:
                self.socket.settimeout(remaining_s)
                if not self.socket.recv(constants.SOCKET_READ_BYTES):
                    return
        except OSError:
            pass
