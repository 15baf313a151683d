"""Reads what the stand-ins recorded: attempts of user agents, and sends and runs at replicas."""

import collections
import typing

Row: typing.TypeAlias = dict[str, typing.Any]
Rows: typing.TypeAlias = list[Row]


def runs(ledger: Rows, role: str | None = None) -> Rows:
    """Return the runs, or only those in one role."""
    return [row for row in ledger if row["kind"] == "run" and (role is None or row["role"] == role)]


def rejected(row: Row) -> bool:
    """Tell whether the user agent learned that its request was rejected and had not run."""
    return row["end"] == "refused" or bool(row["status"]) and row["verdict"] == "not_run"


def attempts_by_id(history: Rows) -> dict[str, Rows]:
    """Map each request id to its attempts, in the order in which they were sent."""
    attempts = collections.defaultdict(list)
    for row in sorted(history, key=lambda row: row["sent"]):
        attempts[row["id"]].append(row)
    return attempts


def arrivals(ledger: Rows) -> Rows:
    """Return the sends when they reach a replica; a pull or its queue may delay the run itself."""
    return [row for row in ledger if row["kind"] == "seen" and row["role"] and not row.get("older")]
