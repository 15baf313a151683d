"""A router is stopped while one replica rests for 1.6 s: the streams that rest must still come to their end."""

import os
import pathlib
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet  # noqa: E402 (found only through the path added above)

stand_in, bare_http = fleet.stand_in, fleet.stand_in.bare_http
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 48
EVENTS, GAP_S = 24, 0.06
REST_S = 1.6  # clients of this route wait 3.2 s for an event, and no client waits less than 2 s
TERM_AFTER_S, REST_AFTER_S = 0.6, 0.8  # from the first request
CALM_S = 12.0  # longer than contact_ms and than the window of the retry budget
GRACE_S = 8.0
LATEST_CUT_S = GRACE_S * 5 / 6  # what a replica works at after this, counted from the SIGTERM, may be cut


class Replica(stand_in.Replica):
    """A sound replica that can rest once: it sends no event for REST_S, and then goes on with all of them."""

    def __init__(self, platform, leg):
        self.closed_on = {}  # request id -> time at which the system closed the connection
        self.rests_from = float("inf")
        super().__init__(platform, fleet.SERVICE, leg, zone="gdl-a", berths=64, events=EVENTS)

    def pause_s(self):
        """Return how long the next event takes."""
        now = time.monotonic()
        end = self.rests_from + REST_S
        return end - now if self.rests_from <= now < end else GAP_S

    def stream(self, conn, request, fault, headers, after):
        """Send the events after one of them; return whether the connection can be used again."""
        more = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        conn.sendall(bare_http.head(200, [*headers, *more]))
        for number in range(after + 1, EVENTS + 1):
            conn.settimeout(self.pause_s())
            try:
                conn.recv(1, socket.MSG_PEEK)  # the system sends nothing while it waits: this is its close
                self.closed_on[request.get("Try-Id")] = time.monotonic()
                return False
            except TimeoutError:
                pass
            except OSError:
                self.closed_on[request.get("Try-Id")] = time.monotonic()
                return False
            conn.settimeout(None)
            conn.sendall(bare_http.chunk(stand_in.event(number, EVENTS)))
        conn.sendall(b"0\r\n\r\n")
        return True


def prompt(number):
    """Return the header fields of a request: a shared part of 5,400 tokens, and 600 of its own."""
    parts = f"5c1e07a2:5400,{number + 4096:x}:600"
    return [("Model", "m"), ("Tokens", "6000,24"), ("Prompt-Prefix", parts), ("Time-Left", "8000")]


def run(record):
    """Play the case; return the number of answers that the system cut."""
    system = fleet.Fleet()
    try:
        legs = ("prefill", "prefill", "decode", "decode", "decode")
        replicas = [Replica(system.platform, leg) for leg in legs]
        system.start()
        document = {"edition": 1, "itineraries": [fleet.route()], "depots": [fleet.depot()], "caps": fleet.CAPS}
        system.put_configuration(document, 0)
        for row in system.routers:
            fleet.wait_until(lambda row=row: system.is_ready(row), 20, "readiness")
        time.sleep(CALM_S)
        router = system.routers[0]
        address = (router.host, system.ports["counter"])
        for number in range(4):  # the shared part is read once
            fleet.ask(address, f"warm{number}", prompt(-1 - number))
        began_at = time.monotonic()
        stopped_at = began_at + TERM_AFTER_S
        if TROUBLE:
            replicas[2].rests_from = began_at + REST_AFTER_S
        threading.Timer(TERM_AFTER_S, lambda: router.process.send_signal(signal.SIGTERM)).start()

        def ask(number):
            time.sleep(number * 0.008)
            return fleet.ask(address, f"t{number:04x}", prompt(number))

        answers = fleet.in_threads([lambda n=n: ask(n) for n in range(STREAMS)])
        return judge(record, system, replicas, answers, stopped_at)
    finally:
        system.stop()


def judge(record, system, replicas, answers, stopped_at):
    """Write what was sent, answered and run; return the number of answers that break the rule."""
    record.write(f"trouble {TROUBLE}; times are in seconds from the SIGTERM of the router\n")
    cut = 0
    for answer in answers:
        request_id = answer.request_id
        runs = len(system.platform.ran(request_id))
        closed = [replica.closed_on[request_id] - stopped_at for replica in replicas if request_id in replica.closed_on]
        ended = answer.closed_at - stopped_at
        lost = bool(runs and answer.status == 200 and not answer.complete and ended < LATEST_CUT_S)
        cut += lost
        events = answer.body.count(b"\n\n")
        times = ", ".join(f"{at:+.2f}" for at in closed) or "never"
        outcome = "CUT" if lost else "complete" if answer.complete else f"not complete {answer.error}"
        record.write(
            f"{request_id}: sent {answer.sent_at - stopped_at:+.2f}, runs {runs}, status {answer.status}, "
            f"events {events} of {EVENTS}, closed on a replica at work: {times}, ended {ended:+.2f}, {outcome}\n"
        )
    record.write(f"{cut} of {len(answers)} answers were cut\n")
    return cut


if __name__ == "__main__":
    sys.exit(fleet.play(run, HERE))
