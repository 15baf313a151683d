"""The log buffer: eliot messages kept in memory, written out when something goes wrong.

In ordinary running only rare changes of state are written as they happen (`report`): who leads
a part, who votes in it, when leases were missing, what a process had counted. All else stays in
memory. `failure` records a failure and writes the whole buffer, as JSON lines, to the place
named at start (a file or standard error), at most once in a few seconds so that a storm
stays readable.
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
import typing

import eliot

import mothshed.constants as constants

MESSAGES = collections.deque(maxlen=constants.MAX_LOG_BUFFER_MESSAGES)
JOURNALS = []
STATE = {"path": None, "last": -1e9, "name": "", "on": False}
LOCK = threading.Lock()


class RateLimiter:
    """How many lines may still be reported now: a storm of changes must not cost its process the time to serve.

    >>> limiter = RateLimiter(2, per_second=1.0)
    >>> [limiter.take(at) for at in (0.0, 0.0, 0.0, 1.0, 1.5)]
    [True, True, False, True, False]
    """

    def __init__(self, burst: int, per_second: float) -> None:
        self.burst, self.per_second = burst, per_second
        self.available, self.updated_at = float(burst), 0.0

    def take(self, now: float) -> bool:
        """Whether one more line may be written at this moment, in seconds."""
        self.available = min(float(self.burst), self.available + (now - self.updated_at) * self.per_second)
        self.updated_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


REPORT_LIMITER = RateLimiter(constants.MAX_REPORT_BURST_LINES, constants.REPORT_LINES_PER_S)


def handle_message(message: dict[str, typing.Any]) -> None:
    """Take a message of the log library: into memory, or out at once if it is a report within the rate limit."""
    if not message.pop("report", False):
        MESSAGES.append(message)
        return
    with LOCK:
        allowed = REPORT_LIMITER.take(time.monotonic())
        if allowed:
            write_text(json_line(message))
    if not allowed:
        MESSAGES.append(message)


def start(name: str, path: str | None = None) -> None:
    """Name the process in its log lines, and write them to this file from now on; standard error without one."""
    STATE.update(name=name, path=path)
    if not STATE["on"]:
        STATE["on"] = True
        eliot.add_destinations(handle_message)


def attach_journal(journal: typing.Any) -> None:
    """The journal's events are written out with the log buffer from now on."""
    JOURNALS.append(journal)


def note(kind: str, **fields: typing.Any) -> None:
    """Keep a message in memory."""
    eliot.log_message(message_type=kind, **fields)


def report(kind: str, **fields: object) -> None:
    """Write a rare change of state at once; beyond the rate limit it is kept in memory like a note."""
    note(kind, report=True, **fields)


def report_limited(limiter: RateLimiter, kind: str, **fields: object) -> None:
    """Report what a rate limiter of its own lets through; the rest is kept in memory.

    Many changes of one kind then leave the lines of all other kinds alone.
    """
    note(kind, report=limiter.take(time.monotonic()), **fields)


def failure(kind: str, error: BaseException | None = None, **fields: typing.Any) -> None:
    """Keep a failure, and write all that is in memory unless that was done in the last seconds."""
    if error is not None:
        fields["error"] = "".join(traceback.format_exception(error))
    note(kind, trouble=True, **fields)
    with LOCK:
        elapsed_s = time.monotonic() - STATE["last"]
        if elapsed_s > 5.0:
            STATE["last"] = time.monotonic()
            write()


def write() -> None:
    """Write and forget all that is in memory, with the journals' events that were not written before."""
    events = [{"message_type": kind, **event} for journal in JOURNALS for kind, event in journal.unwritten_events()]
    if events:
        note("journal_written", at=JOURNALS[0].now(), events=len(events))
    rows = "".join(json_line(row) for row in [*MESSAGES, *events])
    MESSAGES.clear()
    write_text(rows)


def json_line(row: dict[str, object]) -> str:
    """One row of the log as a JSON line."""
    return json.dumps({**row, "process": STATE["name"]}, default=str) + "\n"


def write_text(text: str) -> None:
    """Append lines to the log buffer's file, or to standard error."""
    if STATE["path"]:
        with open(STATE["path"], "a") as file:
            file.write(text)
    else:
        sys.stderr.write(text)
