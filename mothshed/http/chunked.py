"""Reads a chunked body strictly, to the end of its trailer.

The HTTP libraries take sizes such as `0x5`, `+5` or `-5`, reads a chunk of any size
into memory, and leaves the trailer in the connection, where it would be read as the
next message. Here a size is hexadecimal digits only, lines end with CRLF, no more is
read than was asked for, and the trailer is read and dropped.
"""

import re

import mothshed.constants as constants

SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")


class ChunkError(ValueError):
    """The body does not follow the chunked framing, or ends within it."""


class ChunkedBody:
    """A file-like body; `whole` once its trailer has been read."""

    def __init__(self, file):
        self.file = file
        self.remaining_bytes = 0  # bytes of the present chunk not yet read
        self.complete = False

    def read(self, size):
        """At most size bytes, fewer only at the body's end. Raises ChunkError."""
        parts, missing = [], size
        while missing and (data := self.read1(missing)):
            parts.append(data)
            missing -= len(data)
        return b"".join(parts)

    def read1(self, size: int) -> bytes:
        """At most size bytes as soon as there are any; none only at the body's end. Raises ChunkError."""
        if not self.remaining_bytes and not self.next_chunk():
            return b""
        data = self.file.read1(min(self.remaining_bytes, size))
        if not data:
            raise ChunkError("the body ends within a chunk")
        self.remaining_bytes -= len(data)
        if not self.remaining_bytes and self.file.read(2) != b"\r\n":
            raise ChunkError("a chunk is longer than its size")
        return data

    def next_chunk(self):
        """Reads a size line; False at the last chunk, whose trailer is then read."""
        if self.complete:
            return False
        match = SIZE_LINE.fullmatch(self.file.readline(constants.MAX_CHUNK_LINE_BYTES))
        if not match:
            raise ChunkError("the size of a chunk is not clear")
        self.remaining_bytes = int(match.group(1), 16)
        if not self.remaining_bytes:
            self.read_trailer()
        return bool(self.remaining_bytes)

    def read_trailer(self):
        remaining = constants.MAX_HEADER_BYTES
        while remaining > 0:
            line = self.file.readline(remaining)
            if not line.endswith(b"\r\n"):
                raise ChunkError("the trailer is not whole")
            if line == b"\r\n":
                self.complete = True
                return
            remaining -= len(line)
        raise ChunkError("the trailer is too long")
