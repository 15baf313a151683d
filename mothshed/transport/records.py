"""Binary encoding of the records that the system's own processes exchange.

A record is a header (magic, kind, body length, checksum) and a body with the fields of
its kind in the order of `record_kinds`. What a later release added is skipped: unknown
fields at the end of a body, and whole records of an unknown kind. Fields that an earlier
release does not send get their default. Anything else raises RecordError, which closes
and counts the connection but does not stop the process.

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

HEADER = struct.Struct("!4sHII")  # magic, kind number, body length, CRC-32 of the body
MAGIC = b"mth1"
LENGTH = struct.Struct("!I")
SCALAR_FORMATS = {"q": struct.Struct("!q"), "d": struct.Struct("!d"), "?": struct.Struct("!?")}

Body = dict[str, typing.Any]


class RecordError(Exception):
    """A record has a wrong magic, length, checksum or body, or lacks a field."""


@dataclasses.dataclass(frozen=True)
class Header:
    """A parsed header. kind: None if this release does not know the kind."""

    kind: record_kinds.Kind | None
    size: int  # body length in bytes
    checksum: int


@dataclasses.dataclass(frozen=True)
class Record:
    """A parsed record.

    kind: "" if this release does not know the kind. has_unknown_fields: whether fields at the end of the body
    were skipped.
    """

    kind: str
    body: Body
    has_unknown_fields: bool = False


class Codec:
    """Packs and parses the records of one release. kinds: the kinds it knows; release: its number."""

    def __init__(self, kinds: collections.abc.Iterable[record_kinds.Kind], release: int) -> None:
        self.release = release
        self.by_name = {kind.name: kind for kind in kinds}
        self.by_number = {kind.number: kind for kind in self.by_name.values()}

    def check_fields(self, name: str, body: Body) -> None:
        """Raise RecordError if a body lacks a required field or has a field that its kind does not define."""
        fields = self.by_name[name].fields
        needed = {field.name for field in fields if not field.since}
        carried = {field.name for field in fields}
        if not needed <= set(body) <= carried:
            raise RecordError(
                f"record {name} has the fields {', '.join(sorted(carried))}, not {', '.join(sorted(body))}"
            )

    def pack(self, name: str, body: Body, release: int | None = None) -> bytes:
        """Pack a record; raises RecordError if it is too long or holds a value that can't be encoded.

        release: the receiver's release; fields added later are left out. None: the receiver skips unknown fields.
        """
        kind = self.by_name[name]
        max_release = self.release if release is None else release
        try:
            data = b"".join(pack_field(field, body) for field in kind.fields if field.since <= max_release)
        except (ValueError, TypeError, RecursionError, struct.error) as error:
            raise RecordError(f"record {name} can't be encoded: {type(error).__name__}") from error
        if len(data) > transport_constants.MAX_RECORD_BYTES:
            raise RecordError(f"record {name} exceeds the size limit: {len(data)} bytes")
        return HEADER.pack(MAGIC, kind.number, len(data), zlib.crc32(data)) + data

    def parse_header(self, data: bytes) -> Header:
        """Parse a header; raises RecordError."""
        magic, number, size, checksum = HEADER.unpack(data)
        if magic != MAGIC:
            raise RecordError("wrong magic in the header")
        if size > transport_constants.MAX_RECORD_BYTES:
            raise RecordError(f"body length {size} exceeds the limit")
        return Header(self.by_number.get(number), size, checksum)

    def parse(self, header: Header, data: bytes) -> Record:
        """Parse a body into a record; raises RecordError."""
        if zlib.crc32(data) != header.checksum:
            raise RecordError("wrong checksum of the body")
        if header.kind is None:
            return Record("", {})
        try:
            body, end = parse_fields(header.kind, data)
        except (struct.error, ValueError, RecursionError) as error:
            raise RecordError(f"invalid body of record {header.kind.name}: {error}") from error
        return Record(header.kind.name, body, has_unknown_fields=end < len(data))

    def unpack(self, data: bytes) -> Record:
        """Parse one complete record; raises RecordError."""
        if len(data) < HEADER.size:
            raise RecordError("header is incomplete")
        header = self.parse_header(data[: HEADER.size])
        if len(data) != HEADER.size + header.size:
            raise RecordError("body does not have the length given in the header")
        return self.parse(header, data[HEADER.size :])


def pack_field(field: record_kinds.Field, body: Body) -> bytes:
    """Encode one field; KeyError if it is missing and has no default."""
    item = body.get(field.name, field.default) if field.since else body[field.name]
    if field.code in SCALAR_FORMATS:
        return SCALAR_FORMATS[field.code].pack(item)
    text = item if field.code == "s" else json.dumps(item, separators=(",", ":"))
    data = text.encode()
    return LENGTH.pack(len(data)) + data


def parse_fields(kind: record_kinds.Kind, data: bytes) -> tuple[Body, int]:
    """Parse the fields of a body; also returns where they end. A field added later that is missing gets its default."""
    body: Body = {}
    at = 0
    for field in kind.fields:
        if field.since and at == len(data):
            body[field.name] = field.default
        else:
            body[field.name], at = parse_field(field, data, at)
    return body, at


def parse_field(field: record_kinds.Field, data: bytes, at: int) -> tuple[typing.Any, int]:
    """Parse the field at this offset; also returns where it ends."""
    if field.code in SCALAR_FORMATS:
        scalar_format = SCALAR_FORMATS[field.code]
        return scalar_format.unpack_from(data, at)[0], at + scalar_format.size
    size = LENGTH.unpack_from(data, at)[0]
    start = at + LENGTH.size
    piece = data[start : start + size]
    if len(piece) != size:
        raise RecordError("field extends past the end of the body")
    text = piece.decode()
    return (text if field.code == "s" else json.loads(text)), start + size


CODEC = Codec(record_kinds.KINDS, transport_constants.RECORD_FORMAT_VERSION)


def pack(name: str, **body: typing.Any) -> bytes:
    """Pack a record with all fields of this release; receivers skip those that they do not know."""
    return CODEC.pack(name, body)
