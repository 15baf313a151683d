"""SIGTERM to a router in the middle of a stream drops no request."""

import http.client
import json
import signal
import threading
import types

import pytest

import mothshed.data_plane.router_front as router_front
import mothshed.programs.environment as environment_module
import tests.fleets as fleets
import tools.callers as callers


def test_sigterm_lets_streams_end_and_rejects_new_requests(tmp_path):
    with fleets.serving(tmp_path, 2, 2) as fleet:
        environment, router, rows = environment_module.BlockingEnvironment(), fleet.settings["route-1"]["http"], []
        call = {**callers.make_call(1, 1, ["dispatch"]), "tokens": 150, "stream": True, "kind": "question"}

        def send():
            rows.append(callers.send_call(environment, router, "shift-notes", call))

        thread = threading.Thread(target=send)
        thread.start()
        fleet.wait_http(router, "/condition", lambda c: c["flight"] == 1)
        fleet.signal("route-1", signal.SIGTERM)
        while True:  # the router now rejects new requests or has closed its port
            late = callers.send_call(environment, router, "shift-notes", {**call, "id": "late", "tokens": 1})
            if late["status"] != 200:
                break
            call = {**call, "id": call["id"] + "x"}
        assert late["end"] == "refused" or (late["status"], late["verdict"], late["retry"]) == (503, "not_run", "1")
        thread.join(30)
        assert fleet.processes["route-1"].wait(30) == 0
        assert [(r["end"], len(r["text"].split())) for r in rows] == [("whole", 150)]


GRACE_S = 4.0  # the stand-in replicas break a stream after 4 s


def stop_with_long_call(fleet, tmp_path, stream):
    """Stop a router, by several signals, with one call that outlives the stop; return its row and the last log line."""
    path = tmp_path / "route-1.json"
    path.write_text(json.dumps({**json.loads(path.read_text()), "grace_s": GRACE_S}))
    fleet.signal("route-1", signal.SIGTERM)
    assert fleet.processes["route-1"].wait(30) == 0
    fleet.relaunch("route-1")
    environment, router, rows = environment_module.BlockingEnvironment(), fleet.settings["route-1"]["http"], []
    fleet.wait_http(router, "/condition", lambda c: c["serving"])
    call = {**callers.make_call(1, 1, ["dispatch"]), "tokens": 2000, "stream": stream, "kind": "question"}
    thread = threading.Thread(target=lambda: rows.append(callers.send_call(environment, router, "shift-notes", call)))
    thread.start()
    fleet.wait_http(router, "/condition", lambda c: c["flight"] == 1)
    for name in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        fleet.signal("route-1", name)
    fleet.wait_http(router, "/condition", lambda c: c["stop"] and 0 < c["stop"]["cut_in_s"] < c["stop"]["ends_in_s"])
    assert fleet.processes["route-1"].wait(GRACE_S) == 1
    thread.join(30)
    return rows[0], json.loads((tmp_path / "route-1.ring").read_text().splitlines()[-1])


# Guards against a router of our own interface that serves on after a second signal, or that only a kill ends.
def test_a_stream_that_outlives_the_grace_time_is_cut_and_the_router_ends_by_itself(tmp_path):
    with fleets.serving(tmp_path, 2, 2) as fleet:
        row, ended = stop_with_long_call(fleet, tmp_path, True)
        assert row["end"] == "broken" and 0 < len(row["text"].split()) < 2000
        assert ended["message_type"] == "stop_ended" and not ended["completed"] and ended["cut"] == 1


# Guards against a cut that is told and counted as if the user agent had hung up.
def test_a_call_without_a_stream_that_outlives_the_grace_time_gets_an_answer(tmp_path):
    with fleets.serving(tmp_path, 2, 2) as fleet:
        row, ended = stop_with_long_call(fleet, tmp_path, False)
        assert (row["end"], row["status"], row["verdict"]) == ("answered", 502, "may_have_run")
        assert row["error"] == "this router is stopping" and ended["cut"] == 1


@pytest.mark.parametrize("sends, status, is_told_when_to_return", [(0, 503, True), (1, 502, False)])
def test_a_call_that_is_cut_before_it_was_sent_has_not_run(sends, status, is_told_when_to_return):
    entries, heads = [], []
    router = types.SimpleNamespace(journal=types.SimpleNamespace(add=lambda kind, **entry: entries.append(entry)))
    execution = types.SimpleNamespace(was_sent=lambda: bool(sends))
    front = router_front.CompletionsFront(router)
    body = front.cut_response(lambda *head: heads.append(head), execution, {"x-request-id": "q-1"})
    headers = dict(heads[0][1])
    assert heads[0][0].startswith(str(status)) and ("Retry-After" in headers) is is_told_when_to_return
    assert json.loads(body[0])["error"]["verdict"] == ("may_have_run" if sends else "not_run")
    assert entries == [{"outcome": "cut", "request": "q-1"}] and headers["X-Request-Id"] == "q-1"


def kept_connection(address):
    """Return a connection to an address, which is kept for several requests."""
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=10)


def connection_header(connection, method, path, body=None):
    """Send a request on a kept connection; return its status and what the response says about the connection."""
    connection.request(method, path, body and json.dumps(body))
    response = connection.getresponse()
    response.read()
    return response.status, response.headers.get("Connection")


# Guards against clients that learn that their process stops only from a closed connection.
def test_a_stopping_router_and_keeper_tell_their_clients_to_connect_elsewhere(tmp_path):
    with fleets.serving(tmp_path, 2, 2) as fleet:
        body = {"model": "shift-notes", "prompt": "a " * 40, "max_tokens": 2, "stream": False}
        for name, call in (("route-1", ("POST", "/v1/completions", body)), ("keep-1", ("GET", "/configuration"))):
            path = tmp_path / f"{name}.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "grace_s": 8.0}))
            fleet.signal(name, signal.SIGTERM)
            fleet.processes[name].wait(30)
            fleet.relaunch(name)
            address = fleet.settings[name]["http"]
            fleet.wait_http(address, "/condition", lambda c: c.get("serving", True))
            connection = kept_connection(address)
            assert connection_header(connection, *call)[1] is None
            fleet.signal(name, signal.SIGTERM)
            fleet.wait_http(address, "/condition", lambda c: c["stop"])
            assert connection_header(connection, *call)[1] == "close"
