"""A short soak of requests that must not run twice, through real processes; and the checks of its judge."""

import pytest

import tests.soak_exchanges as soak_exchanges


def test_under_injected_faults_no_request_runs_twice_and_no_responses_are_mixed_up(tmp_path):
    broken, statuses, injected = soak_exchanges.run(tmp_path, 8.0)
    assert broken == {}
    assert statuses[200] > 100 and statuses[502] + statuses[504] + statuses[503] + statuses[0] > 0
    assert all(injected[kind] for kind in ("spoil", "reset", "freeze", "reuse"))


RUN = {"id": "a", "service": "one"}


@pytest.mark.parametrize(
    "rule, runs, status, correct",
    [
        ("ran twice", [RUN, RUN], 200, True),
        ("refused, yet it ran", [RUN], 503, True),
        ("answer of another request", [RUN], 200, False),
        ("run by another service", [{**RUN, "service": "two"}], 200, True),
        ("success that did not run", [], 200, True),
    ],
)
def test_the_judge_reports_each_violated_rule(rule, runs, status, correct):
    assert list(soak_exchanges.judge(runs, [soak_exchanges.Outcome("a", "one", status, correct)])) == [rule]


def test_the_judge_reports_nothing_for_a_correct_response():
    assert soak_exchanges.judge([RUN], [soak_exchanges.Outcome("a", "one", 200, True)]) == {}
