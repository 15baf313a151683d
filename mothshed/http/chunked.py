"""A strict reader of chunked bodies, including their trailer.

The HTTP libraries accept sizes such as `0x5`, `+5` or `-5`, read a chunk of any size
into memory, and leave the trailer in the connection, where it would be parsed as the
next message. Here a size consists of hexadecimal digits only, lines end with CRLF, no
more is read than requested, and the trailer is read and discarded.
"""

import http.client
import re
import sys
import typing

import mothshed.constants as constants
import mothshed.http.message_grammar as message_grammar

SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")


class BadChunk(ValueError):
    """The body violates the chunked framing or is truncated."""


class ChunkedBody:
    """A file-like body; `complete` once its trailer has been read."""

    def __init__(self, file: typing.Any) -> None:
        self.file = file
        self.remaining_bytes = 0  # unread bytes of the current chunk
        self.complete = False

    def read(self, size: int | None = None) -> bytes:
        """Read up to size bytes, fewer only at the end of the body, or all of it. Raises BadChunk."""
        parts, missing = [], sys.maxsize if size is None else size
        while missing and (data := self.read1(min(missing, constants.SOCKET_READ_BYTES))):
            parts.append(data)
            missing -= len(data)
        return b"".join(parts)

    def read1(self, size: int) -> bytes:
        """Read up to size bytes as soon as some arrive; none only at the end of the body. Raises BadChunk."""
        if not self.remaining_bytes and not self.next_chunk():
            return b""
        data: bytes = self.file.read1(min(self.remaining_bytes, size))
        if not data:
            raise BadChunk("the body ends within a chunk")
        self.remaining_bytes -= len(data)
        if not self.remaining_bytes and self.file.read(2) != b"\r\n":
            raise BadChunk("a chunk is longer than its size")
        return data

    def next_chunk(self) -> bool:
        """Read a size line; return False at the last chunk, after reading the trailer."""
        if self.complete:
            return False
        match = SIZE_LINE.fullmatch(self.file.readline(constants.MAX_CHUNK_LINE_BYTES))
        if not match:
            raise BadChunk("the size of a chunk is not clear")
        self.remaining_bytes = int(match.group(1), 16)
        if not self.remaining_bytes:
            self.read_trailer()
        return bool(self.remaining_bytes)

    def read_trailer(self) -> None:
        """Read and discard the trailer; raises BadChunk if it is malformed or truncated."""
        reader = message_grammar.MessageReader(self.file, constants.MAX_HEADER_BYTES)
        try:
            while (line := reader.read_line()) != message_grammar.LINE_END:
                self.check_trailer_line(line)
        except (message_grammar.MalformedMessageError, http.client.RemoteDisconnected) as error:
            raise BadChunk(f"trailer: {error}") from error
        self.complete = True

    def check_trailer_line(self, line: bytes) -> None:
        """Raise BadChunk if a line of the trailer does not end with CRLF."""
        if not line.endswith(message_grammar.LINE_END):
            raise BadChunk("a line of the trailer is not whole")


class ChunkedResponseBody(ChunkedBody):
    """The chunked body of a response; its trailer is validated as the head is."""

    def check_trailer_line(self, line: bytes) -> None:
        """Raise MalformedMessageError if a line of the trailer is no field."""
        message_grammar.parse_field_line(line)
