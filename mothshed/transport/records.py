"""Records between the system's own processes, packed with `struct`.

A record is a header (magic, kind, body length, checksum) and a body whose fields
follow each other as `record_kinds` says. What a later release added is passed over:
further fields at the end of a body, and whole records of an unknown kind. What an
earlier release did not send yet has its default. Anything else that does not fit is a
RecordError; the connection that carried it is closed and counted, and the process lives.

>>> CODEC.unpack(pack("hello", address="127.0.0.1:9"))
Record(kind='hello', body={'address': '127.0.0.1:9', 'release': 0}, has_unknown_fields=False)
"""

import collections.abc
import dataclasses
import json
import struct
import typing
import zlib

import mothshed.transport.constants as transport_constants
import mothshed.transport.record_kinds as record_kinds

HEADER = struct.Struct("!4sHII")  # magic, number of the kind, length of the body, its checksum
MAGIC = b"mth1"
LENGTH = struct.Struct("!I")
SCALAR_FORMATS = {"q": struct.Struct("!q"), "d": struct.Struct("!d"), "?": struct.Struct("!?")}

Body = dict[str, typing.Any]


class RecordError(Exception):
    """A record whose magic, length, checksum or body is wrong, or that lacks a field."""


@dataclasses.dataclass(frozen=True)
class Header:
    """A parsed header. kind: None if this release does not know it."""

    kind: record_kinds.Kind | None
    size: int  # bytes of the body
    checksum: int


@dataclasses.dataclass(frozen=True)
class Record:
    """A parsed record. kind: "" if this release does not know it; has_unknown_fields: whether fields were skipped."""

    kind: str
    body: Body
    has_unknown_fields: bool = False


class Codec:
    """Packs and parses records as one release does. kinds: its table; release: its number."""

    def __init__(self, kinds: collections.abc.Iterable[record_kinds.Kind], release: int) -> None:
        self.release = release
        self.by_name = {kind.name: kind for kind in kinds}
        self.by_number = {kind.number: kind for kind in self.by_name.values()}

    def check_fields(self, name: str, body: Body) -> None:
        """Raise RecordError if a body lacks a field without a default, or has one that its kind does not carry."""
        fields = self.by_name[name].fields
        needed = {field.name for field in fields if not field.since}
        carried = {field.name for field in fields}
        if not needed <= set(body) <= carried:
            raise RecordError(f"{name} carries {', '.join(sorted(carried))}, not {', '.join(sorted(body))}")

    def pack(self, name: str, body: Body, release: int | None = None) -> bytes:
        """A record for a reader of this release; one that is too long raises RecordError.

        release: the reader's; what came later is left out. None: the reader passes over what it does not know.
        """
        kind = self.by_name[name]
        max_release = self.release if release is None else release
        data = b"".join(pack_field(field, body) for field in kind.fields if field.since <= max_release)
        if len(data) > transport_constants.MAX_RECORD_BYTES:
            raise RecordError(f"{name} is too long to send: {len(data)} bytes")
        return HEADER.pack(MAGIC, kind.number, len(data), zlib.crc32(data)) + data

    def parse_header(self, data: bytes) -> Header:
        """A header; raises RecordError."""
        magic, number, size, checksum = HEADER.unpack(data)
        if magic != MAGIC:
            raise RecordError("wrong magic")
        if size > transport_constants.MAX_RECORD_BYTES:
            raise RecordError(f"length {size} is over the limit")
        return Header(self.by_number.get(number), size, checksum)

    def parse(self, header: Header, data: bytes) -> Record:
        """The record of a header and its body; raises RecordError."""
        if zlib.crc32(data) != header.checksum:
            raise RecordError("wrong checksum")
        if header.kind is None:
            return Record("", {})
        try:
            body, end = parse_fields(header.kind, data)
        except (struct.error, UnicodeDecodeError, ValueError) as error:
            raise RecordError(f"body of {header.kind.name}: {error}") from error
        return Record(header.kind.name, body, has_unknown_fields=end < len(data))

    def unpack(self, data: bytes) -> Record:
        """One whole record; raises RecordError."""
        if len(data) < HEADER.size:
            raise RecordError("short header")
        header = self.parse_header(data[: HEADER.size])
        if len(data) != HEADER.size + header.size:
            raise RecordError("wrong length")
        return self.parse(header, data[HEADER.size :])


def pack_field(field: record_kinds.Field, body: Body) -> bytes:
    """One field as bytes; KeyError if it has no default and is missing."""
    item = body.get(field.name, field.default) if field.since else body[field.name]
    if field.code in SCALAR_FORMATS:
        return SCALAR_FORMATS[field.code].pack(item)
    text = item if field.code == "s" else json.dumps(item, separators=(",", ":"))
    data = text.encode()
    return LENGTH.pack(len(data)) + data


def parse_fields(kind: record_kinds.Kind, data: bytes) -> tuple[Body, int]:
    """The fields of a body, and where they end; a body that ends before an added field has its default."""
    body: Body = {}
    at = 0
    for field in kind.fields:
        if field.since and at == len(data):
            body[field.name] = field.default
        else:
            body[field.name], at = parse_field(field, data, at)
    return body, at


def parse_field(field: record_kinds.Field, data: bytes, at: int) -> tuple[typing.Any, int]:
    """The field that begins at this offset, and where it ends."""
    if field.code in SCALAR_FORMATS:
        scalar_format = SCALAR_FORMATS[field.code]
        return scalar_format.unpack_from(data, at)[0], at + scalar_format.size
    size = LENGTH.unpack_from(data, at)[0]
    start = at + LENGTH.size
    piece = data[start : start + size]
    if len(piece) != size:
        raise RecordError("field runs past the end")
    text = piece.decode()
    return (text if field.code == "s" else json.loads(text)), start + size


CODEC = Codec(record_kinds.KINDS, transport_constants.RECORD_FORMAT_VERSION)


def pack(name: str, **body: typing.Any) -> bytes:
    """A record of this release, for readers that pass over what they do not know."""
    return CODEC.pack(name, body)
