"""The independent checker: recorded history against "What must never happen".

It reads what stand-ins recorded (rows of user agents, ledgers of replicas, the
list's history, the operator's writes) and nothing of the system's own. Each rule
is one function that returns its breaches as texts; an empty list is a pass.
"""

import collections
import collections.abc

import tools.deployments as deployments
import tools.judge_traffic as judge_traffic
import tools.recorded as recorded

Spans = judge_traffic.Spans

GAP_OLD = 2.0  # s; after an acknowledgement nothing older is handled
GAP_BACK = 0.25  # s; after a replica saw the new one nothing falls back
GAP_LEAVE = 3.0  # s; after the list shows a replica leaving
GAP_TURN = 3.0  # s; between orders of two holders
GRACE = 0.15  # s; what real clocks and a loaded machine add; the simulator allows nothing


def never_twice(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """An unsafe request runs once in each role; a user agent's own repeat is a request of its own."""
    by = recorded.asks(history)
    count = collections.Counter((r["request"], r["role"]) for r in recorded.runs(ledger))
    found = []
    for (name, role), n in count.items():
        most = max(1, sum(not recorded.rejected(r) for r in by.get(name, ())))
        if n > most and not any(r["safe"] for r in by.get(name, ())):
            found.append(f"{name} ran {n} times as {role}")
    return found


def rejected_never_ran(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """Each run belongs to an ask that was not bounced, begun before it.

    One that was served is over by then, but for what a safe one left behind.
    """
    by, found = recorded.asks(history), []
    for run in recorded.runs(ledger):
        rows = by.get(run["request"], ())
        good = any(
            not recorded.rejected(r)
            and r["sent"] <= run["at"]
            and (r["safe"] or r["end"] != "whole" or run["at"] <= r["done"])
            for r in rows
        )
        if rows and not good:
            found.append(f"{run['request']} was bounced and ran as {run['role']} at {run['at']:.2f}")
    return found


def pieces(row: recorded.Row) -> list[list[str]]:
    """Split a row's text into its pieces: place, run and digest of each."""
    return [p.split(".") for p in row["text"].split()]


def whole_and_own(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """Each piece of text is whole, in order, of one run and from the request's own memory."""
    found = []
    ended = {r["run"] for r in ledger if r["kind"] == "decoded"}
    for row in history:
        try:
            got = [(int(at), run, digest) for at, run, digest in pieces(row)]
        except ValueError:
            found.append(f"{row['id']}: a piece is not whole: {row['text'][-40:]!r}")
            continue
        if row["text"] and f"cmpl-{row['id']}" != row.get("answer"):
            found.append(f"{row['id']}: got the answer of {row.get('answer')}")
        if any(digest != row["digest"] for _, _, digest in got):
            found.append(f"{row['id']}: text from another prompt's memory")
        if [at for at, _, _ in got] != list(range(len(got))):
            found.append(f"{row['id']}: pieces skipped or repeated")
        if len({run for _, run, _ in got}) > 1:
            found.append(f"{row['id']}: pieces of two runs joined")
        if row["end"] == "whole" and (len(got) != row["tokens"] or not {r for _, r, _ in got} <= ended):
            found.append(f"{row['id']}: success but not whole")
    return found


def own_memory(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """A decode continues from the memory of its own prompt."""
    return [
        f"{r['request']} continued from memory {r['memory']}, its prompt is {r['digest']}"
        for r in recorded.runs(ledger, "decode")
        if r["memory"] != r["digest"]
    ]


def new_after_ack(
    history: recorded.Rows, ledger: recorded.Rows, writes: recorded.Rows, grace: float = GRACE
) -> list[str]:
    """writes: rows {"sequence", "acked"} of accepted configurations."""
    found = []
    for row in recorded.arrivals(ledger):
        late = [w for w in writes if w["sequence"] > row["sequence"] and row["at"] > w["acked"] + GAP_OLD + grace]
        if late:
            found.append(
                f"{row['request']} ran under {row['sequence']} "
                f"{row['at'] - late[0]['acked']:.2f} s after {late[0]['sequence']} was acknowledged"
            )
    return found


def no_fall_back(history: recorded.Rows, ledger: recorded.Rows, grace: float = GRACE) -> list[str]:
    """Once a replica has seen a configuration, nothing older arrives after a short overlap."""
    found: list[str] = []
    newest: list[tuple[float, int]] = []  # newest: (time, sequence) each time a higher one is first seen
    for row in sorted(recorded.arrivals(ledger), key=lambda r: r["at"]):
        if not newest or row["sequence"] > newest[-1][1]:
            newest.append((row["at"], row["sequence"]))
        for at, sequence in newest:
            if sequence > row["sequence"] and row["at"] > at + GAP_BACK + grace:
                found.append(
                    f"{row['request']} ran under {row['sequence']} {row['at'] - at:.2f} s after {sequence} was seen"
                )
                break
    return found


def writes_kept(accepted: recorded.Rows, refused: collections.abc.Iterable[str], final: recorded.Row) -> list[str]:
    """accepted, refused: sequences/ids of writes; final: the history read back, with the record of taken orders."""
    rows = {r["id"]: r["sequence"] for r in final["rows"]}
    taken = final["taken"]
    found = [
        f"accepted {w['id']} is {taken.get(w['id'])} in the record, not {w['sequence']}"
        for w in accepted
        if taken.get(w["id"]) != w["sequence"] or rows.get(w["id"], w["sequence"]) != w["sequence"]
    ]
    newest = max((w["sequence"] for w in accepted), default=0)
    if newest and max(rows.values(), default=0) < newest:
        found.append(f"the history ends before {newest}, which was accepted")
    found += [f"refused {name} took effect" for name in refused if name in rows or taken.get(name) is not None]
    bases = collections.Counter(w["base"] for w in accepted if w.get("base") is not None)
    found += [f"{n} writes over {base} were accepted" for base, n in bases.items() if n > 1]
    return found


def leaving_left_alone(ledger: recorded.Rows, shown: Spans, grace: float = GRACE) -> list[str]:
    """shown: replica -> spans [from, until or None] in which the list showed it leaving."""
    return [
        f"{r['replica']} got {r['request']} {r['at'] - since:.2f} s after it was shown leaving"
        for r in recorded.arrivals(ledger)
        for since, until in shown.get(r["replica"], ())
        if r["at"] > since + GAP_LEAVE + grace and (until is None or r["at"] < until)
    ]


def orders_fenced(ledger: recorded.Rows, grace: float = GRACE) -> list[str]:
    """Orders to one replica come from one holder per fence, and fences never fall."""
    found = []
    by = collections.defaultdict(list)
    for row in ledger:
        if row["kind"] == "order":
            by[row["replica"]].append(row)
    for name, rows in by.items():
        rows.sort(key=lambda r: r["at"])
        who: dict[int, str] = {}
        for row in rows:
            if who.setdefault(row["standing"], row["holder"]) != row["holder"]:
                found.append(f"{name}: two holders with standing {row['standing']}")
        for a, b in zip(rows, rows[1:], strict=False):
            if a["holder"] != b["holder"] and b["at"] - a["at"] < GAP_TURN - grace:
                found.append(f"{name}: {a['holder']} and {b['holder']} took turns within {b['at'] - a['at']:.2f} s")
            if b["taken"] and b["standing"] < a["standing"]:
                found.append(f"{name}: standing fell")
    return found


def plain_left_alone(ledger: recorded.Rows) -> list[str]:
    """A replica of a service without a model gets no orders and no prompts."""
    return [
        f"{row['replica']} has no model and got {row['kind']} {row.get('role')} at {row['at']:.2f}"
        for row in ledger
        if row["replica"] == deployments.PLAIN_REPLICA and row["kind"] in ("order", "seen")
    ]


def all_rules(
    history: recorded.Rows,
    ledger: recorded.Rows,
    writes: recorded.Rows,
    shown: Spans,
    final: recorded.Row | None,
    refused: collections.abc.Iterable[str] = (),
    grace: float = GRACE,
) -> dict[str, list[str]]:
    """Map each rule to its breaches; `final` is the history read back, None where it was not read."""
    table = {
        "never twice": never_twice(history, ledger),
        "bounced never ran": rejected_never_ran(history, ledger),
        "whole and own": whole_and_own(history, ledger),
        "own memory": own_memory(history, ledger),
        "new after ack": new_after_ack(history, ledger, writes, grace),
        "no fall back": no_fall_back(history, ledger, grace),
        "leaving": leaving_left_alone(ledger, shown, grace),
        "orders fenced": orders_fenced(ledger, grace),
        "plain left alone": plain_left_alone(ledger),
        "few extras": judge_traffic.few_extras(history, ledger),
        "answered at once": judge_traffic.answered_at_once(history),
    }
    if final is not None:
        table["writes kept"] = writes_kept(writes, refused, final)
    return table
