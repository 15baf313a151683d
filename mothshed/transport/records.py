"""Records between the system's own processes, packed with `struct`.

A record is a header (mark, kind, body length, checksum) and a body whose fields
are fixed per kind. Field codes: q whole number, d float, ? flag, s text, j a
JSON value (documents and lists). Anything that does not fit is a RecordFault;
the connection that carried it is closed and counted, and the process lives.

>>> kind, body = unpack(pack("hello", address="127.0.0.1:9"))
>>> kind, body["address"]
('hello', '127.0.0.1:9')
"""

import json
import struct
import typing
import zlib

import mothshed.constants as constants

HEAD = struct.Struct("!4sHII")
MARK = b"mth1"
LONG = struct.Struct("!I")
SCALAR = {"q": struct.Struct("!q"), "d": struct.Struct("!d"), "?": struct.Struct("!?")}

FIELDS = {
    "hello": "address:s",
    "shuffle": "view:j hints:j reply:?",
    "owe": "request:s replica:s url:s engine:s left:d",
    "paid": "request:s replica:s",
    "borrow": "mark:q need:d",
    "lend": "mark:q amount:d",
    "list_ask": "part:q number:q",
    "list_news": "part:q number:q held:q age:d whole:? rows:j gone:j",
    "usage": "part:q mark:q rows:j",
    "usages": "part:q mark:q rows:j",
    # agreement
    "born_ask": "part:q who:s address:s http:s",
    "born_say": "part:q who:s address:s http:s empty:? members:j",
    "join_ask": "part:q who:s address:s http:s",
    "vote_ask": "part:q term:q who:s last:q last_term:q trial:? handed:?",
    "vote_say": "part:q term:q who:s granted:? trial:?",
    "append": "part:q term:q who:s prev:q prev_term:q commit:q round:q echoed:q confirmed:q entries:j",
    "append_say": "part:q term:q who:s good:? match:q round:q",
    "snap": "part:q term:q who:s index:q index_term:q offset:q total:q checksum:q piece:s",
    "snap_say": "part:q term:q who:s index:q offset:q done:?",
    "leave": "part:q who:s",
    "leave_say": "part:q who:s finished:?",
    "hand": "part:q term:q who:s",
    # news
    "ask": "part:q mark:q held:q staged:q",
    "grant": "part:q mark:q length:d number:q active:q docs:j leader:s",
    "news": "part:q number:q active:q docs:j",
    "news_ack": "part:q number:q staged:q",
    "look_elsewhere": "part:q mark:q leader:s",
}
NAMES = {name: at + 1 for at, name in enumerate(FIELDS)}
KINDS = {at: name for name, at in NAMES.items()}
SHAPES = {name: [f.split(":") for f in text.split()] for name, text in FIELDS.items()}


class RecordFault(Exception):
    """A record whose mark, kind, length, checksum or body is wrong."""


def check_fields(kind: str, body: dict[str, typing.Any]) -> None:
    """Raise RecordFault if a body has a field too few, or one that its kind does not carry.

    >>> check_fields("hand", {"part": 0, "term": 1, "who": "a/1", "round": 2})
    Traceback (most recent call last):
    mothshed.transport.records.RecordFault: hand carries part, term, who, not part, round, term, who
    """
    carried = sorted(name for name, _code in SHAPES[kind])
    if sorted(body) != carried:
        raise RecordFault(f"{kind} carries {', '.join(carried)}, not {', '.join(sorted(body))}")


def pack(kind: str, **body: typing.Any) -> bytes:
    """A record as bytes; raises RecordFault if it is too long, KeyError if a field is missing."""
    parts = []
    for name, code in SHAPES[kind]:
        item = body[name]
        if code in SCALAR:
            parts.append(SCALAR[code].pack(item))
        else:
            text = item if code == "s" else json.dumps(item, separators=(",", ":"))
            data = text.encode()
            parts.append(LONG.pack(len(data)) + data)
    data = b"".join(parts)
    if len(data) > constants.RECORD_MOST:
        raise RecordFault(f"{kind} is too long to send: {len(data)} bytes")
    return HEAD.pack(MARK, NAMES[kind], len(data), zlib.crc32(data)) + data


def parse_head(head: bytes) -> tuple[str, int, int]:
    """(kind, bytes of the body, checksum) of a header; raises RecordFault."""
    mark, kind, size, check = HEAD.unpack(head)
    if mark != MARK:
        raise RecordFault("wrong mark")
    if kind not in KINDS:
        raise RecordFault(f"unknown kind {kind}")
    if size > constants.RECORD_MOST:
        raise RecordFault(f"length {size} is over the limit")
    return KINDS[kind], size, check


def parse_body(kind: str, data: bytes, check: int) -> dict[str, typing.Any]:
    """The fields of a body; raises RecordFault."""
    if zlib.crc32(data) != check:
        raise RecordFault("wrong checksum")
    body: dict[str, typing.Any] = {}
    at = 0
    try:
        for name, code in SHAPES[kind]:
            if code in SCALAR:
                body[name] = SCALAR[code].unpack_from(data, at)[0]
                at += SCALAR[code].size
                continue
            size = LONG.unpack_from(data, at)[0]
            at += LONG.size
            piece = data[at : at + size]
            if len(piece) != size:
                raise RecordFault("field runs past the end")
            at += size
            text = piece.decode()
            body[name] = text if code == "s" else json.loads(text)
    except (struct.error, UnicodeDecodeError, ValueError) as e:
        raise RecordFault(f"body of {kind}: {e}") from e
    if at != len(data):
        raise RecordFault(f"{len(data) - at} bytes left over in {kind}")
    return body


def unpack(data: bytes) -> tuple[str, dict[str, typing.Any]]:
    """(kind, fields) of one whole record; raises RecordFault."""
    if len(data) < HEAD.size:
        raise RecordFault("short head")
    kind, size, check = parse_head(data[: HEAD.size])
    if len(data) != HEAD.size + size:
        raise RecordFault("wrong length")
    return kind, parse_body(kind, data[HEAD.size :], check)
