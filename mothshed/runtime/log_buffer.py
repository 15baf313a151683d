"""The log buffer: keeps eliot messages in memory and writes them out after a failure.

In normal operation only rare state changes are written at once (`report`): the leader and the
voters of a part, missing leases, the counters of a process. All other messages stay in memory.
`failure` records a failure and writes the whole buffer as JSON lines to the file given at start
or to standard error, at most once every few seconds so that the log stays readable when many
failures occur.
Events of the process's journal that were not yet written are written with the buffer.
Their timestamps count from boot. The message `journal_written` before them carries the
same moment as a boot time (`at`) and as the log library's timestamp, from which
`mothshed logs` computes the wall-clock time of these events.
"""

import atexit
import collections
import json
import sys
import threading
import time
import traceback
import typing

import eliot

import mothshed.constants as constants
import mothshed.runtime.background_writer as background_writer
import mothshed.runtime.constants as runtime_constants

MESSAGES = collections.deque(maxlen=constants.MAX_LOG_BUFFER_MESSAGES)
JOURNALS = []
STATE = {"path": None, "last": -1e9, "name": "", "on": False}
LOCK = threading.Lock()


class RateLimiter:
    """A token bucket that limits the log lines, so that many changes at once don't slow down their process.

    >>> limiter = RateLimiter(2, per_second=1.0)
    >>> [limiter.take(at) for at in (0.0, 0.0, 0.0, 1.0, 1.5)]
    [True, True, False, True, False]
    """

    def __init__(self, burst: int, per_second: float) -> None:
        self.burst, self.per_second = burst, per_second
        self.available, self.updated_at = float(burst), 0.0

    def take(self, now: float) -> bool:
        """Return whether one more line may be written at this time, in seconds; if so, count it."""
        self.available = min(float(self.burst), self.available + (now - self.updated_at) * self.per_second)
        self.updated_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


REPORT_LIMITER = RateLimiter(constants.MAX_REPORT_BURST_LINES, constants.REPORT_LINES_PER_S)


def handle_message(message: dict[str, typing.Any]) -> None:
    """Keep a message of the log library in memory, or write it at once if it is a report within the rate limit."""
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
    """Set the process name of the log lines and the file they are written to; standard error if there is none."""
    STATE.update(name=name, path=path)
    if not STATE["on"]:
        STATE["on"] = True
        eliot.add_destinations(handle_message)


def write_in_background() -> None:
    """Write in a thread of its own from now on, so that a log that nobody reads holds up nothing; for daemons."""
    BACKGROUND_WRITER.start()
    atexit.register(flush, runtime_constants.STOP_FLUSH_TIMEOUT_S)


def flush(timeout_s: float) -> bool:
    """Wait until all lines are written, for a number of seconds at most; return whether they are."""
    return BACKGROUND_WRITER.flush(timeout_s)


def attach_journal(journal: typing.Any) -> None:
    """Write the events of this journal with the log buffer from now on."""
    JOURNALS.append(journal)


def note(kind: str, **fields: typing.Any) -> None:
    """Keep a message in memory."""
    eliot.log_message(message_type=kind, **fields)


def report(kind: str, **fields: object) -> None:
    """Write a rare state change at once; above the rate limit it is kept in memory like a note."""
    note(kind, report=True, **fields)


def report_limited(limiter: RateLimiter, kind: str, **fields: object) -> None:
    """Report within a separate rate limit; messages above it are kept in memory.

    Many changes of one kind then don't use up the rate limit of the other kinds.
    """
    note(kind, report=limiter.take(time.monotonic()), **fields)


def failure(kind: str, error: BaseException | None = None, **fields: typing.Any) -> None:
    """Record a failure, and write the buffer unless it was written within the last 5 seconds."""
    if error is not None:
        fields["error"] = "".join(traceback.format_exception(error))
    note(kind, trouble=True, **fields)
    with LOCK:
        elapsed_s = time.monotonic() - STATE["last"]
        if elapsed_s > 5.0:
            STATE["last"] = time.monotonic()
            write()


def write() -> None:
    """Write and clear the messages in memory, with the journal events that were not yet written."""
    events = [{"message_type": kind, **event} for journal in JOURNALS for kind, event in journal.unwritten_events()]
    if events:
        note("journal_written", at=JOURNALS[0].now(), events=len(events))
    rows = "".join(json_line(row) for row in [*MESSAGES, *events])
    MESSAGES.clear()
    write_text(rows)


def json_line(row: dict[str, object]) -> str:
    """Return one log message as a JSON line with the process name."""
    return json.dumps({**row, "process": STATE["name"]}, default=str) + "\n"


def write_text(text: str) -> None:
    """Append lines to the log file, or to standard error if there is none; a daemon doesn't wait for it."""
    if BACKGROUND_WRITER.is_started:
        BACKGROUND_WRITER.write(text)
    else:
        write_now(text)


def write_now(text: str) -> None:
    """Append lines to the log file, or to standard error if there is none. Raises OSError; waits for its reader."""
    if STATE["path"]:
        with open(STATE["path"], "a") as file:
            file.write(text)
    else:
        sys.stderr.write(text)
        sys.stderr.flush()


BACKGROUND_WRITER = background_writer.BackgroundWriter(
    write_now, lambda count: report("log_writes_dropped", count=count)
)
