"""The checker itself: one good history passes, and one history breaks each rule."""

import copy

import pytest

import tools.judge as judge
import tools.judge_traffic as judge_traffic

GOOD = {
    "history": [
        {
            "id": "a",
            "safe": False,
            "status": 200,
            "end": "whole",
            "verdict": "",
            "text": "0.r2.d 1.r2.d ",
            "tokens": 2,
            "digest": "d",
            "answer": "cmpl-a",
            "sent": 10.0,
            "done": 10.5,
        },
        {
            "id": "b",
            "safe": False,
            "status": 503,
            "end": "answered",
            "verdict": "not_run",
            "text": "",
            "tokens": 2,
            "digest": "e",
            "sent": 10.0,
            "done": 10.1,
        },
    ],
    "ledger": [
        {"kind": "start", "replica": "p", "engine": "p1", "at": 1.0},
        {"kind": "order", "replica": "p", "role": "prefill", "standing": 1, "holder": "k1", "taken": True, "at": 5.0},
        {"kind": "seen", "replica": "p", "request": "a", "role": "prefill", "sequence": 1, "at": 10.0},
        {
            "kind": "run",
            "replica": "p",
            "request": "a",
            "role": "prefill",
            "run": "r1",
            "sequence": 1,
            "digest": "d",
            "at": 10.0,
        },
        {"kind": "export", "replica": "p", "request": "a", "send": "a.1", "engine": "p1", "at": 10.1},
        {"kind": "seen", "replica": "q", "request": "a", "role": "decode", "sequence": 1, "at": 10.2},
        {
            "kind": "run",
            "replica": "q",
            "request": "a",
            "role": "decode",
            "run": "r2",
            "sequence": 1,
            "digest": "d",
            "memory": "d",
            "at": 10.2,
        },
        {"kind": "free", "replica": "p", "request": "a", "send": "a.1", "engine": "p1", "at": 10.3},
        {"kind": "decoded", "replica": "q", "request": "a", "run": "r2", "tokens": 2, "at": 10.4},
    ],
    "writes": [{"id": "w1", "sequence": 1, "acked": 5.0, "base": 0}],
    "shown": {},
    "final": {"rows": [{"sequence": 1, "id": "w1"}], "taken": {"w1": 1}},
    "refused": [],
}


def rules(case):
    table = judge.all_rules(
        case["history"], case["ledger"], case["writes"], case["shown"], case["final"], case["refused"]
    )
    table["freed"] = judge_traffic.freed(case["ledger"], 100.0)
    return {rule for rule, found in table.items() if found}


def row(case, kind, role=None):
    return next(
        r
        for r in case["ledger"]
        if r["kind"] == kind and r.get("role") in (role, r.get("role") if role is None else role)
    )


def again(case, source, **changes):
    case["ledger"].append({**source, **changes})


BREACHES = {
    "never twice": lambda c: again(c, row(c, "run", "decode"), run="r3", at=11.0),
    "bounced never ran": lambda c: again(c, row(c, "run", "prefill"), request="b", run="r4"),
    "own memory": lambda c: row(c, "run", "decode").update(memory="x"),
    "new after ack": lambda c: c["writes"].append({"id": "w2", "sequence": 2, "acked": 7.0, "base": 1}),
    "no fall back": lambda c: again(c, row(c, "seen", "prefill"), request="c", sequence=2, at=9.0),
    "leaving": lambda c: c["shown"].update(q=[[6.0, None]]),
    "writes kept": lambda c: c["final"]["rows"].clear(),
    "freed": lambda c: c["ledger"].remove(row(c, "free")),
    "answered at once": lambda c: c["history"][1].update(done=19.0),
}
WRITES = {
    "not in the record": lambda c: c["final"]["taken"].clear(),
    "under another sequence in the record": lambda c: c["final"]["taken"].update(w1=2),
    "under another sequence in the history": lambda c: c["final"]["rows"][0].update(sequence=2),
    "the newest one without its document": lambda c: c["final"]["rows"].clear(),
    "a refused one taken": lambda c: (c["refused"].append("w0"), c["final"]["taken"].update(w0=7)),
    "two over one base": lambda c: (
        c["writes"].append({"id": "w2", "sequence": 2, "acked": 99.0, "base": 0}),
        c["final"]["taken"].update(w2=2),
        c["final"]["rows"].append({"sequence": 2, "id": "w2"}),
    ),
}
WHOLE = {
    "a piece skipped": {"text": "0.r2.d 2.r2.d "},
    "a piece repeated": {"text": "0.r2.d 0.r2.d "},
    "two runs joined": {"text": "0.r2.d 1.r9.d "},
    "cut short": {"text": "0.r2.d "},
    "another's memory": {"text": "0.r2.x 1.r2.x "},
    "another's answer": {"answer": "cmpl-aa"},
    "half a piece": {"text": "0.r2.d 1.r2"},
    "success of a run that never ended": {"text": "0.r8.d 1.r8.d "},
}
ORDERS = {
    "equal standing": {"holder": "k2", "at": 20.0},
    "turns": {"holder": "k2", "standing": 2, "at": 6.0},
    "standing fell": {"standing": 0, "at": 6.0},
}


@pytest.mark.parametrize("how", WRITES)
def test_each_way_to_lose_a_write_is_seen(how):
    case = copy.deepcopy(GOOD)
    WRITES[how](case)
    assert rules(case) == {"writes kept"}


def test_the_good_history_passes():
    assert rules(copy.deepcopy(GOOD)) == set()


@pytest.mark.parametrize("rule", BREACHES)
def test_each_rule_is_seen_broken(rule):
    case = copy.deepcopy(GOOD)
    BREACHES[rule](case)
    assert rule in rules(case)


@pytest.mark.parametrize("name", WHOLE)
def test_answers_that_are_not_whole_and_own(name):
    case = copy.deepcopy(GOOD)
    case["history"][0].update(WHOLE[name])
    assert rules(case) == {"whole and own"}


@pytest.mark.parametrize("name", ORDERS)
def test_orders_out_of_line(name):
    case = copy.deepcopy(GOOD)
    again(case, row(case, "order"), **ORDERS[name])
    assert rules(case) == {"orders fenced"}


def test_too_many_extras():
    case = copy.deepcopy(GOOD)
    for n in range(12):
        again(case, row(case, "seen", "decode"), at=10.3 + n / 100)
    assert rules(case) == {"few extras"}


def test_a_refused_write_and_two_over_one_base():
    case = copy.deepcopy(GOOD)
    case["refused"].append("w1")
    assert rules(case) == {"writes kept"}
    case = copy.deepcopy(GOOD)
    case["final"]["rows"].append({"sequence": 2, "id": "w2"})
    case["writes"].append({"id": "w2", "sequence": 2, "acked": 50.0, "base": 0})
    assert rules(case) == {"writes kept"}
