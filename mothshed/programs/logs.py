"""Reading daemons' logs: several files of JSON lines, merged by time.

The files are what `log_buffer.write` made: one JSON object a line, each with its moment,
its kind, the process and its own fields. The moments of a journal's events count since
boot; the latest message of their process that bears both moments sets them in. A line that is none of these (another
program's words on standard error, a line torn by a kill) is passed over and counted.
Moments are the machines' own wall clocks: lines of two machines may stand in the
wrong order by as much as these differ.

>>> format_row({"timestamp": 0.5, "message_type": "free", "process": "route-1", "outcome": "done", "task_uuid": "x"})
'1970-01-01T00:00:00.500Z route-1 free outcome=done'
"""

import datetime
import json
import pathlib

LEADING_FIELDS = ("timestamp", "message_type", "process")
ELIOT_FIELDS = ("task_uuid", "task_level")  # eliot's own marks; nothing here makes tasks of several messages


def timestamp_of(row):
    """Raises if the row has none that is a time."""
    return datetime.datetime.fromtimestamp(row["timestamp"], datetime.UTC)


def parse_row(text, boot_times):
    """The log row that a line of a file holds, or None. boot_times: process -> when it counts from, kept up here."""
    try:
        row = json.loads(text)
        name = row.get("process")
        if "timestamp" not in row:
            row["timestamp"] = boot_times[name] + row.pop("at")
        elif "at" in row:
            boot_times[name] = row["timestamp"] - row["at"]
        timestamp_of(row)
        return row if "message_type" in row else None
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError, OSError, RecursionError):
        return None


def read(paths, request=None):
    """(rows by time, lines passed over); request: only the rows of that request id. Raises OSError."""
    rows, skipped = [], 0
    for path in paths:
        boot_times = {}
        with pathlib.Path(path).open(errors="replace") as file:
            for text in file:
                row = parse_row(text, boot_times)
                if row is None:
                    skipped += bool(text.strip())
                elif request is None or row.get("request") == request:
                    rows.append(row)
    return sorted(rows, key=lambda row: row["timestamp"]), skipped


def format_value(value):
    """A value on one line: text as it is while it has neither spaces nor quotes."""
    if isinstance(value, str) and value and value.isprintable() and not set(value) & set(' "='):
        return value
    return json.dumps(value)


def format_row(row):
    """Give a row as one line: moment, process, kind and its other fields."""
    fields = [
        f"{field}={format_value(value)}" for field, value in row.items() if field not in LEADING_FIELDS + ELIOT_FIELDS
    ]
    timestamp = timestamp_of(row).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return " ".join([timestamp, row.get("process") or "-", str(row["message_type"]), *fields])
