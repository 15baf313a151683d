"""Rules of the checker on what callers get: extra sends, memory freed, refusals, lost answers.

Like `tools.judge`, each rule is one function that returns its breaches as texts.
"""

import collections
import typing

import tools.recorded as recorded

Spans: typing.TypeAlias = dict[str, list[tuple[float, float | None]]]  # from and until, by replica

BUDGET = (10.0, 0.2, 2)  # window, share of the requests, one small slack for the whole fleet


def few_extras(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """A request's first prefill and first decode are its own; every other send a replica saw is extra.

    The traffic is the requests, counted at their first prefill; each further ask of
    a user agent is a request again.
    """
    span, share, slack = BUDGET
    by = recorded.asks(history)
    count: collections.Counter[tuple[str, str]] = collections.Counter()
    first: list[float] = []
    more: list[float] = []
    for row in sorted((r for r in ledger if r["kind"] == "seen"), key=lambda r: r["at"]):
        key = (row["request"], row["role"])
        count[key] += 1
        if count[key] > max(1, sum(r["sent"] <= row["at"] for r in by.get(row["request"], ()))):
            more.append(row["at"])
        elif row["role"] == "prefill":
            first.append(row["at"])
    found = []
    for at in more:
        requests = sum(at - span < time <= at for time in first)
        extras = sum(at - span < time <= at for time in more)
        if extras > share * requests + slack:
            found.append(f"{extras} extra sends against {requests} requests in the 10 s before {at:.2f}")
    return found


def freed(ledger: recorded.Rows, upto: float, lapse: bool = True) -> list[str]:
    """Every export is taken away again: freed, gone with its engine or, where a router was lost, lapsed."""
    out = {(r["send"], r["engine"]) for r in ledger if r["kind"] == "free" or lapse and r["kind"] == "lapse"}
    alive = {r["replica"]: r.get("engine") for r in ledger if r["kind"] in ("start", "gone")}
    return [
        f"{r['request']} is still held at {r['replica']}"
        for r in ledger
        if r["kind"] == "export"
        and (r["send"], r["engine"]) not in out
        and alive.get(r["replica"]) == r["engine"]
        and r["at"] < upto
    ]


def answered_at_once(history: recorded.Rows, most: float = 4.0) -> list[str]:
    """A bounce never comes later than the waits for a place and a lease allow."""
    return [
        f"{r['id']} was bounced after {r['done'] - r['sent']:.2f} s"
        for r in history
        if r["status"] == 503 and r["done"] - r["sent"] > most
    ]


def nothing_dropped(
    history: recorded.Rows,
    ledger: recorded.Rows,
    hits: dict[str, list[tuple[float, float]]],
    places: dict[str, str],
    keepers: typing.Sequence[str] = (),
) -> list[str]:
    """What ran into nothing unplanned is not dropped, whatever stops or changes meanwhile.

    hits: machine -> spans [from, until] of what befell it; places: router's address ->
    machine. A request lost, broken or failed must have met a hit of its own router, of
    a replica that saw it, or of a majority of the keepers.
    """
    saw = collections.defaultdict(set)
    for row in ledger:
        if row["kind"] == "seen":
            saw[row["request"]].add(row["replica"])

    def met(name: str, row: recorded.Row) -> bool:
        return any(since <= row["done"] and until >= row["sent"] for since, until in hits.get(name, ()))

    found = []
    for row in history:
        if row["end"] not in ("lost", "broken") and row["verdict"] != "may_have_run":
            continue
        router: str = row["router"]
        own: set[str] = {places.get(router, router)} | saw[row["id"]]
        if not any(met(n, row) for n in own) and 2 * sum(met(k, row) for k in keepers) <= len(keepers):
            found.append(f"{row['id']} ended {row['end']} {row['status']} {row['verdict']} {row.get('error', '')}")
    return found


def nothing_rejected(history: recorded.Rows) -> list[str]:
    """Where only planned things happen at the usual load: no 503 but a stopping router's."""
    return [
        f"{r['id']} was bounced: {r['error']}" for r in history if r["status"] == 503 and "stopping" not in r["error"]
    ]


def none_starved(history: recorded.Rows, rushing: str, share: float = 0.95) -> list[str]:
    """Of the other tenants' requests, nearly all are served while one tenant rushes."""
    last = {}
    for row in history:
        if row["tenant"] != rushing:
            last[row["id"]] = row["end"] == "whole"
    good = sum(last.values())
    return [] if good >= share * len(last) else [f"only {good} of {len(last)} requests of others were served"]
