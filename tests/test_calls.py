"""Both completions APIs, streamed and not; and how the operator's tool resolves unknown results."""

import json

import pytest

import mothshed.programs.operator_client as operator_client
import tools.simulator.fleet as sim


@pytest.fixture(scope="module")
def fleet():
    fleet = sim.SimFleet("calls", routers=1, replicas=2)
    fleet.ready()
    return fleet


def call(fleet, name, path, body):
    responses = []

    def send():
        response = fleet.ops.web.send(
            "POST",
            f"http://{fleet.settings['route-1']['http']}{path}",
            body,
            {"x-request-id": name, "x-tenant": "riders", "x-kind": "question"},
            read=8,
        )
        responses.append((response.status, response.headers, b"".join(response.bytes())))

    fleet.operator(send)
    fleet.run(6)
    return responses[0]


CHAT = {
    "model": "shift-notes",
    "messages": [{"role": "system", "content": "be brief"}, {"role": "user", "content": "scooter 4?"}],
    "max_tokens": 5,
}
TEXT = {"model": "shift-notes", "prompt": "scooter 4?", "max_tokens": 5}


@pytest.mark.parametrize("path, body", [("/v1/chat/completions", CHAT), ("/v1/completions", TEXT)])
def test_both_apis_return_the_same_text_whole_and_streamed(fleet, path, body):
    chat = "chat" in path
    status, headers, data = call(fleet, f"w-{chat}", path, body)
    completion = json.loads(data)
    text = completion["choices"][0]["message"]["content"] if chat else completion["choices"][0]["text"]
    assert (
        status == 200 and headers["x-request-id"] == f"w-{chat}" and completion["choices"][0]["finish_reason"] == "stop"
    )
    assert [p.split(".")[0] for p in text.split()] == list("01234") and completion["usage"]["completion_tokens"] == 5
    status, headers, data = call(fleet, f"s-{chat}", path, {**body, "stream": True})
    lines = [line for line in data.split(b"\n\n") if line]
    assert status == 200 and headers["content-type"] == "text/event-stream" and lines[-1] == b"data: [DONE]"
    chunks = [json.loads(line[6:]) for line in lines[:-1]]
    parts = [c["choices"][0]["delta"]["content"] if chat else c["choices"][0]["text"] for c in chunks]
    assert [p.split(".")[0] for p in parts] == list("01234")
    assert {c["object"] for c in chunks} == {"chat.completion.chunk" if chat else "text_completion"}


def test_replicas_see_prefill_transfer_decode_and_release_in_order(fleet):
    call(fleet, "steps", "/v1/completions", TEXT)
    kinds = [(r["kind"], r.get("role")) for r in fleet.ledger if r.get("request") == "steps"]
    assert kinds == [
        ("seen", "prefill"),
        ("run", "prefill"),
        ("export", None),
        ("prefilled", None),
        ("seen", "decode"),
        ("pull", None),
        ("run", "decode"),
        ("free", None),
        ("decoded", None),
    ]
    handshakes = [r for r in fleet.ledger if r["kind"] == "handshake"]
    assert len(handshakes) == 1  # one per pair, however many requests


@pytest.mark.parametrize(
    "put, taken, code",
    [
        ((200, {"sequence": 4}), {}, 0),
        ((409, {}), {}, 5),
        ((400, {}), {}, 2),
        ((504, {"error": {"verdict": "may_have_run"}}), {"mark": 9}, 0),
        ((504, {"error": {"verdict": "may_have_run"}}), {"mark": None}, 6),
        ((503, {"error": {"verdict": "not_run"}}), {"mark": None}, 1),
    ],
)
def test_apply_resolves_unknown_results_by_reading_the_history(monkeypatch, put, taken, code):
    calls = []

    def first_answer(addresses, method, path, body=None):
        calls.append((method, path, body and body["id"]))
        return put if method == "PUT" else (200, {"rows": [], "taken": taken})

    monkeypatch.setattr(operator_client, "first_answer", first_answer)
    assert operator_client.apply_document(["k"], 3, {}, "me", "mark")[0] == code
    assert {mark for method, _, mark in calls if method == "PUT"} == {"mark"}  # repeats carry the same id
    reads = [path for method, path, _ in calls if method == "GET"]
    assert reads == (["/configuration/history?id=mark"] if put[0] in (503, 504) else [])
