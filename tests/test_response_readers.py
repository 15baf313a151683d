"""Every way in which a response is read: one with a malformed head is an error that proves nothing."""

import dataclasses
import json
import types

import pytest

import mothshed.http.caller as caller_module
import mothshed.programs.environment as environment_module
import mothshed.replicas.platform_list as platform_list
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import tests.broken_heads as broken_heads
import tests.platform_site as platform_site
import tests.response_readers as response_readers

server = response_readers.server
Framing, Place = broken_heads.Framing, broken_heads.Place


# Incident of broken answers (MIXED), for every reader of responses.
@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL + broken_heads.OTHER_BROKEN_LINES)
def test_a_malformed_field_line_is_no_answer_to_any_reader(server, line, place, framing, read):
    response_readers.check_refused(
        server, read, broken_heads.broken_response(line, place, framing, response_readers.BODY)
    )


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("status_line", broken_heads.BROKEN_STATUS_LINES)
def test_a_malformed_status_line_is_no_answer_to_any_reader(server, status_line, read):
    lines = [b"%s: %s" % field for field in broken_heads.framing_fields_of(Framing.LENGTH, response_readers.BODY)]
    response_readers.check_refused(
        server, read, broken_heads.message(status_line, lines, Framing.LENGTH, response_readers.BODY)
    )


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("position", ["before", "within", "after"])
def test_no_reader_takes_a_name_with_any_blank_or_control_byte(server, position, read):
    for number in broken_heads.BLANKS_AND_CONTROLS:
        byte = bytes([number])
        line = {"before": byte + b"X-Evil: 1", "within": b"X" + byte + b"Evil: 1", "after": b"X-Evil" + byte + b": 1"}
        response = broken_heads.broken_response(
            line[position], Place.BEFORE_FRAMING, Framing.LENGTH, response_readers.BODY
        )
        response_readers.check_refused(server, read, response)


UNCLEAR_FRAMINGS = [
    [b"Content-Length: +%d" % len(response_readers.BODY)],
    [b"Content-Length: %d_" % len(response_readers.BODY)],
    [b"Content-Length: 1_0"],
    [b"Content-Length: -1"],
    [b"Content-Length: 0x10"],
    [b"Content-Length: "],
    [b"Content-Length: %d, %d" % (len(response_readers.BODY), len(response_readers.BODY))],
    [b"Content-Length: " + b"9" * 5000],
    [b"Content-Length: %d" % len(response_readers.BODY), b"Content-Length: 2"],
    [b"Content-Length: \xb2"],
    [b"Transfer-Encoding: chunked", b"Content-Length: %d" % len(response_readers.BODY)],
    [b"Transfer-Encoding: identity"],
    [b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"],
    [b"Transfer-Encoding: xchunked"],
]


# Guards against lengths that are read by int(), and against framing that two readers can understand differently.
@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("lines", UNCLEAR_FRAMINGS, ids=lambda lines: lines[0][:40])
def test_a_head_that_frames_its_body_unclearly_is_no_answer(server, lines, read):
    chunked = lines[0] == b"Transfer-Encoding: chunked"
    body = broken_heads.framed_body(Framing.CHUNKS if chunked else Framing.LENGTH, response_readers.BODY)
    head = b"\r\n".join([broken_heads.STATUS_LINE, *lines, b"", b""])
    response_readers.check_refused(server, read, head + body)


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("missing_bytes", [1, 2, len(response_readers.BODY)])
def test_a_body_that_is_shorter_than_its_length_is_no_answer(server, missing_bytes, read):
    lines = [b"Content-Length: %d" % (len(response_readers.BODY) + missing_bytes)]
    response = broken_heads.message(broken_heads.STATUS_LINE, lines, Framing.LENGTH, response_readers.BODY)
    response_readers.check_refused(server, read, response)


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 100 Continue\r\nX Evil: 1\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nX-Evil\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nX\x01Evil: 1\r\n\r\n",
        b"HTTP/1.1 000 Said\r\n\r\n",
        b"HTTP/1.1 099 Said\r\n\r\n",
        b"HTTP/1.1 1_0_0 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\n",
        INTERIM + b"HTTP/1.1 100 Continue\r\n Evil: 1\r\n\r\n",
    ],
)
def test_a_malformed_head_of_status_100_is_no_answer(server, interim, read):
    response_readers.check_refused(server, read, interim + response_readers.SOUND)


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
def test_a_malformed_head_after_an_interim_one_is_no_answer(server, read):
    for line in broken_heads.NAMES_WITH_BLANK_OR_CONTROL:
        response = broken_heads.broken_response(line, Place.BEFORE_FRAMING, Framing.LENGTH, response_readers.BODY)
        response_readers.check_refused(server, read, INTERIM + response)


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize(
    "interim",
    [
        INTERIM,
        INTERIM * 3,
        b"HTTP/1.1 100 \r\nX-Note: \xe9\r\n\r\n",
    ],
)
def test_a_sound_head_of_status_100_is_followed_by_its_answer(server, interim, read):
    response_readers.check_read(server, read, interim + response_readers.SOUND)


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("status", [101, 102, 103, 199])
def test_a_status_that_is_not_final_is_no_answer(server, status, read):
    response_readers.check_refused(server, read, b"HTTP/1.1 %d Said\r\n\r\n" % status + response_readers.SOUND)


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
def test_a_head_without_end_is_given_up(server, read):
    response_readers.check_refused(server, read, INTERIM * 100000)
    response_readers.check_refused(server, read, broken_heads.STATUS_LINE + b"\r\nX-Long: " + b"a" * 2000000)


