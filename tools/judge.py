"""The independent checker: recorded history against "What must never happen".

It reads what stand-ins recorded (rows of user agents, ledgers of replicas, the
list's history, the operator's writes) and nothing of the system's own. Each rule
is one function that returns its breaches as texts; an empty list is a pass.
"""

import collections

GAP_OLD = 2.0           # s; after an acknowledgement nothing older is handled
GAP_BACK = 0.25         # s; after a replica saw the new one nothing falls back
GAP_LEAVE = 3.0         # s; after the list shows a replica leaving
GAP_TURN = 3.0          # s; between orders of two holders
GRACE = 0.15            # s; "about": what a loaded test machine adds to any of these
BUDGET = (10.0, 0.2, 8) # window, share, slack over the whole fleet


def runs(ledger, role=None):
    return [r for r in ledger if r["kind"] == "run" and (role is None or r["role"] == role)]


def never_twice(history, ledger):
    safe = {r["id"]: r["safe"] for r in history}
    count = collections.Counter((r["request"], r["role"]) for r in runs(ledger))
    return [f"{name} ran {n} times as {role}" for (name, role), n in count.items() if n > 1 and not safe.get(name, False)]


def bounced_never_ran(history, ledger):
    """A not_run answer: the request did not run for that answer and is not running later.

    A user agent may ask again after a bounce, so only requests whose every answer
    was a bounce are judged; one that ran is then a breach.
    """
    last = collections.defaultdict(list)
    for row in history:
        last[row["id"]].append(row)
    ran = {r["request"] for r in runs(ledger)}
    return [f"{name} was bounced and ran" for name, rows in last.items()
            if all(r["end"] == "refused" or (r["status"] and r["verdict"] == "not_run") for r in rows) and name in ran]


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
    return [f"{r['request']} continued from memory {r['memory']}, its prompt is {r['digest']}"
            for r in runs(ledger, "decode") if r["memory"] != r["digest"]]


def arrivals(ledger):
    """Sends as they reach a replica; a pull or a queue there may delay the run itself."""
    return [r for r in ledger if r["kind"] == "seen" and r["role"]]


def new_after_ack(history, ledger, writes):
    """writes: rows {"sequence", "acked"} of accepted configurations."""
    found = []
    for row in arrivals(ledger):
        late = [w for w in writes if w["sequence"] > row["sequence"] and row["at"] > w["acked"] + GAP_OLD + GRACE]
        if late:
            found.append(f"{row['request']} ran under {row['sequence']} "
                         f"{row['at'] - late[0]['acked']:.2f} s after {late[0]['sequence']} was acknowledged")
    return found


def no_fall_back(history, ledger):
    found, newest = [], []      # newest: (time, sequence) each time a higher one is first seen
    for row in sorted(arrivals(ledger), key=lambda r: r["at"]):
        if not newest or row["sequence"] > newest[-1][1]:
            newest.append((row["at"], row["sequence"]))
        for at, sequence in newest:
            if sequence > row["sequence"] and row["at"] > at + GAP_BACK + GRACE:
                found.append(f"{row['request']} ran under {row['sequence']} {row['at'] - at:.2f} s after {sequence} was seen")
                break
    return found


def writes_kept(accepted, refused, final):
    """accepted, refused: sequences/ids of writes; final: the history read back."""
    rows = {r["id"]: r["sequence"] for r in final["rows"]}
    low = min(rows.values(), default=0)
    found = [f"accepted {w['id']} is not in the history" for w in accepted
             if rows.get(w["id"]) != w["sequence"] and w["sequence"] >= low]
    found += [f"refused {name} took effect" for name in refused if name in rows]
    bases = collections.Counter(w["base"] for w in accepted if w.get("base") is not None)
    found += [f"{n} writes over {base} were accepted" for base, n in bases.items() if n > 1]
    return found


def leaving_left_alone(ledger, shown):
    """shown: replica -> spans [from, until or None] in which the list showed it leaving."""
    return [f"{r['replica']} got {r['request']} {r['at'] - since:.2f} s after it was shown leaving"
            for r in runs(ledger) for since, until in shown.get(r["replica"], ())
            if r["at"] > since + GAP_LEAVE + GRACE and (until is None or r["at"] < until)]


def orders_fenced(ledger):
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
            if a["holder"] != b["holder"] and b["at"] - a["at"] < GAP_TURN - GRACE:
                found.append(f"{name}: {a['holder']} and {b['holder']} took turns within {b['at'] - a['at']:.2f} s")
            if b["taken"] and b["standing"] < a["standing"]:
                found.append(f"{name}: standing fell")
    return found


def few_extras(ledger):
    """Every send a replica saw, beyond a request's first of each role, is extra."""
    span, share, slack = BUDGET
    seen, first, more = set(), [], []
    for row in sorted((r for r in ledger if r["kind"] == "seen"), key=lambda r: r["at"]):
        key = (row["request"], row["role"])
        (more if key in seen else first).append(row["at"])
        seen.add(key)
    found = []
    for at in more:
        a = sum(at - span < t <= at for t in first)
        b = sum(at - span < t <= at for t in more)
        if b > share * a + slack:
            found.append(f"{b} extra sends against {a} in the 10 s before {at:.2f}")
    return found


def freed(ledger, upto, lapse=True):
    """Every export is taken away again: freed, gone with its engine or, where a router was lost, lapsed."""
    out = {(r["request"], r["engine"]) for r in ledger if r["kind"] == "free" or lapse and r["kind"] == "lapse"}
    alive = {r["replica"]: r.get("engine") for r in ledger if r["kind"] in ("start", "gone")}
    return [f"{r['request']} is still held at {r['replica']}" for r in ledger if r["kind"] == "export"
            and (r["request"], r["engine"]) not in out and alive.get(r["replica"]) == r["engine"] and r["at"] < upto]


def answered_at_once(history, most=4.0):
    """A bounce never comes later than the waits for a place and a lease allow."""
    return [f"{r['id']} was bounced after {r['done'] - r['sent']:.2f} s" for r in history
            if r["status"] == 503 and r["done"] - r["sent"] > most]


def nothing_dropped(history):
    """Where only planned things happened: each request is served, or cleanly refused before it ran."""
    return [f"{r['id']} ended {r['end']} {r['status']} {r['verdict']}" for r in history
            if r["end"] in ("lost", "broken") or r["verdict"] == "may_have_run"]


def none_starved(history, rushing, share=0.95):
    """Of the other tenants' requests, nearly all are served while one tenant rushes."""
    last = {}
    for row in history:
        if row["tenant"] != rushing:
            last[row["id"]] = row["end"] == "whole"
    good = sum(last.values())
    return [] if good >= share * len(last) else [f"only {good} of {len(last)} requests of others were served"]


def all_rules(history, ledger, writes, shown, final, refused=()):
    table = {
        "never twice": never_twice(history, ledger), "bounced never ran": bounced_never_ran(history, ledger),
        "whole and own": whole_and_own(history, ledger), "own memory": own_memory(history, ledger),
        "new after ack": new_after_ack(history, ledger, writes), "no fall back": no_fall_back(history, ledger),
        "leaving": leaving_left_alone(ledger, shown), "orders fenced": orders_fenced(ledger),
        "few extras": few_extras(ledger),
        "answered at once": answered_at_once(history),
    }
    if final is not None:
        table["writes kept"] = writes_kept(writes, refused, final)
    return table
