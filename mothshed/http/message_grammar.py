"""The grammar of the lines of HTTP/1.1 messages (RFC 9112 and RFC 9110), for heads and trailers.

Lines are validated as bytes, before anything of them is used. A line that violates the grammar may end at another
place, or have another name, for the next reader of it; so the whole message counts as malformed. Only CRLF ends a line.
A folded line (RFC 9112, section 5.2) is malformed as well. Errors don't quote what was received: they are passed on to
clients.
"""

import http.client
import re
import typing

LINE_END = b"\r\n"
OPTIONAL_WHITESPACE = b" \t"
TEXT = rb"[\t \x21-\x7e\x80-\xff]*"  # a reason phrase, or a field value with the whitespace around it
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + TEXT + rb")\r\n")
# The space before an empty reason phrase may be missing, as section 4 of RFC 9112 allows. Section 15 of RFC 9110
# calls a status outside of 100 to 599 invalid.
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (" + TEXT + rb"))?\r\n")


class MalformedMessageError(http.client.HTTPException):
    """A message violates the grammar, or says in several ways or unclearly where its body ends."""


class LineFile(typing.Protocol):
    """A file of which lines are read."""

    def readline(self, limit: int, /) -> bytes:
        """Return the next line with its end, or at most limit bytes of it, fewer at the end of the file."""


class StatusLine(typing.NamedTuple):
    """The parts of a status line."""

    minor_version: int  # of HTTP/1
    status: int
    reason: str


class Field(typing.NamedTuple):
    """A field of a head or a trailer; bytes above 127 are decoded as Latin-1."""

    name: str
    value: str


def decode(text: bytes) -> str:
    """Decode text without the whitespace around it."""
    return text.strip(OPTIONAL_WHITESPACE).decode("latin-1")


def parse_status_line(line: bytes) -> StatusLine:
    r"""Parse a status line with its end; raises MalformedMessageError.

    >>> parse_status_line(b"HTTP/1.1 404 Not Found\r\n")
    StatusLine(minor_version=1, status=404, reason='Not Found')
    """
    match = STATUS_LINE.fullmatch(line)
    if not match:
        raise MalformedMessageError("malformed status line")
    minor_version, status, reason = match.groups(b"")
    return StatusLine(int(minor_version), int(status), decode(reason))


def parse_field_line(line: bytes) -> Field:
    r"""Parse a field line with its end; raises MalformedMessageError.

    >>> parse_field_line(b"Retry-After: 3 \r\n")
    Field(name='Retry-After', value='3')
    """
    match = FIELD_LINE.fullmatch(line)
    if not match:
        raise MalformedMessageError("malformed field line")
    name, value = match.groups()
    return Field(name.decode("ascii"), decode(value))


class MessageReader:
    """Reads the lines of heads and trailers from a file, and at most limit_bytes of it."""

    def __init__(self, file: LineFile, limit_bytes: int) -> None:
        self.file, self.remaining_bytes = file, limit_bytes

    def read_line(self) -> bytes:
        """Read a line with its end.

        Raises http.client.RemoteDisconnected if the file ends before the line does, MalformedMessageError if the
        line exceeds the limit.
        """
        line = self.file.readline(self.remaining_bytes)
        if not line.endswith(b"\n"):
            if len(line) < self.remaining_bytes:
                raise http.client.RemoteDisconnected("the connection ended within a head or trailer")
            raise MalformedMessageError("head or trailer is too long")
        self.remaining_bytes -= len(line)
        return line

    def read_status_line(self) -> StatusLine:
        """Read the first line of a response; raises as read_line and parse_status_line do."""
        return parse_status_line(self.read_line())

    def read_fields(self) -> list[Field]:
        """Read the fields and the empty line after them; raises as read_line and parse_field_line do."""
        fields = []
        while (line := self.read_line()) != LINE_END:
            fields.append(parse_field_line(line))
        return fields
