"""Records between the system's own processes, packed with `struct`.

A record is a header (mark, kind, body length, checksum) and a body whose fields
follow each other as `record_kinds` says. What a later release added is passed over:
further fields at the end of a body, and whole records of an unknown kind. What an
earlier release did not send yet has its default. Anything else that does not fit is a
RecordFault; the connection that carried it is closed and counted, and the process lives.

>>> CODEC.unpack(pack("hello", address="127.0.0.1:9"))
Record(kind='hello', body={'address': '127.0.0.1:9', 'release': 0}, further=False)
"""

import collections.abc
import dataclasses
import json
import struct
import typing
import zlib

import mothshed.transport.constants as transport_constants
import mothshed.transport.record_kinds as record_kinds

HEAD = struct.Struct("!4sHII")  # mark, number of the kind, length of the body, its checksum
MARK = b"mth1"
LONG = struct.Struct("!I")
SCALAR = {"q": struct.Struct("!q"), "d": struct.Struct("!d"), "?": struct.Struct("!?")}

Body = dict[str, typing.Any]


class RecordFault(Exception):
    """A record whose mark, length, checksum or body is wrong, or that lacks a field."""


@dataclasses.dataclass(frozen=True)
class Head:
    """A parsed header. kind: None if this release does not know it."""

    kind: record_kinds.Kind | None
    size: int  # bytes of the body
    checksum: int


@dataclasses.dataclass(frozen=True)
class Record:
    """A parsed record. kind: "" if this release does not know it; further: whether fields were passed over."""

    kind: str
    body: Body
    further: bool = False


class Codec:
    """Packs and parses records as one release does. kinds: its table; release: its number."""

    def __init__(self, kinds: collections.abc.Iterable[record_kinds.Kind], release: int) -> None:
        self.release = release
        self.by_name = {kind.name: kind for kind in kinds}
        self.by_number = {kind.number: kind for kind in self.by_name.values()}

    def check_fields(self, name: str, body: Body) -> None:
        """Raise RecordFault if a body lacks a field without a default, or has one that its kind does not carry."""
        fields = self.by_name[name].fields
        needed = {field.name for field in fields if not field.since}
        carried = {field.name for field in fields}
        if not needed <= set(body) <= carried:
            raise RecordFault(f"{name} carries {', '.join(sorted(carried))}, not {', '.join(sorted(body))}")

    def pack(self, name: str, body: Body, release: int | None = None) -> bytes:
        """A record for a reader of this release; one that is too long raises RecordFault.

        release: the reader's; what came later is left out. None: the reader passes over what it does not know.
        """
        kind = self.by_name[name]
        most = self.release if release is None else release
        data = b"".join(packed_field(field, body) for field in kind.fields if field.since <= most)
        if len(data) > transport_constants.MAX_RECORD_BYTES:
            raise RecordFault(f"{name} is too long to send: {len(data)} bytes")
        return HEAD.pack(MARK, kind.number, len(data), zlib.crc32(data)) + data

    def parse_head(self, data: bytes) -> Head:
        """A header; raises RecordFault."""
        mark, number, size, checksum = HEAD.unpack(data)
        if mark != MARK:
            raise RecordFault("wrong mark")
        if size > transport_constants.MAX_RECORD_BYTES:
            raise RecordFault(f"length {size} is over the limit")
        return Head(self.by_number.get(number), size, checksum)

    def parse(self, head: Head, data: bytes) -> Record:
        """The record of a header and its body; raises RecordFault."""
        if zlib.crc32(data) != head.checksum:
            raise RecordFault("wrong checksum")
        if head.kind is None:
            return Record("", {})
        try:
            body, end = parsed_fields(head.kind, data)
        except (struct.error, UnicodeDecodeError, ValueError) as error:
            raise RecordFault(f"body of {head.kind.name}: {error}") from error
        return Record(head.kind.name, body, further=end < len(data))

    def unpack(self, data: bytes) -> Record:
        """One whole record; raises RecordFault."""
        if len(data) < HEAD.size:
            raise RecordFault("short head")
        head = self.parse_head(data[: HEAD.size])
        if len(data) != HEAD.size + head.size:
            raise RecordFault("wrong length")
        return self.parse(head, data[HEAD.size :])


def packed_field(field: record_kinds.Field, body: Body) -> bytes:
    """One field as bytes; KeyError if it has no default and is missing."""
    item = body.get(field.name, field.default) if field.since else body[field.name]
    if field.code in SCALAR:
        return SCALAR[field.code].pack(item)
    text = item if field.code == "s" else json.dumps(item, separators=(",", ":"))
    data = text.encode()
    return LONG.pack(len(data)) + data


def parsed_fields(kind: record_kinds.Kind, data: bytes) -> tuple[Body, int]:
    """The fields of a body, and where they end; a body that ends before an added field has its default."""
    body: Body = {}
    at = 0
    for field in kind.fields:
        if field.since and at == len(data):
            body[field.name] = field.default
        else:
            body[field.name], at = parsed_field(field, data, at)
    return body, at


def parsed_field(field: record_kinds.Field, data: bytes, at: int) -> tuple[typing.Any, int]:
    """The field that begins at this offset, and where it ends."""
    if field.code in SCALAR:
        form = SCALAR[field.code]
        return form.unpack_from(data, at)[0], at + form.size
    size = LONG.unpack_from(data, at)[0]
    start = at + LONG.size
    piece = data[start : start + size]
    if len(piece) != size:
        raise RecordFault("field runs past the end")
    text = piece.decode()
    return (text if field.code == "s" else json.loads(text)), start + size


CODEC = Codec(record_kinds.KINDS, transport_constants.RECORD_FORMAT_VERSION)


def pack(name: str, **body: typing.Any) -> bytes:
    """A record of this release, for readers that pass over what they do not know."""
    return CODEC.pack(name, body)
