"""The checker itself: a valid history passes, and a violation of each rule is reported."""

import copy

import pytest

import tools.judge as judge
import tools.judge_traffic as judge_traffic

VALID_RUN = {
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


def broken_rules(case):
    table = judge.all_rules(
        case["history"], case["ledger"], case["writes"], case["shown"], case["final"], case["refused"]
    )
    table["freed"] = judge_traffic.freed(case["ledger"], 100.0)
    return {rule for rule, found in table.items() if found}


def find_row(case, kind, role=None):
    return next(
        r
        for r in case["ledger"]
        if r["kind"] == kind and r.get("role") in (role, r.get("role") if role is None else role)
    )


def append_row(case, source, **changes):
    case["ledger"].append({**source, **changes})


VIOLATIONS = {
    "never twice": lambda c: append_row(c, find_row(c, "run", "decode"), run="r3", at=11.0),
    "bounced never ran": lambda c: append_row(c, find_row(c, "run", "prefill"), request="b", run="r4"),
    "own memory": lambda c: find_row(c, "run", "decode").update(memory="x"),
    "new after ack": lambda c: c["writes"].append({"id": "w2", "sequence": 2, "acked": 7.0, "base": 1}),
    "no fall back": lambda c: append_row(c, find_row(c, "seen", "prefill"), request="c", sequence=2, at=9.0),
    "leaving": lambda c: c["shown"].update(q=[[6.0, None]]),
    "writes kept": lambda c: c["final"]["rows"].clear(),
    "freed": lambda c: c["ledger"].remove(find_row(c, "free")),
    "answered at once": lambda c: c["history"][1].update(done=19.0),
}
LOST_WRITES = {
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
BAD_RESPONSES = {
    "a piece skipped": {"text": "0.r2.d 2.r2.d "},
    "a piece repeated": {"text": "0.r2.d 0.r2.d "},
    "two runs joined": {"text": "0.r2.d 1.r9.d "},
    "cut short": {"text": "0.r2.d "},
    "another's memory": {"text": "0.r2.x 1.r2.x "},
    "another's answer": {"answer": "cmpl-aa"},
    "half a piece": {"text": "0.r2.d 1.r2"},
    "success of a run that never ended": {"text": "0.r8.d 1.r8.d "},
}
BAD_ORDERS = {
    "equal standing": {"holder": "k2", "at": 20.0},
    "turns": {"holder": "k2", "standing": 2, "at": 6.0},
    "standing fell": {"standing": 0, "at": 6.0},
}


@pytest.mark.parametrize("case_name", LOST_WRITES)
def test_each_way_to_lose_a_write_is_reported(case_name):
    case = copy.deepcopy(VALID_RUN)
    LOST_WRITES[case_name](case)
    assert broken_rules(case) == {"writes kept"}


def test_a_valid_history_passes():
    assert broken_rules(copy.deepcopy(VALID_RUN)) == set()


@pytest.mark.parametrize("rule", VIOLATIONS)
def test_a_violation_of_each_rule_is_reported(rule):
    case = copy.deepcopy(VALID_RUN)
    VIOLATIONS[rule](case)
    assert rule in broken_rules(case)


@pytest.mark.parametrize("name", BAD_RESPONSES)
def test_incomplete_or_mixed_responses_are_reported(name):
    case = copy.deepcopy(VALID_RUN)
    case["history"][0].update(BAD_RESPONSES[name])
    assert broken_rules(case) == {"whole and own"}


@pytest.mark.parametrize("name", BAD_ORDERS)
def test_orders_without_fencing_are_reported(name):
    case = copy.deepcopy(VALID_RUN)
    append_row(case, find_row(case, "order"), **BAD_ORDERS[name])
    assert broken_rules(case) == {"orders fenced"}


def test_too_many_extra_sends_are_reported():
    case = copy.deepcopy(VALID_RUN)
    for number in range(12):
        append_row(case, find_row(case, "seen", "decode"), at=10.3 + number / 100)
    assert broken_rules(case) == {"few extras"}


def test_a_refused_write_that_took_effect_and_two_writes_over_one_base_are_reported():
    case = copy.deepcopy(VALID_RUN)
    case["refused"].append("w1")
    assert broken_rules(case) == {"writes kept"}
    case = copy.deepcopy(VALID_RUN)
    case["final"]["rows"].append({"sequence": 2, "id": "w2"})
    case["writes"].append({"id": "w2", "sequence": 2, "acked": 50.0, "base": 0})
    assert broken_rules(case) == {"writes kept"}
