"""Reads what the stand-ins recorded: asks of user agents, and sends and runs at replicas."""

import collections
import typing

Row: typing.TypeAlias = dict[str, typing.Any]
Rows: typing.TypeAlias = list[Row]


def runs(ledger: Rows, role: str | None = None) -> Rows:
    """Select the runs, or only those in one role."""
    return [row for row in ledger if row["kind"] == "run" and (role is None or row["role"] == role)]


def rejected(row: Row) -> bool:
    """Tell whether the user agent learned that its request was refused and had not run."""
    return row["end"] == "refused" or bool(row["status"]) and row["verdict"] == "not_run"


def asks(history: Rows) -> dict[str, Rows]:
    """Map each request's id to its asks, in the order they were sent."""
    found = collections.defaultdict(list)
    for row in sorted(history, key=lambda row: row["sent"]):
        found[row["id"]].append(row)
    return found


def arrivals(ledger: Rows) -> Rows:
    """Select sends as they reach a replica; a pull or a queue there may delay the run itself."""
    return [row for row in ledger if row["kind"] == "seen" and row["role"] and not row.get("older")]
