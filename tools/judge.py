"""The independent checker: verifies a recorded history against the safety rules.

It reads only what the stand-ins recorded (rows of user agents, ledgers of replicas,
the history of the platform list, the operator's writes) and no state of the system.
Each rule is one function that returns its violations as texts; an empty list is a pass.
"""

import collections
import collections.abc

import tools.deployments as deployments
import tools.judge_traffic as judge_traffic
import tools.recorded as recorded

Spans = judge_traffic.Spans

OLD_SEQUENCE_AFTER_ACK_S = 2.0  # this long after a write was acknowledged no older sequence is used
OLD_SEQUENCE_AFTER_SEEN_S = 0.25  # this long after a replica saw a sequence no older one arrives
SENDS_AFTER_LEAVING_S = 3.0  # this long after the list shows a replica as leaving it gets no sends
LEADER_CHANGE_GAP_S = 3.0  # least time between the orders of two leaders
CLOCK_GRACE_S = 0.15  # allowance for real clocks and a loaded machine; 0 in the simulator


def never_twice(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """An unsafe request runs once in each role; a repeat by the user agent counts as a new request."""
    attempts = recorded.attempts_by_id(history)
    run_counts = collections.Counter((r["request"], r["role"]) for r in recorded.runs(ledger))
    found = []
    for (name, role), runs in run_counts.items():
        allowed = max(1, sum(not recorded.rejected(r) for r in attempts.get(name, ())))
        if runs > allowed and not any(r["safe"] for r in attempts.get(name, ())):
            found.append(f"{name} ran {runs} times as {role}")
    return found


def rejected_never_ran(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """Each run belongs to an attempt that was sent before it and was not rejected.

    A run may not start after its attempt was served, except for safe requests.
    """
    attempts, found = recorded.attempts_by_id(history), []
    for run in recorded.runs(ledger):
        rows = attempts.get(run["request"], ())
        allowed = any(
            not recorded.rejected(r)
            and r["sent"] <= run["at"]
            and (r["safe"] or r["end"] != "whole" or run["at"] <= r["done"])
            for r in rows
        )
        if rows and not allowed:
            found.append(f"{run['request']} was rejected and ran as {run['role']} at {run['at']:.2f}")
    return found


def split_pieces(row: recorded.Row) -> list[list[str]]:
    """Split a row's text into its pieces, each a position, a run and a digest."""
    return [piece.split(".") for piece in row["text"].split()]


def whole_and_own(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """Each piece of text is complete, in order, of a single run and from the memory of this request."""
    found = []
    finished_runs = {r["run"] for r in ledger if r["kind"] == "decoded"}
    for row in history:
        try:
            pieces = [(int(position), run, digest) for position, run, digest in split_pieces(row)]
        except ValueError:
            found.append(f"{row['id']}: a piece is incomplete: {row['text'][-40:]!r}")
            continue
        if row["text"] and f"cmpl-{row['id']}" != row.get("answer"):
            found.append(f"{row['id']}: received the response {row.get('answer')}")
        if any(digest != row["digest"] for _, _, digest in pieces):
            found.append(f"{row['id']}: text from the memory of another prompt")
        if [position for position, _, _ in pieces] != list(range(len(pieces))):
            found.append(f"{row['id']}: pieces skipped or repeated")
        if len({run for _, run, _ in pieces}) > 1:
            found.append(f"{row['id']}: pieces of two runs joined")
        if row["end"] == "whole" and (len(pieces) != row["tokens"] or not {r for _, r, _ in pieces} <= finished_runs):
            found.append(f"{row['id']}: reported as complete but incomplete")
    return found


def own_memory(history: recorded.Rows, ledger: recorded.Rows) -> list[str]:
    """A decode continues from the memory of its own prompt."""
    return [
        f"{r['request']} continued from memory {r['memory']}, its prompt is {r['digest']}"
        for r in recorded.runs(ledger, "decode")
        if r["memory"] != r["digest"]
    ]


def new_after_ack(
    history: recorded.Rows, ledger: recorded.Rows, writes: recorded.Rows, grace: float = CLOCK_GRACE_S
) -> list[str]:
    """writes: rows {"sequence", "acked"} of accepted configurations."""
    found = []
    for row in recorded.arrivals(ledger):
        overdue = [
            w
            for w in writes
            if w["sequence"] > row["sequence"] and row["at"] > w["acked"] + OLD_SEQUENCE_AFTER_ACK_S + grace
        ]
        if overdue:
            found.append(
                f"{row['request']} ran under {row['sequence']} "
                f"{row['at'] - overdue[0]['acked']:.2f} s after {overdue[0]['sequence']} was acknowledged"
            )
    return found


def no_fall_back(history: recorded.Rows, ledger: recorded.Rows, grace: float = CLOCK_GRACE_S) -> list[str]:
    """After a replica has seen a configuration, no older one arrives beyond a short overlap."""
    found: list[str] = []
    newest: list[tuple[float, int]] = []  # (time, sequence) when each higher sequence is first seen
    for row in sorted(recorded.arrivals(ledger), key=lambda r: r["at"]):
        if not newest or row["sequence"] > newest[-1][1]:
            newest.append((row["at"], row["sequence"]))
        for at, sequence in newest:
            if sequence > row["sequence"] and row["at"] > at + OLD_SEQUENCE_AFTER_SEEN_S + grace:
                found.append(
                    f"{row['request']} ran under {row['sequence']} {row['at'] - at:.2f} s after {sequence} was seen"
                )
                break
    return found


def writes_kept(accepted: recorded.Rows, refused: collections.abc.Iterable[str], final: recorded.Row) -> list[str]:
    """accepted, refused: the writes and their ids; final: the history read back, with the record of taken writes."""
    rows = {r["id"]: r["sequence"] for r in final["rows"]}
    taken = final["taken"]
    found = [
        f"accepted {w['id']} is recorded as {taken.get(w['id'])}, not {w['sequence']}"
        for w in accepted
        if taken.get(w["id"]) != w["sequence"] or rows.get(w["id"], w["sequence"]) != w["sequence"]
    ]
    newest = max((w["sequence"] for w in accepted), default=0)
    if newest and max(rows.values(), default=0) < newest:
        found.append(f"the history ends before {newest}, which was accepted")
    found += [f"refused {name} took effect" for name in refused if name in rows or taken.get(name) is not None]
    bases = collections.Counter(w["base"] for w in accepted if w.get("base") is not None)
    found += [f"{count} writes over {base} were accepted" for base, count in bases.items() if count > 1]
    return found


def leaving_left_alone(ledger: recorded.Rows, shown: Spans, grace: float = CLOCK_GRACE_S) -> list[str]:
    """shown: replica -> spans [from, until or None] in which the list showed it leaving."""
    return [
        f"{r['replica']} got {r['request']} {r['at'] - since:.2f} s after it was shown leaving"
        for r in recorded.arrivals(ledger)
        for since, until in shown.get(r["replica"], ())
        if r["at"] > since + SENDS_AFTER_LEAVING_S + grace and (until is None or r["at"] < until)
    ]


def orders_fenced(ledger: recorded.Rows, grace: float = CLOCK_GRACE_S) -> list[str]:
    """Orders to a replica come from one leader per fencing token, and accepted tokens never decrease."""
    found = []
    orders = collections.defaultdict(list)
    for row in ledger:
        if row["kind"] == "order":
            orders[row["replica"]].append(row)
    for name, rows in orders.items():
        rows.sort(key=lambda r: r["at"])
        leaders: dict[int, str] = {}
        for row in rows:
            if leaders.setdefault(row["standing"], row["holder"]) != row["holder"]:
                found.append(f"{name}: two leaders with fencing token {row['standing']}")
        for earlier, later in zip(rows, rows[1:], strict=False):
            if earlier["holder"] != later["holder"] and later["at"] - earlier["at"] < LEADER_CHANGE_GAP_S - grace:
                found.append(
                    f"{name}: {earlier['holder']} and {later['holder']} gave orders "
                    f"within {later['at'] - earlier['at']:.2f} s"
                )
            if later["taken"] and later["standing"] < earlier["standing"]:
                found.append(f"{name}: the fencing token decreased")
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
    grace: float = CLOCK_GRACE_S,
) -> dict[str, list[str]]:
    """Map each rule to its violations; `final` is the history read back, None where it was not read."""
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
