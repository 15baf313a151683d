"""Reads a chunked body strictly, to the end of its trailer.

The HTTP libraries take sizes such as `0x5`, `+5` or `-5`, reads a chunk of any size
into memory, and leaves the trailer in the connection, where it would be read as the
next message. Here a size is hexadecimal digits only, lines end with CRLF, no more is
read than was asked for, and the trailer is read and dropped.
"""

import re

import mothshed.constants as constants

SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")


class BadChunk(ValueError):
    """The body does not follow the chunked framing, or ends within it."""


class ChunkedBody:
    """A file-like body; `whole` once its trailer has been read."""

    def __init__(self, file):
        self.file = file
        self.left = 0  # bytes of the present chunk not yet read
        self.whole = False

    def read(self, size):
        """At most size bytes, fewer only at the body's end. Raises BadChunk."""
        rows, missing = [], size
        while missing and (data := self.read1(missing)):
            rows.append(data)
            missing -= len(data)
        return b"".join(rows)

    def read1(self, size: int) -> bytes:
        """At most size bytes as soon as there are any; none only at the body's end. Raises BadChunk."""
        if not self.left and not self.next_chunk():
            return b""
        data = self.file.read1(min(self.left, size))
        if not data:
            raise BadChunk("the body ends within a chunk")
        self.left -= len(data)
        if not self.left and self.file.read(2) != b"\r\n":
            raise BadChunk("a chunk is longer than its size")
        return data

    def next_chunk(self):
        """Reads a size line; False at the last chunk, whose trailer is then read."""
        if self.whole:
            return False
        found = SIZE.fullmatch(self.file.readline(constants.MAX_CHUNK_LINE_BYTES))
        if not found:
            raise BadChunk("the size of a chunk is not clear")
        self.left = int(found.group(1), 16)
        if not self.left:
            self.read_trailer()
        return bool(self.left)

    def read_trailer(self):
        most = constants.MAX_HEADER_BYTES
        while most > 0:
            line = self.file.readline(most)
            if not line.endswith(b"\r\n"):
                raise BadChunk("the trailer is not whole")
            if line == b"\r\n":
                self.whole = True
                return
            most -= len(line)
        raise BadChunk("the trailer is too long")
