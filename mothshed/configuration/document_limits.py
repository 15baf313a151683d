"""Limits on the JSON values that a configuration may hold, so that every process can encode and parse it.

A process parses a document inside of log entries and records, and with more functions on its stack than the one that
received it. What some process could not read must not enter the log.
"""

import json
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.constants as constants


def encoding_errors(value: typing.Any) -> list[str]:
    """Errors of a parsed JSON value that not every process could encode or parse; an empty list if there are none.

    >>> encoding_errors({"name": [chr(0xD800)]})
    ['document: a text holds half a character']
    """
    values: list[typing.Any] = [value]
    for _level in range(configuration_constants.MAX_JSON_LEVELS):
        if not all(has_utf8(item) for item in values if isinstance(item, str)):
            return ["document: a text holds half a character"]
        values = [inner for item in values if isinstance(item, (dict, list)) for inner in children(item)]
        if not values:
            return []
    return [f"document: nested more than {configuration_constants.MAX_JSON_LEVELS} levels deep"]


def children(item: dict[str, typing.Any] | list[typing.Any]) -> list[typing.Any]:
    """The values in a JSON object or list, and the names of an object."""
    return [*item, *item.values()] if isinstance(item, dict) else item


def has_utf8(text: str) -> bool:
    """Whether a text can be encoded as UTF-8."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def size_errors(sent: typing.Any) -> list[str]:
    """An error if a document is larger than one that an operator can send; its texts must have UTF-8."""
    size = len(json.dumps(sent, ensure_ascii=False, separators=(",", ":")).encode())
    if size <= constants.MAX_BODY_BYTES:
        return []
    return [f"document: {size} bytes, more than {constants.MAX_BODY_BYTES}"]
