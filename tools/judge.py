"""The independent checker: recorded history against "What must never happen".

It reads what stand-ins recorded (rows of user agents, ledgers of replicas, the
list's history, the operator's writes) and nothing of the system's own. Each rule
is one function that returns its breaches as texts; an empty list is a pass.
"""

import collections

GAP_OLD = 2.0  # s; after an acknowledgement nothing older is handled
GAP_BACK = 0.25  # s; after a replica saw the new one nothing falls back
GAP_LEAVE = 3.0  # s; after the list shows a replica leaving
GAP_TURN = 3.0  # s; between orders of two holders
GRACE = 0.15  # s; what real clocks and a loaded machine add; the simulator allows nothing
BUDGET = (10.0, 0.2, 2)  # window, share of the requests, one small slack for the whole fleet


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


def never_twice(history, ledger):
    """An unsafe request runs once in each role; a user agent's own repeat is a request of its own."""
    by = asks(history)
    count = collections.Counter((r["request"], r["role"]) for r in runs(ledger))
    found = []
    for (name, role), n in count.items():
        most = max(1, sum(not bounced(r) for r in by.get(name, ())))
        if n > most and not any(r["safe"] for r in by.get(name, ())):
            found.append(f"{name} ran {n} times as {role}")
    return found


def bounced_never_ran(history, ledger):
    """Each run belongs to an ask that was not bounced, begun before it; one served is over then, but for what a safe one left behind."""
    by, found = asks(history), []
    for run in runs(ledger):
        rows = by.get(run["request"], ())
        good = any(
            not bounced(r) and r["sent"] <= run["at"] and (r["safe"] or r["end"] != "whole" or run["at"] <= r["done"])
            for r in rows
        )
        if rows and not good:
            found.append(f"{run['request']} was bounced and ran as {run['role']} at {run['at']:.2f}")
    return found


def pieces(row):
    return [p.split(".") for p in row["text"].split()]


def whole_and_own(history, ledger):
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


def own_memory(history, ledger):
    return [
        f"{r['request']} continued from memory {r['memory']}, its prompt is {r['digest']}"
        for r in runs(ledger, "decode")
        if r["memory"] != r["digest"]
    ]


def arrivals(ledger):
    """Sends as they reach a replica; a pull or a queue there may delay the run itself."""
    return [r for r in ledger if r["kind"] == "seen" and r["role"] and not r.get("older")]


def new_after_ack(history, ledger, writes, grace=GRACE):
    """writes: rows {"sequence", "acked"} of accepted configurations."""
    found = []
    for row in arrivals(ledger):
        late = [w for w in writes if w["sequence"] > row["sequence"] and row["at"] > w["acked"] + GAP_OLD + grace]
        if late:
            found.append(
                f"{row['request']} ran under {row['sequence']} "
                f"{row['at'] - late[0]['acked']:.2f} s after {late[0]['sequence']} was acknowledged"
            )
    return found


def no_fall_back(history, ledger, grace=GRACE):
    found, newest = [], []  # newest: (time, sequence) each time a higher one is first seen
    for row in sorted(arrivals(ledger), key=lambda r: r["at"]):
        if not newest or row["sequence"] > newest[-1][1]:
            newest.append((row["at"], row["sequence"]))
        for at, sequence in newest:
            if sequence > row["sequence"] and row["at"] > at + GAP_BACK + grace:
                found.append(
                    f"{row['request']} ran under {row['sequence']} {row['at'] - at:.2f} s after {sequence} was seen"
                )
                break
    return found


def writes_kept(accepted, refused, final):
    """accepted, refused: sequences/ids of writes; final: the history read back."""
    rows = {r["id"]: r["sequence"] for r in final["rows"]}
    low = min(rows.values(), default=0)
    found = [
        f"accepted {w['id']} is not in the history"
        for w in accepted
        if rows.get(w["id"]) != w["sequence"] and w["sequence"] >= low
    ]
    found += [f"refused {name} took effect" for name in refused if name in rows]
    bases = collections.Counter(w["base"] for w in accepted if w.get("base") is not None)
    found += [f"{n} writes over {base} were accepted" for base, n in bases.items() if n > 1]
    return found


def leaving_left_alone(ledger, shown, grace=GRACE):
    """shown: replica -> spans [from, until or None] in which the list showed it leaving."""
    return [
        f"{r['replica']} got {r['request']} {r['at'] - since:.2f} s after it was shown leaving"
        for r in arrivals(ledger)
        for since, until in shown.get(r["replica"], ())
        if r["at"] > since + GAP_LEAVE + grace and (until is None or r["at"] < until)
    ]


