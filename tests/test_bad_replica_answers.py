"""Streams and handles from replicas that are cut short, malformed or belong to another request."""

import copy
import types

import pytest

import mothshed.http.caller as caller
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict

GOOD = [
    b'data: {"id": "cmpl-a1", "choices": [{"text": "x ", "finish_reason": null}]}',
    b'data: {"id": "cmpl-a1", "choices": [{"text": "y ", "finish_reason": "stop"}]}',
    b"data: [DONE]",
]


def stream(lines):
    response = types.SimpleNamespace(lines=lambda: iter(lines), close=lambda: None)
    endpoint = types.SimpleNamespace(name="r")
    return list(replica_adapter.Stream(types.SimpleNamespace(now=lambda: 0.0), "a1", endpoint, response, 5.0))


def test_a_complete_stream_is_read():
    assert stream(GOOD) == [("x ", None), ("y ", "stop")]


@pytest.mark.parametrize(
    "lines",
    [
        GOOD[:1],
        GOOD[:2],
        GOOD[2:],
        GOOD[:1] + GOOD[2:],
        GOOD + GOOD[:1],
        GOOD[:2] + GOOD[:1] + GOOD[2:],
        [b"nonsense"],
        [b"data: {"],
        [b'data: {"error": {"message": "x"}}'],
        [b"data: []"],
        [b'data: {"id": "cmpl-a1", "choices": []}'],
        [b'data: {"id": "cmpl-a11", "choices": [{"text": "x ", "finish_reason": "stop"}]}', b"data: [DONE]"],
        [b'data: {"id": "cmpl-a1", "choices": [{"text": 5, "finish_reason": "stop"}]}', b"data: [DONE]"],
        [],
    ],
)
def test_an_incomplete_or_foreign_stream_is_never_a_success(lines):
    with pytest.raises(verdict.SendFailure) as failure:
        stream(lines)
    assert failure.value.verdict is verdict.Verdict.MAY_HAVE_RUN


HANDLE = {
    "remote_engine_id": "e",
    "remote_block_ids": [1],
    "remote_host": "h",
    "remote_port": 1,
    "remote_request_id": "a1",
}


@pytest.mark.parametrize(
    "spoil",
    [
        lambda s: s.pop("kv_transfer_params"),
        lambda s: s.update(id="cmpl-a2"),
        lambda s: s["kv_transfer_params"].pop("remote_port"),
        lambda s: s["kv_transfer_params"].update(remote_request_id="a2"),
        lambda s: s["kv_transfer_params"].update(remote_engine_id="f"),
        lambda s: s["kv_transfer_params"].update(remote_block_ids=None),
        lambda s: s.update(kv_transfer_params=[]),
    ],
)
def test_a_missing_or_foreign_handle_is_rejected(spoil):
    answer = {"id": "cmpl-a1", "kv_transfer_params": copy.deepcopy(HANDLE)}
    request = types.SimpleNamespace(id="a1", body={}, path="/v1/completions", caller=caller.Caller())
    endpoint = types.SimpleNamespace(name="r", url="http://r", engine="e")
    web = types.SimpleNamespace(send=lambda *a, **k: types.SimpleNamespace(status=200, body=lambda: answer))
    environment = types.SimpleNamespace(now=lambda: 0.0, web=web)
    assert replica_adapter.prefill(environment, request, "a1", endpoint, 1, 1.0, None).params["remote_block_ids"] == [1]
    spoil(answer)
    with pytest.raises(verdict.SendFailure) as failure:
        replica_adapter.prefill(environment, request, "a1", endpoint, 1, 1.0, None)
    assert failure.value.verdict is verdict.Verdict.MAY_HAVE_RUN
