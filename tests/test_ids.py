"""Several requests with one id, at once or later, at one router or two: their responses are never mixed up."""

import pytest

import tools.callers as callers
import tools.judge as judge
import tools.simulator.final_checks as final_checks
import tools.simulator.fleet as sim


def send_with_one_id(count, gap_s):
    """Send requests with one id and different prompts, so many seconds apart, to two routers in turn."""
    fleet = sim.SimFleet(f"twins-{gap_s}", routers=2, replicas=4)
    fleet.ready()
    fleet.run(1)
    routers = [fleet.settings[n]["http"] for n in ("route-1", "route-2")]
    for n in range(count):
        call = {**callers.make_call(n, n, ["dispatch"]), "id": "same", "safe": False, "stream": True, "tokens": 12}
        fleet.call_later(
            n * gap_s,
            lambda n=n, call=call: fleet.operator(
                lambda: fleet.rows.append(callers.send_call(fleet.ops, routers[n // 2 % 2], "shift-notes", call))
            ),
        )
    fleet.run(count * gap_s + 6)
    return fleet


@pytest.mark.parametrize("gap_s", [0.0, 0.01, 0.05, 1.0])
def test_responses_to_requests_with_one_id_are_never_mixed_up(gap_s):
    fleet = send_with_one_id(8, gap_s)
    assert [record["end"] for record in fleet.rows] == ["whole"] * 8
    assert judge.whole_and_own(fleet.rows, fleet.ledger) == [] and judge.own_memory(fleet.rows, fleet.ledger) == []
    released = [record.get("send") for record in fleet.ledger if record["kind"] == "free"]
    assert len(released) == len(set(released)) == 8
    assert final_checks.settle_and_check(fleet) == {}


def test_every_send_has_a_unique_id_and_the_callers_id_is_returned():
    fleet = send_with_one_id(4, 0.02)
    sends = [record.get("send") for record in fleet.ledger if record["kind"] == "seen"]
    assert len(sends) == len(set(sends)) == 8
    assert {record["answer"] for record in fleet.rows} == {"cmpl-same"}


def test_a_request_without_an_id_gets_one_that_is_returned():
    fleet = sim.SimFleet("no-id", routers=1, replicas=2)
    fleet.ready()
    responses = []

    def send_request():
        response = fleet.ops.web.send(
            "POST",
            f"http://{fleet.settings['route-1']['http']}/v1/completions",
            {"model": "shift-notes", "prompt": "hello", "max_tokens": 1},
            {"x-tenant": "riders"},
            read=8,
        )
        responses.append((response.status, response.headers["x-request-id"], response.body()["id"]))

    for _ in range(2):
        fleet.operator(send_request)
    fleet.run(4)
    assert [status for status, name, answer in responses] == [200, 200]
    assert len({name for status, name, answer in responses}) == 2
    assert all(answer == f"cmpl-{name}" for status, name, answer in responses)
