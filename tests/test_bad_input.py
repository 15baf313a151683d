"""Invalid input from clients, operators, settings and peers; for replicas see test_bad_replica_answers."""

import json
import socket
import subprocess
import sys
import time

import pytest

import mothshed.configuration.document as configuration
import mothshed.configuration.settings as settings
import mothshed.constants as constants
import mothshed.control_plane.operator_api as operator_api
import mothshed.transport.link as link
import mothshed.transport.peers as peers
import mothshed.transport.records as records
import tests.fronts as fronts
import tools.fleet as fleet
import tools.simulator.fleet as sim

HEADERS = {"x-request-id": "a1", "x-tenant": "dispatch", "x-kind": "flag"}
BODY = {"model": "shift-notes", "prompt": "hello", "max_tokens": 2}


@pytest.fixture(scope="module")
def ready_fleet():
    simulated_fleet = sim.SimFleet("bad-input")
    simulated_fleet.ready()
    return simulated_fleet


@pytest.mark.parametrize(
    "change, status",
    [
        ({"data": b"{"}, 400),
        ({"data": b"[1]"}, 400),
        ({"data": b"\xff\xfe"}, 400),
        ({"data": b"[" * 100000}, 400),
        ({"body": {"model": "other"}}, 404),
        ({"body": {"prompt": ""}}, 400),
        ({"body": {"prompt": 7}}, 400),
        ({"body": {"n": 2}}, 400),
        ({"body": {"max_tokens": 0}}, 400),
        ({"body": {"max_tokens": True}}, 400),
        ({"body": {"stream": "yes"}}, 400),
        ({"headers": {"x-tenant": "nobody"}}, 403),
        ({"headers": {"x-tenant": ""}}, 403),
        ({"headers": {"x-kind": "poem"}}, 400),
        ({"headers": {"x-request-id": "a b"}}, 400),
        ({"headers": {"x-request-id": ""}}, 400),
        ({"headers": {"x-safe-to-repeat": "maybe"}}, 400),
        ({"headers": {"x-cutoff-ms": "soon"}}, 400),
        ({"headers": {"x-cutoff-ms": "nan"}}, 400),
        ({"headers": {"x-cutoff-ms": "-1"}}, 400),
        ({"headers": {"x-cutoff-ms": "9e9"}}, 400),
        ({"data": b" " * (constants.MAX_BODY_BYTES + 1)}, 413),
        ({"path": "/v1/chat/completions"}, 400),
        ({"path": "/v1/chat/completions", "body": {"messages": [{"role": "user"}]}}, 400),
        ({"path": "/v1/nothing"}, 404),
        ({"method": "GET"}, 405),
        ({"path": "/condition"}, 405),
        ({"path": "/metrics"}, 405),
    ],
)
def test_rejected_requests_have_the_verdict_not_run(ready_fleet, change, status):
    app = ready_fleet.net.apps[ready_fleet.settings["route-1"]["http"]][1]
    data = change.get("data", {**BODY, **change.get("body", {})})
    response = fronts.call(
        app,
        change.get("method", "POST"),
        change.get("path", "/v1/completions"),
        data,
        {**HEADERS, **change.get("headers", {})},
    )
    assert response[0] == status and response[2]["error"]["verdict"] == "not_run"
    assert ready_fleet.processes["route-1"].in_flight == 0 and not any(r["kind"] == "seen" for r in ready_fleet.ledger)


def test_request_before_the_first_configuration_is_rejected_with_retry_after():
    new_fleet = sim.SimFleet("early")
    new_fleet.run(0.1)
    app = new_fleet.net.apps[new_fleet.settings["route-1"]["http"]][1]
    status, headers, body = fronts.call(app, "POST", "/v1/completions", BODY, HEADERS)
    assert (status, body["error"]["verdict"], headers["retry-after"]) == (503, "not_run", "1")


