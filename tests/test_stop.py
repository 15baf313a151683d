"""SIGTERM to a router in the middle of a stream drops no request."""

import signal
import threading

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
