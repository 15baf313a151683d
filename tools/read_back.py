"""Reads back the configuration history at the end of a run, with the outcome of each write."""

import collections.abc
import typing
import urllib.parse

IDS_PER_QUERY = 40  # keeps the path short
HISTORY_PATH = "/configuration/history"
Response = dict[str, typing.Any]


def read_back(
    get: collections.abc.Callable[[str], Response | None], ids: collections.abc.Sequence[str]
) -> Response | None:
    """Return the history with `taken`, id -> sequence, for these writes; None if it could not be read.

    get: requests a path and returns the response, or None if there was none.
    """
    final = get(HISTORY_PATH)
    if final is None:
        return None
    final = {**final, "taken": {}}
    for start in range(0, len(ids), IDS_PER_QUERY):
        query = urllib.parse.urlencode([("id", request_id) for request_id in ids[start : start + IDS_PER_QUERY]])
        response = get(f"{HISTORY_PATH}?{query}")
        if response is None:
            return None
        final["taken"].update(response["taken"])
    return final
