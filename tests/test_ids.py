"""Several requests with one id, at once or later, at one router or two: their responses are never mixed up."""

import pytest

import tools.callers as callers
import tools.judge as judge
import tools.simulator.end_of_day as end_of_day
import tools.simulator.fleet as sim


def send_with_one_id(count, gap):
    """Send requests with one id and different prompts, so many seconds apart, to two routers in turn."""
    f = sim.SimFleet(f"twins-{gap}", routers=2, replicas=4)
    f.ready()
    f.run(1)
    routers = [f.settings[n]["http"] for n in ("route-1", "route-2")]
    for n in range(count):
        call = {**callers.make(n, n, ["dispatch"]), "id": "same", "safe": False, "stream": True, "tokens": 12}
        f.later(
            n * gap,
            lambda n=n, call=call: f.operator(
                lambda: f.rows.append(callers.send(f.ops, routers[n // 2 % 2], "shift-notes", call))
            ),
        )
    f.run(count * gap + 6)
    return f


@pytest.mark.parametrize("gap", [0.0, 0.01, 0.05, 1.0])
def test_responses_to_requests_with_one_id_are_never_mixed_up(gap):
    f = send_with_one_id(8, gap)
    assert [r["end"] for r in f.rows] == ["whole"] * 8
    assert judge.whole_and_own(f.rows, f.ledger) == [] and judge.own_memory(f.rows, f.ledger) == []
    released = [r.get("send") for r in f.ledger if r["kind"] == "free"]
    assert len(released) == len(set(released)) == 8
    assert end_of_day.close(f) == {}


def test_every_send_has_a_unique_id_and_the_callers_id_is_returned():
    f = send_with_one_id(4, 0.02)
    sends = [r.get("send") for r in f.ledger if r["kind"] == "seen"]
    assert len(sends) == len(set(sends)) == 8
    assert {r["answer"] for r in f.rows} == {"cmpl-same"}


def test_a_request_without_an_id_gets_one_that_is_returned():
    f = sim.SimFleet("no-id", routers=1, replicas=2)
    f.ready()
    responses = []

    def send_request():
        response = f.ops.web.send(
            "POST",
            f"http://{f.settings['route-1']['http']}/v1/completions",
            {"model": "shift-notes", "prompt": "hello", "max_tokens": 1},
            {"x-tenant": "riders"},
            read=8,
        )
        responses.append((response.status, response.headers["x-request-id"], response.body()["id"]))

    for _ in range(2):
        f.operator(send_request)
    f.run(4)
    assert [status for status, name, answer in responses] == [200, 200]
    assert len({name for status, name, answer in responses}) == 2
    assert all(answer == f"cmpl-{name}" for status, name, answer in responses)
