"""Reads what the stand-ins recorded: asks of user agents, and sends and runs at replicas."""

import collections


def runs(ledger, role=None):
    return [r for r in ledger if r["kind"] == "run" and (role is None or r["role"] == role)]


def bounced(row):
    return row["end"] == "refused" or bool(row["status"]) and row["verdict"] == "not_run"


def asks(history):
    """id -> its asks, in the order they were sent."""
    found = collections.defaultdict(list)
    for row in sorted(history, key=lambda r: r["sent"]):
        found[row["id"]].append(row)
    return found


def arrivals(ledger):
    """Sends as they reach a replica; a pull or a queue there may delay the run itself."""
    return [r for r in ledger if r["kind"] == "seen" and r["role"] and not r.get("older")]
