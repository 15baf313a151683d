"""A stream's bytes cut into whole events, each with its id.

Only whole events are delivered, so that a stream taken up elsewhere goes on at a
clean boundary. An event ends with an empty line; bytes after the last one are kept
back until they are whole, and handed out as they are when the body ends.

>>> list(split([b"id: 1\\ndata: a\\n", b"\\nid: 2\\ndata: b\\n\\n", b"rest"]))
[(b'id: 1\\ndata: a\\n\\n', 1), (b'id: 2\\ndata: b\\n\\n', 2), (b'rest', None)]
"""

import re

END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)[ ]*(?=[\r\n]|$)")


def id_of(event):
    """
    >>> id_of(b"data: x\\r\\nid:7\\r\\n\\r\\n")
    7
    """
    found = ID.search(event)
    return int(found.group(1)) if found else None


def split(pieces):
    rest = b""
    for piece in pieces:
        rest += piece
        at = 0
        for end in END.finditer(rest):
            event, at = rest[at : end.end()], end.end()
            yield event, id_of(event)
        rest = rest[at:]
    if rest:
        yield rest, None
