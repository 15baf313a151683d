"""Reads a request's head strictly: what two readers could read in two ways is refused.

A length given twice or beside an encoding, an odd length, another encoding than
chunked, folded lines and a space before the colon are a ValueError, which the server
answers with 400 and an end of the connection. Other fields that come twice are kept,
joined by a comma.
"""

import cheroot.server

ONCE = {b"Content-Length", b"Transfer-Encoding", b"Host"}


class Lines:
    """A head's lines, each looked at before it is parsed."""

    def __init__(self, file):
        self.file = file

    def readline(self):
        line = self.file.readline()
        name = line.partition(b":")[0]
        if line.strip() and (line[:1] in b" \t" or name != name.strip()):
            raise ValueError("Folded line or space before a colon.")
        return line


class Fields(dict):
    """Fields by name; one that comes twice is joined, or refused where only one may be."""

    def __setitem__(self, name, value):
        old = self.get(name)
        if old is not None and name in ONCE:
            raise ValueError("A field came twice that may come once.")
        if old is not None and not value.startswith(old + b", "):  # else joined already
            value = old + b", " + value
        super().__setitem__(name, value)


class Reader(cheroot.server.HeaderReader):
    def __call__(self, rfile, hdict=None):
        found = super().__call__(Lines(rfile), Fields())
        length, coding = found.get(b"Content-Length"), found.get(b"Transfer-Encoding")
        if length is not None and (coding is not None or not length.isdigit()):
            raise ValueError("Length is not clear.")
        if coding is not None and coding.lower() != b"chunked":
            raise ValueError("Encoding is not known.")
        hdict = {} if hdict is None else hdict
        hdict.update(found)
        return hdict


class Request(cheroot.server.HTTPRequest):
    header_reader = Reader()


class Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = Request