def orders_fenced(ledger, grace=GRACE):
    found = []
    by = collections.defaultdict(list)
    for row in ledger:
        if row["kind"] == "order":
            by[row["replica"]].append(row)
    for name, rows in by.items():
        rows.sort(key=lambda r: r["at"])
        who = {}
        for row in rows:
            if who.setdefault(row["standing"], row["holder"]) != row["holder"]:
                found.append(f"{name}: two holders with standing {row['standing']}")
        for a, b in zip(rows, rows[1:]):
            if a["holder"] != b["holder"] and b["at"] - a["at"] < GAP_TURN - grace:
                found.append(f"{name}: {a['holder']} and {b['holder']} took turns within {b['at'] - a['at']:.2f} s")
            if b["taken"] and b["standing"] < a["standing"]:
                found.append(f"{name}: standing fell")
    return found


def few_extras(history, ledger):
    """A request's first prefill and first decode are its own; every other send a replica saw is extra.

    The traffic is the requests, counted at their first prefill; each further ask of
    a user agent is a request again.
    """
    span, share, slack = BUDGET
    by, count, first, more = asks(history), collections.Counter(), [], []
    for row in sorted((r for r in ledger if r["kind"] == "seen"), key=lambda r: r["at"]):
        key = (row["request"], row["role"])
        count[key] += 1
        if count[key] > max(1, sum(r["sent"] <= row["at"] for r in by.get(row["request"], ()))):
            more.append(row["at"])
        elif row["role"] == "prefill":
            first.append(row["at"])
    found = []
    for at in more:
        a = sum(at - span < t <= at for t in first)
        b = sum(at - span < t <= at for t in more)
        if b > share * a + slack:
            found.append(f"{b} extra sends against {a} requests in the 10 s before {at:.2f}")
    return found


def freed(ledger, upto, lapse=True):
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


def answered_at_once(history, most=4.0):
    """A bounce never comes later than the waits for a place and a lease allow."""
    return [
        f"{r['id']} was bounced after {r['done'] - r['sent']:.2f} s"
        for r in history
        if r["status"] == 503 and r["done"] - r["sent"] > most
    ]


def nothing_dropped(history, ledger, hits, places, keepers=()):
    """What ran into nothing unplanned is not dropped, whatever stops or changes meanwhile.

    hits: machine -> spans [from, until] of what befell it; places: router's address ->
    machine. A request lost, broken or failed must have met a hit of its own router, of
    a replica that saw it, or of a majority of the keepers.
    """
    saw = collections.defaultdict(set)
    for row in ledger:
        if row["kind"] == "seen":
            saw[row["request"]].add(row["replica"])

    def met(name, row):
        return any(since <= row["done"] and until >= row["sent"] for since, until in hits.get(name, ()))

    found = []
    for row in history:
        if row["end"] not in ("lost", "broken") and row["verdict"] != "may_have_run":
            continue
        own = {places.get(row["router"], row["router"])} | saw[row["id"]]
        if not any(met(n, row) for n in own) and 2 * sum(met(k, row) for k in keepers) <= len(keepers):
            found.append(f"{row['id']} ended {row['end']} {row['status']} {row['verdict']} {row.get('error', '')}")
    return found


def nothing_bounced(history):
    """Where only planned things happen at the usual load: no 503 but a stopping router's."""
    return [
        f"{r['id']} was bounced: {r['error']}" for r in history if r["status"] == 503 and "stopping" not in r["error"]
    ]


def none_starved(history, rushing, share=0.95):
    """Of the other tenants' requests, nearly all are served while one tenant rushes."""
    last = {}
    for row in history:
        if row["tenant"] != rushing:
            last[row["id"]] = row["end"] == "whole"
    good = sum(last.values())
    return [] if good >= share * len(last) else [f"only {good} of {len(last)} requests of others were served"]


def all_rules(history, ledger, writes, shown, final, refused=(), grace=GRACE):
    table = {
        "never twice": never_twice(history, ledger),
        "bounced never ran": bounced_never_ran(history, ledger),
        "whole and own": whole_and_own(history, ledger),
        "own memory": own_memory(history, ledger),
        "new after ack": new_after_ack(history, ledger, writes, grace),
        "no fall back": no_fall_back(history, ledger, grace),
        "leaving": leaving_left_alone(ledger, shown, grace),
        "orders fenced": orders_fenced(ledger, grace),
        "few extras": few_extras(history, ledger),
        "answered at once": answered_at_once(history),
    }
    if final is not None:
        table["writes kept"] = writes_kept(writes, refused, final)
    return table
