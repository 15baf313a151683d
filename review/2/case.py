"""A replica breaks off a short answer that was sent with its length: what the client gets must not look complete."""

import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet  # noqa: E402 (found only through the path added above)

stand_in, bare_http = fleet.stand_in, fleet.stand_in.bare_http
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 100
BROKEN_OFF = 2  # answers, of 100: the share that the pages name for this trouble
LAST_EVENT = 3
WORDS = ("brake", "the brake of the scooter is broken: its left lever is gone")  # of a first run, and of a further one


class Replica(stand_in.Replica):
    """A sound replica: its short answers are whole when it sends them, so it sends their length.

    Each run of a prompt may give other words, as the tokens are sampled.
    """

    def __init__(self, platform, leg):
        self.break_off = set()
        self.events_of = {}  # request id -> the events that it sent or wanted to send, by their ids
        super().__init__(platform, fleet.SERVICE, leg, zone="gdl-a", berths=64, events=LAST_EVENT)

    def stream(self, conn, request, fault, headers, after):
        """Send the events after one of them; return whether the connection can be used again."""
        request_id = request.get("Try-Id")
        words = WORDS[min(1, len(self.platform.ran(request_id)) - 1)]
        events = {n: f"id: {n}\ndata: {n} {words}\n\n".encode() for n in range(after + 1, LAST_EVENT + 1)}
        self.events_of[request_id] = events
        body = b"".join(events.values())
        length = ("Content-Length", len(body))
        conn.sendall(bare_http.head(200, [*headers, ("Content-Type", "text/event-stream"), length]))
        if request_id in self.break_off and not after:
            conn.sendall(events[1])
            return False
        conn.sendall(body)
        return True


def expected_bodies(replicas, request_id):
    """Return the bodies that may look complete: one whole run, or a part of one and the rest of another."""
    runs = [replica.events_of[request_id] for replica in replicas if request_id in replica.events_of]
    bodies = [b"".join(run.values()) for run in runs]
    for first in runs:
        for second in runs:
            for last in range(1, LAST_EVENT):
                ids = [n for n in first if n <= last]
                if second is not first and min(second) == last + 1:
                    bodies.append(b"".join(first[n] for n in ids) + b"".join(second.values()))
    return bodies


def run(record):
    """Play the case; return the number of wrong answers that look complete."""
    system = fleet.Fleet()
    try:
        replicas = [Replica(system.platform, leg) for leg in ("prefill", "decode", "decode", "decode")]
        system.start()
        route = fleet.route(deadline_ms=2500, target_ms=1500, urgency=2)
        document = {"edition": 1, "itineraries": [route], "depots": [fleet.depot()], "caps": fleet.CAPS}
        system.put_configuration(document, 0)
        for row in system.routers:
            fleet.wait_until(lambda row=row: system.is_ready(row), 20, "readiness")
        record.write(f"trouble {TROUBLE}\n")
        wrong = 0
        for number in range(REQUESTS):
            request_id = f"t{number:04x}"
            broken_off = TROUBLE and number % (REQUESTS // BROKEN_OFF) == 20
            if broken_off:
                for replica in replicas:
                    replica.break_off.add(request_id)
            router = system.routers[number % len(system.routers)]
            headers = [
                ("Model", "m"),
                ("Tokens", "2368,6"),
                ("Prompt-Prefix", f"5c1e07a2:568,{number + 4096:x}:1800"),
                ("Time-Left", "2500"),
            ]
            answer = fleet.ask((router.host, system.ports["counter"]), request_id, headers)
            runs = system.platform.ran(request_id)
            looks_complete = answer.status == 200 and answer.complete
            bad = looks_complete and answer.body not in expected_bodies(replicas, request_id)
            wrong += bad
            if bad or broken_off or answer.status != 200 or number < 3:
                sent = "broken off by its first replica, " if broken_off else ""
                look = "looks complete" if looks_complete else "not complete"
                record.write(
                    f"{request_id}: {sent}runs {len(runs)}, status {answer.status}, {look}, body {answer.body!r}, "
                    f"whole bodies {expected_bodies(replicas, request_id)!r}{', WRONG' if bad else ''}\n"
                )
        record.write(f"{wrong} wrong answers of {REQUESTS} look complete\n")
        return wrong
    finally:
        system.stop()


if __name__ == "__main__":
    sys.exit(fleet.play(run, HERE))
