"""The log ring: eliot messages kept in memory, written out when something goes wrong.

Nothing is logged to a file in ordinary running. `trouble` records a failure and
writes the whole ring, as JSON lines, to the place named at start (a folder file
or standard error), at most once in a few seconds so that a storm stays readable.
The events of the process's journal that were not written before go out with it.
Their moments count since boot; a message before them, `journal_written`, bears such
a moment (`at`) beside the log library's own, and by it `mothshed logs` sets them in.
"""

import collections
import json
import sys
import threading
import time
import traceback

import eliot

import mothshed.common.constants as constants

ROWS = collections.deque(maxlen=constants.RING_MOST)
JOURNALS = []
STATE = {"path": None, "last": -1e9, "name": "", "on": False}
LOCK = threading.Lock()


def keep(message):
    ROWS.append(message)


def start(name, path=None):
    STATE.update(name=name, path=path)
    if not STATE["on"]:
        STATE["on"] = True
        eliot.add_destinations(keep)


def hold(journal):
    """The journal's events are written out with the ring from now on."""
    JOURNALS.append(journal)


def note(kind, **fields):
    eliot.log_message(message_type=kind, **fields)


def trouble(kind, error=None, **fields):
    if error is not None:
        fields["error"] = "".join(traceback.format_exception(error))
    note(kind, trouble=True, **fields)
    with LOCK:
        span = time.monotonic() - STATE["last"]
        if span > 5.0:
            STATE["last"] = time.monotonic()
            write()


def write():
    events = [{"message_type": kind, **event} for journal in JOURNALS for kind, event in journal.fresh()]
    if events:
        note("journal_written", at=JOURNALS[0].now(), events=len(events))
    rows = "".join(json.dumps({**row, "process": STATE["name"]}, default=str) + "\n" for row in [*ROWS, *events])
    ROWS.clear()
    if STATE["path"]:
        with open(STATE["path"], "a") as f:
            f.write(rows)
    else:
        sys.stderr.write(rows)
