"""Reads the JSON-lines log files of several daemons and merges them by time.

`log_buffer.write` writes the files: one JSON object per line with its timestamp, kind, process and further fields.
Events of a journal are timed from boot; the latest message of the same process that has both times converts them to
wall-clock time. Lines that are no log rows (other output on standard error, a line cut off by a kill) are skipped
and counted. Timestamps come from each machine's wall clock, so lines of two machines may be out of order by the
difference of their clocks.

>>> format_row({"timestamp": 0.5, "message_type": "free", "process": "route-1", "outcome": "done", "task_uuid": "x"})
'1970-01-01T00:00:00.500Z route-1 free outcome=done'
"""

import datetime
import json
import pathlib

LEADING_FIELDS = ("timestamp", "message_type", "process")
ELIOT_FIELDS = ("task_uuid", "task_level")  # added by eliot; not shown, as no task here has more than one message


def timestamp_of(row):
    """Return the row's time in UTC; raises if its timestamp is missing or invalid."""
    return datetime.datetime.fromtimestamp(row["timestamp"], datetime.UTC)


def parse_row(text, boot_times):
    """Return the log row of a line, or None. boot_times: wall-clock boot time by process, updated here."""
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
    """Return (rows by time, number of skipped lines). request: only rows of this request id. Raises OSError."""
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
    """Return a value as text on one line; strings without spaces, quotes or `=` stay unquoted."""
    if isinstance(value, str) and value and value.isprintable() and not set(value) & set(' "='):
        return value
    return json.dumps(value)


def format_row(row):
    """Return a row as one line: timestamp, process, kind and the other fields."""
    fields = [
        f"{field}={format_value(value)}" for field, value in row.items() if field not in LEADING_FIELDS + ELIOT_FIELDS
    ]
    timestamp = timestamp_of(row).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return " ".join([timestamp, row.get("process") or "-", str(row["message_type"]), *fields])
