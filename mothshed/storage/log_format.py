"""On-disk format of a part's log: frames, header rows and file names.

A frame is one atomic write: a header (magic, length, checksum) and a body of JSON rows,
one per line. Either all rows of a frame are read back or none. The magic cannot occur
in a body, which is ASCII, so a complete frame after a damaged one is found quickly.

A log consists of two kinds of files, both created atomically by a rename: `part-P-snap-G`
begins generation G with a snapshot and the retained entries; the segments
`part-P-seg-G-N`, N = 1, 2, ..., hold the writes since. A generation supersedes all files
of earlier ones. The first frame of a file begins with a header row that states the log
state that the file continues.
"""

import dataclasses
import json
import re
import struct
import typing
import zlib

import mothshed.storage.disk as disk_module

MAGIC = b"\xab\xfe"
HEADER = struct.Struct("!2sII")  # magic, body length, CRC-32 of the body


@dataclasses.dataclass(frozen=True)
class SnapshotHeader:
    """First row of a snapshot file; the snapshot and the retained entries follow in the same frame."""

    generation: int
    term: int
    vote: str
    base: int  # index before the first retained entry
    base_term: int


@dataclasses.dataclass(frozen=True)
class SegmentHeader:
    """First row of a segment: the log state that the segment continues."""

    generation: int
    segment: int
    term: int
    vote: str
    last: int
    last_term: int


@dataclasses.dataclass(frozen=True)
class Scan:
    """The complete frames at the start of a file."""

    bodies: list
    size: int  # bytes of these frames
    has_frame_after_damage: bool  # whether a complete frame follows a damaged one


class EncodingError(Exception):
    """A row that is no JSON, or nested too deeply to be encoded."""


def encode(row: typing.Any) -> bytes:
    """Encodes one row, a JSON object, without line breaks; raises EncodingError."""
    try:
        return json.dumps(row, separators=(",", ":")).encode()
    except (ValueError, TypeError, RecursionError) as error:
        raise EncodingError(f"{type(error).__name__} in a row of the log") from error


def encode_header(header):
    """Encodes a header as one row."""
    return encode(dataclasses.asdict(header))


def decode_header(kind, line):
    """Decodes a header of this dataclass and ignores unknown fields; DiskCorruptionError if the row lacks a field."""
    try:
        row = json.loads(line)
        return kind(**{field.name: row[field.name] for field in dataclasses.fields(kind) if field.name in row})
    except (TypeError, ValueError) as error:
        raise disk_module.DiskCorruptionError(f"invalid {kind.__name__}: {error}") from error


def frame(rows):
    """Packs encoded rows into one frame."""
    body = b"\n".join(rows)
    return HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def frame_at(data, at):
    """The body of the complete frame at this offset, or None."""
    if at + HEADER.size > len(data):
        return None
    magic, size, checksum = HEADER.unpack_from(data, at)
    body = data[at + HEADER.size : at + HEADER.size + size]
    if magic != MAGIC or not size or len(body) != size or zlib.crc32(body) != checksum:
        return None
    return body


def scan(data):
    """Reads complete frames from the start, up to the end or the first incomplete or damaged frame."""
    bodies, at = [], 0
    while (body := frame_at(data, at)) is not None:
        bodies.append(body)
        at += HEADER.size + len(body)
    return Scan(bodies, at, has_complete_frame(data, at + 1))


def has_complete_frame(data, start):
    """Whether a complete frame begins at or after this offset."""
    at = data.find(MAGIC, start)
    while at >= 0:
        if frame_at(data, at) is not None:
            return True
        at = data.find(MAGIC, at + 1)
    return False


def snapshot_name(stem, generation):
    """The file name of a generation's snapshot."""
    return f"{stem}-snap-{generation:08d}"


def segment_name(stem, generation, segment):
    """The file name of a segment."""
    return f"{stem}-seg-{generation:08d}-{segment:08d}"


def snapshot_generations(stem, names):
    """The generations that have a snapshot file, sorted."""
    found = (re.fullmatch(rf"{stem}-snap-(\d+)", name) for name in names)
    return sorted(int(match[1]) for match in found if match)


def segment_numbers(stem, names):
    """The (generation, number) of every segment file, sorted."""
    found = (re.fullmatch(rf"{stem}-seg-(\d+)-(\d+)", name) for name in names)
    return sorted((int(match[1]), int(match[2])) for match in found if match)
