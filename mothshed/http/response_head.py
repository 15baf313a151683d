"""Heads of responses: each is read and validated whole before anything of it is used."""

import dataclasses
import enum
import http.client
import re

import mothshed.http.constants as constants
import mothshed.http.message_grammar as message_grammar
import mothshed.http.response_rules as response_rules

LENGTH = re.compile(r"[0-9]{1,15}")


class Framing(enum.Enum):
    """What shows where the body of a response ends (RFC 9112, section 6.3)."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "end of the connection"


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """The head of a final response."""

    status_line: message_grammar.StatusLine
    fields: list[message_grammar.Field]
    framing: Framing

    def body_bytes(self) -> int | None:
        """Return the length of the body in bytes, or None if the head does not say it."""
        if self.framing is Framing.NO_BODY:
            return 0
        return int(values_of(self.fields, "content-length")[0]) if self.framing is Framing.LENGTH else None

    def message(self) -> http.client.HTTPMessage:
        """Return the fields as the standard library does."""
        message = http.client.HTTPMessage()
        for name, value in self.fields:
            message[name] = value
        return message


def read_head(file: message_grammar.LineFile, method: str) -> ResponseHead:
    """Read the head of the response to a request of this method, and skip heads of status 100 before it.

    Raises MalformedMessageError, or http.client.RemoteDisconnected if the connection ends before the head does.
    """
    reader = message_grammar.MessageReader(file, constants.MAX_RESPONSE_HEAD_BYTES)
    while True:
        status_line, fields = reader.read_status_line(), reader.read_fields()
        if status_line.status >= http.client.OK:
            return ResponseHead(status_line, fields, framing_of(method, status_line.status, fields))
        if status_line.status != http.client.CONTINUE:
            raise message_grammar.MalformedMessageError("the status is not final")


def values_of(fields: list[message_grammar.Field], name: str) -> list[str]:
    """Return the values of the fields of a name in lower case."""
    return [field.value for field in fields if field.name.lower() == name]


def framing_of(method: str, status: int, fields: list[message_grammar.Field]) -> Framing:
    """Return what shows the end of the body; raises MalformedMessageError if several fields do, or one unclearly."""
    lengths = values_of(fields, "content-length")
    codings = [coding.lower() for coding in values_of(fields, "transfer-encoding")]
    if codings and (lengths or codings != ["chunked"]):
        raise message_grammar.MalformedMessageError("head says in two ways where its body ends")
    if len(lengths) > 1 or lengths and not LENGTH.fullmatch(lengths[0]):
        raise message_grammar.MalformedMessageError("head says no clear length")
    if not response_rules.has_body(method, status):
        return Framing.NO_BODY
    if codings:
        return Framing.CHUNKS
    return Framing.LENGTH if lengths else Framing.CONNECTION
