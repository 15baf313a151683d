"""The ways in which responses are read, as functions of an address, and checks of what each of them returns."""

import json

import pytest

import mothshed.http.connection as connection
import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import mothshed.programs.operator_client as operator_client
import tests.broken_heads as broken_heads

Framing = broken_heads.Framing
CONDITION = {"engine_id": "e", "role": "none", "running": 0, "waiting": 0, "slots": 1, "cache": [], "standing": 0}
# An answer to whatever is asked: an error, an empty list, a handle, the condition of a replica.
ANSWER = {"error": {"message": "unchecked"}, "items": [], "replicas": [], "consignment": "h", **CONDITION}
BODY = json.dumps(ANSWER).encode() + b"\n"
READ_TIMEOUT_S = 2.0


@pytest.fixture(scope="module")
def server():
    found = broken_heads.RawServer()
    yield found
    found.stop()


def read_by_exchange(address):
    """Return the fields and the body of a response to a send on a kept connection."""
    pool = connection_pool.ConnectionPool(lambda: 0.0)
    reply = pool.exchange("POST", address, "/x", {}, b"b", READ_TIMEOUT_S)
    return reply.headers, reply.all()


def read_by_send(address):
    """Return the fields and the body of a response to a send on a connection of its own."""
    response = http_client.HttpClient().send("POST", f"http://{address}/x", {}, read=READ_TIMEOUT_S)
    return response.headers, json.dumps(response.body()).encode() + b"\n"


def read_lines_by_send(address):
    """Return the fields and the body of a response that is read line by line."""
    response = http_client.HttpClient().send("POST", f"http://{address}/x", {}, read=READ_TIMEOUT_S)
    return response.headers, b"".join(line + b"\n" for line in response.lines())


def read_by_poll(address):
    """Return the body of a response to a poll."""
    _status, answer = http_client.HttpClient().poll("GET", f"http://{address}/x")
    return None, json.dumps(answer).encode() + b"\n"


def read_by_operator(address):
    """Return the body of a response to a command of the operator; raises ExchangeError if there is none."""
    pool = connection.AddressPools()
    status, answer = operator_client.attempt(pool, "GET", f"http://{address}/x", None)
    if status == 503:
        assert answer["error"]["verdict"] == "may_have_run"
        raise http_client.ExchangeError(answer["error"]["message"], True)
    return None, json.dumps(answer).encode() + b"\n"


def read_by_operator_from_each(address):
    """Return the body of a response to a command that asks every address; raises ExchangeError if there is none."""
    answer = operator_client.fetch_each([address], "/x", text=True)[address]
    if answer is None:
        raise http_client.ExchangeError("no answer", True)
    return None, answer.encode()


READERS = {
    "kept connection": read_by_exchange,
    "own connection": read_by_send,
    "own connection, by lines": read_lines_by_send,
    "poll": read_by_poll,
    "operator": read_by_operator,
    "operator, each address": read_by_operator_from_each,
}


def check_refused(server, read, response):
    """Check that a response is an error that proves nothing, and that its text quotes nothing of it."""
    server.response, server.requests[:] = response, []
    with pytest.raises(http_client.ExchangeError) as error:
        read(server.address)
    assert error.value.sent and len(server.requests) == 1
    assert "vil" not in str(error.value) and "unchecked" not in str(error.value)


def check_read(server, read, response, fields=()):
    """Check that a sound response is read whole, and its fields unchanged."""
    server.response = response
    headers, body = read(server.address)
    assert body == BODY
    if headers is not None:
        assert [row for row in headers.items() if row[0] in dict(fields)] == list(fields)


SOUND_LINES = [b"Content-Length: %d" % len(BODY)]
SOUND = broken_heads.message(broken_heads.STATUS_LINE, SOUND_LINES, Framing.LENGTH, BODY)
