"""A short soak of once-only traffic through real processes; and its judge, which sees each rule broken."""

import pytest

import tests.soak_exchanges as soak_exchanges


def test_under_resets_silences_freezes_and_reused_addresses_nothing_runs_twice_and_no_answer_crosses(tmp_path):
    broken, statuses, troubles = soak_exchanges.run(tmp_path, 8.0)
    assert broken == {}
    assert statuses[200] > 100 and statuses[502] + statuses[504] + statuses[503] + statuses[0] > 0
    assert all(troubles[kind] for kind in ("spoil", "reset", "freeze", "reuse"))


RUN = {"id": "a", "service": "one"}


@pytest.mark.parametrize(
    "rule, runs, status, right",
    [
        ("ran twice", [RUN, RUN], 200, True),
        ("refused, yet it ran", [RUN], 503, True),
        ("answer of another request", [RUN], 200, False),
        ("run by another service", [{**RUN, "service": "two"}], 200, True),
        ("success that did not run", [], 200, True),
    ],
)
def test_the_judge_sees_each_rule_broken(rule, runs, status, right):
    assert list(soak_exchanges.judge(runs, [soak_exchanges.Outcome("a", "one", status, right)])) == [rule]


def test_the_judge_passes_what_is_right():
    assert soak_exchanges.judge([RUN], [soak_exchanges.Outcome("a", "one", 200, True)]) == {}