OWN_HANDLE = replica_adapter.Handle("t.1", "i", "", "e", {"remote_block_ids": [1], "id": "h"}, 0.0)
CALLS = {
    "list": lambda environment, address: platform_list.read(environment, f"http://{address}"),
    "condition": lambda environment, address: replica_adapter.condition(environment, f"http://{address}"),
    "release": lambda environment, address: replica_adapter.release_handle(environment, handle_at(address)),
    "order": lambda environment, address: replica_adapter.order_role(*order_to(environment, address)),
    "list of the platform": lambda environment, address: PLATFORM.rows(environment, f"http://{address}"),
    "release on the platform": lambda environment, address: PLATFORM.release_handle(environment, handle_at(address)),
    "order on the platform": lambda environment, address: PLATFORM.order_role(*order_to(environment, address)),
}
PREFILL_ANSWER = json.dumps(
    {
        "id": "cmpl-t.1",
        "kv_transfer_params": {
            "remote_engine_id": "e",
            "remote_block_ids": [1],
            "remote_host": "h",
            "remote_port": 1,
            "remote_request_id": "t.1",
        },
    }
).encode()
STREAM = b'data: {"id": "cmpl-t.1", "choices": [{"text": "x", "finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
PLATFORM = platform_site.replica_protocol.PlatformReplicaProtocol()


def handle_at(address):
    """Return a handle that a replica at this address holds."""
    return dataclasses.replace(OWN_HANDLE, address=f"http://{address}")


def order_to(environment, address):
    """Return the arguments of an order to a replica at this address."""
    endpoint = types.SimpleNamespace(name="i", url=f"http://{address}", engine="e")
    return environment, endpoint, "decode", 1, "leader", 1


# Guards against an order or a release that counts as done, and a list or condition that is used, for a broken answer.
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("place", Place)
def test_a_malformed_answer_confirms_no_call_to_replicas_or_platform(server, place, call):
    server.response = response_readers.SOUND
    assert call(environment_module.BlockingEnvironment(), server.address) not in (None, False)
    environment = environment_module.BlockingEnvironment()  # has no connection that the server is closing
    for line in broken_heads.NAMES_WITH_BLANK_OR_CONTROL:
        response = broken_heads.broken_response(line, place, Framing.LENGTH, response_readers.BODY)
        response_readers.check_refused(server, lambda address: call(environment, address), response)


def request_of_our_protocol():
    """Return a request that may be sent to replicas of our own protocol."""
    return types.SimpleNamespace(id="t", body={"prompt": "x"}, path="/v1/completions", caller=caller_module.Caller())


def prefill(environment, endpoint):
    """Request a prefill by our own protocol."""
    return replica_adapter.prefill(environment, request_of_our_protocol(), "t.1", endpoint, 1, 2.0, lambda: True)


def decode(environment, endpoint):
    """Request a decode by our own protocol, and read its stream."""
    handle = dataclasses.replace(OWN_HANDLE, created_at=environment.now())
    return list(
        replica_adapter.decode(environment, request_of_our_protocol(), "t.1", endpoint, handle, 1, 2.0, lambda: True)
    )


# Guards against a prefill or a stream of our own protocol that counts as done for a broken answer.
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("send, body", [(prefill, PREFILL_ANSWER), (decode, STREAM)], ids=["prefill", "decode"])
def test_a_malformed_answer_to_a_send_of_our_protocol_may_have_run(server, send, body, place):
    environment = environment_module.BlockingEnvironment()
    endpoint = types.SimpleNamespace(name="i", url=f"http://{server.address}", engine="e")
    server.response = broken_heads.message(broken_heads.STATUS_LINE, [], Framing.CONNECTION, body)
    assert send(environment, endpoint)  # on a connection of its own
    for line in broken_heads.NAMES_WITH_BLANK_OR_CONTROL:
        server.response = broken_heads.broken_response(line, place, Framing.CHUNKS, body)
        with pytest.raises(verdict.SendFailure) as failure:
            send(environment, endpoint)
        assert failure.value.verdict is verdict.Verdict.MAY_HAVE_RUN and "vil" not in str(failure.value)
