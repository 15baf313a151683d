"""Reads the configuration's history back at the end of a run, with what became of each write."""

import collections.abc
import typing
import urllib.parse

IDS_IN_ONE_QUESTION = 40  # ids; keeps the path short
HISTORY = "/configuration/history"
Answer = dict[str, typing.Any]


def read_back(get: collections.abc.Callable[[str], Answer | None], ids: collections.abc.Sequence[str]) -> Answer | None:
    """The history with `taken`, id -> sequence, for these writes; None if it could not be read.

    get: asks for a path and gives the answer, or None if there was none.
    """
    final = get(HISTORY)
    if final is None:
        return None
    final = {**final, "taken": {}}
    for at in range(0, len(ids), IDS_IN_ONE_QUESTION):
        query = urllib.parse.urlencode([("id", name) for name in ids[at : at + IDS_IN_ONE_QUESTION]])
        said = get(f"{HISTORY}?{query}")
        if said is None:
            return None
        final["taken"].update(said["taken"])
    return final
