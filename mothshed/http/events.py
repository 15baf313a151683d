"""Splits the bytes of an event stream (SSE) into whole events with their ids.

Only whole events are delivered, so that a stream can be resumed on another replica at
an event boundary. An event ends with an empty line. An incomplete event is held back
until its end arrives, and returned as it is when the body ends. In a body that has no
length and ends with its connection it is the only sign that the body was cut off.

>>> list(split_events([b"id: 1\\ndata: a\\n", b"\\nid: 2\\ndata: b\\n\\n", b"remainder"]))
[(b'id: 1\\ndata: a\\n\\n', 1), (b'id: 2\\ndata: b\\n\\n', 2), (b'remainder', None)]
"""

import re

import mothshed.http.http_client as http_client

END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)[ ]*(?=[\r\n]|$)")


def event_id(event):
    """Return the numeric id of an event, or None.

    >>> event_id(b"data: x\\r\\nid:7\\r\\n\\r\\n")
    7
    """
    match = ID.search(event)
    return int(match.group(1)) if match else None


def split_events(chunks, ends_with_connection=False):
    """Yield (event, its id); raises ExchangeError if the connection ends a body within an event."""
    remainder = b""
    for chunk in chunks:
        remainder += chunk
        start = 0
        for match in END.finditer(remainder):
            event, start = remainder[start : match.end()], match.end()
            yield event, event_id(event)
        remainder = remainder[start:]
    if remainder and ends_with_connection:
        raise http_client.ExchangeError("the last event is cut off", True)
    if remainder:
        yield remainder, None
