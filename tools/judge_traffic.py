"""Checker rules on extra sends, released KV memory, rejections and lost responses.

As in `tools.judge`, each rule is one function that returns its violations as texts.
"""

import collections
import typing

import tools.recorded as recorded

Spans: typing.TypeAlias = dict[str, list[tuple[float, float | None]]]  # replica -> spans (from, until)

EXTRA_SENDS_BUDGET = (10.0, 0.2, 2)  # window in s, share of the requests, additional sends for the whole fleet


def few_extras(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """Extra sends stay within the budget: all sends but the first prefill and first decode of a request.

    Requests are counted at their first prefill; each further attempt of a user agent
    counts as a request of its own.
    """
    window, share, slack = EXTRA_SENDS_BUDGET
    attempts = recorded.attempts_by_id(history)
    sends: collections.Counter[tuple[str, str]] = collections.Counter()
    prefill_times: list[float] = []
    extra_times: list[float] = []
    for row in sorted((r for r in ledger if r["kind"] == "seen"), key=lambda r: r["at"]):
        key = (row["request"], row["role"])
        sends[key] += 1
        if sends[key] > max(1, sum(r["sent"] <= row["at"] for r in attempts.get(row["request"], ()))):
            extra_times.append(row["at"])
        elif row["role"] == "prefill":
            prefill_times.append(row["at"])
    found = []
    for at in extra_times:
        requests = sum(at - window < time <= at for time in prefill_times)
        extras = sum(at - window < time <= at for time in extra_times)
        if extras > share * requests + slack:
            found.append(f"{extras} extra sends against {requests} requests in the 10 s before {at:.2f}")
    return found


def freed(ledger: recorded.Rows, until: float, lapse: bool = True) -> list[str]:
    """Every export ends: it is freed, gone with its engine or, where a router was lost, lapsed."""
    released = {(r["send"], r["engine"]) for r in ledger if r["kind"] == "free" or lapse and r["kind"] == "lapse"}
    engines = {r["replica"]: r.get("engine") for r in ledger if r["kind"] in ("start", "gone")}
    return [
        f"{r['request']} is still held at {r['replica']}"
        for r in ledger
        if r["kind"] == "export"
        and (r["send"], r["engine"]) not in released
        and engines.get(r["replica"]) == r["engine"]
        and r["at"] < until
    ]


def answered_at_once(history: recorded.Rows, max_delay: float = 4.0) -> list[str]:
    """A rejection never takes longer than the time limits of the waits for a slot and a lease."""
    return [
        f"{r['id']} was rejected after {r['done'] - r['sent']:.2f} s"
        for r in history
        if r["status"] == 503 and r["done"] - r["sent"] > max_delay
    ]


def nothing_dropped(
    history: recorded.Rows,
    ledger: recorded.Rows,
    outages: dict[str, list[tuple[float, float]]],
    machines: dict[str, str],
    keepers: typing.Sequence[str] = (),
) -> list[str]:
    """A request not affected by an unplanned outage is not dropped, whatever stops or changes meanwhile.

    outages: machine -> spans [from, until] of its outages; machines: router's address ->
    machine. A request lost, broken or failed must overlap an outage of its router, of
    a replica that saw it, or of a majority of the keepers.
    """
    seen_by = collections.defaultdict(set)
    for row in ledger:
        if row["kind"] == "seen":
            seen_by[row["request"]].add(row["replica"])

    def was_affected(name: str, row: recorded.Row) -> bool:
        return any(since <= row["done"] and until >= row["sent"] for since, until in outages.get(name, ()))

    found = []
    for row in history:
        if row["end"] not in ("lost", "broken") and row["verdict"] != "may_have_run":
            continue
        router: str = row["router"]
        involved: set[str] = {machines.get(router, router)} | seen_by[row["id"]]
        if not any(was_affected(name, row) for name in involved) and 2 * sum(
            was_affected(keeper, row) for keeper in keepers
        ) <= len(keepers):
            found.append(f"{row['id']} ended {row['end']} {row['status']} {row['verdict']} {row.get('error', '')}")
    return found


def nothing_rejected(history: recorded.Rows) -> list[str]:
    """With only planned events at the usual load, no 503 except from a stopping router."""
    return [
        f"{r['id']} was rejected: {r['error']}" for r in history if r["status"] == 503 and "stopping" not in r["error"]
    ]


def none_starved(history: recorded.Rows, rushing: str, share: float = 0.95) -> list[str]:
    """Nearly all requests of the other tenants are served while one tenant sends far too many."""
    served = {}
    for row in history:
        if row["tenant"] != rushing:
            served[row["id"]] = row["end"] == "whole"
    served_count = sum(served.values())
    return (
        []
        if served_count >= share * len(served)
        else [f"only {served_count} of {len(served)} requests of others were served"]
    )