@pytest.mark.parametrize(
    "body, paths",
    [
        (b"{", []),
        ([1], ["document"]),
        ({"base": -1, "document": configuration.EXAMPLE}, ["base"]),
        (
            {"base": 0, "document": {}, "more": 1},
            ["more", "document.kinds", "document.model", "document.pairings", "document.pools", "document.tenants"],
        ),
        (
            {"base": 0, "document": {**configuration.EXAMPLE, "pairings": [{"pool": "x", "policy": "magic"}]}},
            ["document.pairings.0.policy"],
        ),
        (
            {
                "base": 0,
                "document": {
                    **configuration.EXAMPLE,
                    "pairings": [{"pool": "x", "policy": "least_usage", "kinds": ["no"]}],
                },
            },
            ["document.pairings.0.pool", "document.pairings.0.kinds"],
        ),
    ],
)
def test_invalid_configuration_reports_every_error_and_applies_nothing(ready_fleet, body, paths):
    app = operator_api.OperatorApi(ready_fleet.processes[ready_fleet.leader()])
    status, headers, response = fronts.call(app, "PUT", "/configuration", body)
    assert status == 400 and response["error"]["verdict"] == "not_run"
    assert [f.split(":")[0] for f in response["error"].get("faults", [])] == paths
    assert ready_fleet.processes[ready_fleet.leader()].members[0].machine.latest == 1


def test_stale_base_gets_409_with_the_current_sequence(ready_fleet):
    responses = []
    body = {"base": 0, "document": fleet.document("patinetes")}
    ready_fleet.operator(lambda: responses.append(ready_fleet.ask("PUT", "/configuration", body)))
    ready_fleet.run(2)
    assert responses[0][0] == 409 and responses[0][1]["error"]["current"] == 1


def test_invalid_settings_report_every_error(tmp_path):
    path = tmp_path / "s.json"
    path.write_text(
        json.dumps({"name": "x y", "address": "host:1", "http": "127.0.0.1:99999", "cell": "", "seeds": [], "odd": 1})
    )
    with pytest.raises(settings.SettingsError) as raised:
        settings.load(path, {}, keeper=True)
    named = {f.split(":")[0] for f in raised.value.errors}
    assert named == {"name", "address", "http", "cell", "seeds", "odd", "list_url", "data"}
    done = subprocess.run(
        [sys.executable, "-m", "mothshed.programs.keep", "--settings", str(path)], capture_output=True, text=True
    )
    assert done.returncode == 2 and "seeds" in done.stderr + done.stdout


def malformed_records():
    record = records.pack("ask", part=0, mark=1, held=0, staged=0)
    yield b"XXXX" + record[4:]
    yield record[:6] + b"\xff\xff\xff\xff" + record[10:]
    yield record[:-1] + bytes([record[-1] ^ 1])
    yield (
        records.HEADER.pack(records.MAGIC, records.CODEC.by_name["ask"].number, 3, records.zlib.crc32(b"abc")) + b"abc"
    )


def test_malformed_peer_record_closes_only_its_connection():
    host = f"127.0.0.1:{fleet.free_port('127.0.0.1')}"
    received, peer = [], peers.Peers(host)
    peer.subscribe("ask", 0, lambda sender, body: received.append(body["mark"]))
    hello = records.pack("hello", address="127.0.0.1:1")
    try:
        for number, bad in enumerate(malformed_records(), 1):
            with socket.create_connection(link.parse_address(host), 5) as conn:
                conn.settimeout(5)
                conn.sendall(hello + bad)
                assert conn.recv(1) == b""  # closed by the peer
            assert peer.stats()["links_record_fault"] == number
        with socket.create_connection(link.parse_address(host), 5) as conn:
            conn.sendall(hello + records.pack("ask", part=0, mark=7, held=0, staged=0))
            deadline = time.monotonic() + 5
            while not received and time.monotonic() < deadline:
                conn.settimeout(0.01)
                try:
                    conn.recv(1)
                except TimeoutError:
                    pass
        assert received == [7]
    finally:
        peer.stop()
