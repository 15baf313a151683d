"""A large configuration document as compressed bytes, and the reference by which the log and records name it.

The bytes hold two texts, each compressed by itself: the document as serving processes need it, and what the operator
sent, if an adapter kept it. They are stored and sent in pieces without being unpacked; the reference says where the
parts are and what they unpack to. The first text has a line for each few items of a section, since the interpreter runs
no other thread while it encodes or parses one JSON text; the second is one JSON text, as it is returned.

>>> reference, data = pack({"routes": [{"name": "a"}], "as_sent": {"edition": 3}})
>>> unpack(reference.as_sent, data)
b'{"edition":3}'
>>> parse_served(unpack(reference.served, data))
{'routes': [{'name': 'a'}]}
>>> Reference.from_wire(reference.to_wire()) == reference, reference.length == len(data)
(True, True)
"""

import collections.abc
import dataclasses
import hashlib
import json
import typing
import zlib

import mothshed.configuration.constants as configuration_constants

Document = dict[str, typing.Any]
Fields = dict[str, typing.Any]
COMPACT = json.JSONEncoder(separators=(",", ":"))
AS_SENT = "as_sent"  # section of a document that holds what the operator sent


class PackedDocumentError(Exception):
    """Bytes that don't unpack to the text that was packed."""


@dataclasses.dataclass(frozen=True)
class Part:
    """One text. start, length: where its compressed bytes are; size, checksum: bytes and CRC-32 of the text."""

    start: int
    length: int
    size: int
    checksum: int


@dataclasses.dataclass(frozen=True)
class Reference:
    """Names a packed document. digest: of its bytes; length: their number; as_sent: None if no adapter kept it."""

    digest: str
    length: int
    served: Part
    as_sent: Part | None

    @property
    def text_bytes(self) -> int:
        """Bytes of the texts."""
        return self.served.size + (self.as_sent.size if self.as_sent else 0)

    def to_wire(self) -> Fields:
        """The form in which log entries, snapshots and records carry it."""
        return dataclasses.asdict(self)

    @classmethod
    def from_wire(cls, fields: Fields) -> "Reference":
        """Read what `to_wire` returned."""
        as_sent = Part(**fields["as_sent"]) if fields["as_sent"] else None
        return cls(fields["digest"], fields["length"], Part(**fields["served"]), as_sent)


def digest_of(data: bytes) -> str:
    """The digest that names packed bytes."""
    return hashlib.blake2b(data, digest_size=configuration_constants.DOCUMENT_DIGEST_BYTES).hexdigest()


def served_part(document: Document) -> Document:
    """The document as serving processes need it: without the text that the operator sent."""
    return {key: value for key, value in document.items() if key != AS_SENT}


def pack(document: Document) -> tuple[Reference, bytes]:
    """Pack a document; raises ValueError, TypeError or RecursionError if it can't be encoded."""
    served, data = pack_text(served_lines(served_part(document)), 0)
    as_sent = None
    if AS_SENT in document:
        as_sent, more = pack_text(json_steps(document[AS_SENT]), len(data))
        data += more
    return Reference(digest_of(data), len(data), served, as_sent), data


def pack_text(steps: collections.abc.Iterable[str], start: int) -> tuple[Part, bytes]:
    """Pack a text, given in steps, whose bytes begin at `start`."""
    compressor, pieces = zlib.compressobj(zlib.Z_BEST_SPEED), []
    size = checksum = 0
    for step in steps:
        text = step.encode()
        size, checksum = size + len(text), zlib.crc32(text, checksum)
        pieces.append(compressor.compress(text))
    pieces.append(compressor.flush())
    data = b"".join(pieces)
    return Part(start, len(data), size, checksum), data


def unpack(part: Part, data: bytes) -> bytes:
    """The JSON text of a part of a document's bytes; raises PackedDocumentError."""
    return unpack_text(part, data[part.start : part.start + part.length])


def unpack_text(part: Part, data: bytes) -> bytes:
    """The JSON text of a part's own bytes; raises PackedDocumentError."""
    if not 0 <= part.size <= configuration_constants.MAX_DOCUMENT_TEXT_BYTES:
        raise PackedDocumentError(f"a text of {part.size} bytes is too long")
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, part.size + 1)  # one byte more shows a text that is too long
    except zlib.error as error:
        raise PackedDocumentError(f"the bytes can't be unpacked: {error}") from error
    if len(text) != part.size or not decompressor.eof or zlib.crc32(text) != part.checksum:
        raise PackedDocumentError("the text is not the one that was packed")
    return text


def served_lines(document: Document) -> collections.abc.Iterator[str]:
    """The lines of a document: for each section its name and value, or some lines with a few of its items each."""
    for section, value in document.items():
        for items in batches(value):
            yield json.dumps([section, items], separators=(",", ":")) + "\n"


def batches(value: typing.Any) -> collections.abc.Iterator[typing.Any]:
    """A value in parts: lists and objects of a few items each, or the value itself."""
    length = configuration_constants.MAX_LINE_ITEMS
    if isinstance(value, list) and value:
        yield from (value[start : start + length] for start in range(0, len(value), length))
    elif isinstance(value, dict) and value:
        rows = list(value.items())
        yield from (dict(rows[start : start + length]) for start in range(0, len(rows), length))
    else:
        yield value


def parse_served(text: bytes) -> Document:
    """The document whose lines these are; raises ValueError."""
    document: Document = {}
    for line in text.splitlines():
        section, items = json.loads(line)
        if section not in document:
            document[section] = items
        elif isinstance(items, list):
            document[section] += items
        else:
            document[section].update(items)
    return document


def json_steps(
    value: typing.Any,
    encoder: json.JSONEncoder = COMPACT,
    levels: int = configuration_constants.JSON_STEP_LEVELS,
) -> collections.abc.Iterator[str]:
    """The text that the encoder gives for a JSON value, item by item for the outer levels.

    The interpreter runs no other thread while it encodes one value, which for a whole document would take too long.

    >>> "".join(json_steps({"a": [1, {"b": "x"}], "c": {}}))
    '{"a":[1,{"b":"x"}],"c":{}}'
    """
    if not levels or not value or not isinstance(value, (dict, list)):
        yield encoder.encode(value)
        return
    is_object = isinstance(value, dict)
    separator = "{" if is_object else "["
    for item in sorted(value) if is_object and encoder.sort_keys else value:
        yield f"{separator}{encoder.encode(item)}{encoder.key_separator}" if is_object else separator
        yield from json_steps(value[item] if is_object else item, encoder, levels - 1)
        separator = encoder.item_separator
    yield "}" if is_object else "]"
