"""The start of a replica's response to a delivered request, and what its head lets follow.

The head of a stream that may be resumed is sent before it is known how many runs its body comes from. So it tells the
client nothing that holds for the bytes of the first run alone, such as their length or digest: the end of the body is
shown by its framing. A head that can't be separated from the bytes of its run, because they are encoded or a range,
keeps all its fields, and no other run follows under it.
"""

import collections.abc
import dataclasses
import typing

import mothshed.http.response_rules as response_rules

Events = collections.abc.Iterator[tuple[bytes, int | None]]  # an event and its id

HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "proxy-authorization",
    "proxy-authenticate",
    "expect",
}
# Fields that hold for all bytes of one run: RFC 9110 (length, validators, ranges), RFC 9530 and RFC 1864 (digests).
SINGLE_RUN_HEADERS = {
    "content-length",
    "content-digest",
    "repr-digest",
    "digest",
    "content-md5",
    "etag",
    "last-modified",
    "accept-ranges",
}


@dataclasses.dataclass(frozen=True)
class ResponseStart:
    """A response whose head and first event have arrived, or the whole of it."""

    reply: typing.Any  # http.reply.Reply: status, headers, and the connection while the body is read
    first_event: bytes  # or the whole body
    event_id: int | None  # of the first event
    remaining_events: Events
    is_whole: bool = False  # it was read to its end before anything of it is delivered


def connection_headers(headers: typing.Any) -> set[str]:
    """The names, in lower case, of the fields that concern one connection only."""
    listed = {
        option.strip().lower()
        for name, value in headers.items()
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return HOP_BY_HOP_HEADERS | listed


def media_type(reply: typing.Any) -> str:
    """The media type of a response, in lower case and without parameters."""
    return str(reply.headers.get("content-type", "")).partition(";")[0].strip().lower()


def is_plain_body(reply: typing.Any) -> bool:
    """Whether the bytes of a response are its content from the start on, neither encoded nor a range of it."""
    coding = reply.headers.get("content-encoding", "identity").strip().lower()
    return reply.status == 200 and coding in ("identity", "") and "content-range" not in reply.headers


def may_be_continued(head: typing.Any) -> bool:
    """Whether the events of another run may follow under this head."""
    return is_plain_body(head)


def continues(head: typing.Any, reply: typing.Any) -> bool:
    """Whether a response may follow under a head that was sent already."""
    return may_be_continued(head) and is_plain_body(reply) and media_type(head) == media_type(reply)


def headers_for_client(start: ResponseStart, method: str, may_be_resumed: bool) -> list[tuple[str, str]]:
    """The fields of a response that are passed on to the client.

    may_be_resumed: events of another run may follow, so that fields that hold for one run only are left out.
    """
    reply = start.reply
    has_body = response_rules.has_body(method, reply.status)
    dropped = connection_headers(reply.headers) - {"content-length"}
    if may_be_resumed and has_body:
        dropped |= SINGLE_RUN_HEADERS
    fields = [(name, value) for name, value in reply.headers.items() if name.lower() not in dropped]
    if start.is_whole and has_body and "content-length" not in reply.headers:
        fields.append(("Content-Length", str(len(start.first_event))))
    return fields
