"""Soak test: requests that must not run twice, through a real keeper and a real router, under injected faults.

python -m tests.soak_exchanges --seconds 60

Responses are reset, closed, withheld, duplicated or sent with the id of another request; the
router is paused; addresses are reused by replicas of another service before the list shows it.
Judged by the replicas' records of runs: no id ran twice, no request that was refused ran, and
every complete response is the one to that request's body.
"""

import argparse
import collections
import dataclasses
import http.client
import itertools
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import threading
import time

import tests.soak_system as soak_system

RESET = struct.pack("ii", 1, 0)  # SO_LINGER that makes a close a reset
NOT_RUN_STATUSES = (408, 421, 429, 503)
CALLERS = 10
FAULTS = (
    {"close": True},
    {"silent": True},
    {"id": "another"},
    {"stale": True},
    {"late": True},
    {"bounce": 503},
    {"break": 0},
    {"garbage": b"HTTP/1.1 200 OK\r\nContent-Le"},
)


@dataclasses.dataclass
class Outcome:
    """The result of one request at its caller; status 0: no complete response."""

    id: str
    service: str
    status: int
    correct: bool


class Caller(threading.Thread):
    """Sends one request after another on a kept connection, each only once."""

    def __init__(self, number, address, until):
        super().__init__(daemon=True)
        self.number, self.until, self.outcomes, self.conn = number, until, [], None
        self.host, self.port = address.rsplit(":", 1)

    def run(self):
        """Send requests, one after another, until the time is up."""
        rng, count = random.Random(self.number), 0
        while time.monotonic() < self.until:
            count += 1
            request_id, service = f"c{self.number}.{count}", rng.choice(soak_system.SERVICES)
            body = rng.randbytes(rng.choice((0, 10, 3000)))
            self.outcomes.append(self.send_request(request_id, service, body))

    def send_request(self, request_id, service, body):
        """Send one request on the kept connection."""
        headers = {"Host": f"{service}.example", "Try-Id": request_id, "Time-Left": "1500"}
        try:
            if self.conn is None:
                self.conn = http.client.HTTPConnection(self.host, int(self.port), timeout=6)
            self.conn.request("POST", f"/p/{request_id}", body, headers)
            response = self.conn.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            self.conn.close()
            self.conn = None
            return Outcome(request_id, service, 0, True)
        correct = (
            response.status >= 300
            or data == soak_system.expected_response(request_id, body)
            and response.headers["Try-Id"] == request_id
        )
        return Outcome(request_id, service, response.status, correct)


class FaultInjector(threading.Thread):
    """Injects one fault after another until the end; `injected` counts them by kind."""

    def __init__(self, router, replicas, until, seed):
        super().__init__(daemon=True)
        self.router, self.replicas, self.until = router, replicas, until
        self.random, self.injected = random.Random(seed), collections.Counter()

    def run(self):
        """Inject the kinds of faults in turn until shortly before the end."""
        kinds = itertools.cycle([self.spoil, self.reset, self.spoil, self.reuse, self.spoil, self.reset, self.freeze])
        while time.monotonic() < self.until - 1.0:
            kind = next(kinds)
            kind(self.random.choice(self.replicas))
            self.injected[kind.__name__] += 1
            time.sleep(self.random.uniform(0.01, 0.15))

    def spoil(self, replica):
        """Let the replica send one of its next responses with a fault."""
        replica.faults.append(self.random.choice(FAULTS))

    def reset(self, replica):
        """Reset the connections that the replica holds."""
        for conn in list(replica.conns):
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def freeze(self, replica):
        """Pause the router process for a moment."""
        self.router.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.1, 1.5))
        self.router.send_signal(signal.SIGCONT)

    def reuse(self, replica):
        """Restart the replica on the same address as one of the other service."""
        other = soak_system.SERVICES[1 - soak_system.SERVICES.index(replica.depot)]
        replica.start_instance(f"i-{self.random.getrandbits(32):08x}", other)


def judge(runs, outcomes):
    """Map each violated rule to its violations."""
    count = collections.Counter(run["id"] for run in runs)
    broken = {
        "ran twice": [name for name, n in count.items() if n > 1 and name != "first"],
        "refused, yet it ran": [o.id for o in outcomes if o.status in NOT_RUN_STATUSES and count[o.id]],
        "answer of another request": [o.id for o in outcomes if not o.correct],
        "run by another service": [
            o.id for o in outcomes for run in runs if run["id"] == o.id and run["service"] != o.service
        ],
        "success that did not run": [o.id for o in outcomes if o.status == 200 and not count[o.id]],
    }
    return {rule: found for rule, found in broken.items() if found}


def run(folder, seconds, seed=1):
    """Run the soak; return (violations by rule, responses by status, injected faults by kind)."""
    system = soak_system.System(pathlib.Path(folder))
    try:
        system.configure()
        until = time.monotonic() + seconds
        injector = FaultInjector(system.router, system.replicas, until, seed)
        callers = [Caller(n, system.front_address, until) for n in range(CALLERS)]
        for thread in (*callers, injector):
            thread.start()
        for thread in (*callers, injector):
            thread.join(seconds + 20)
        assert system.router.poll() is None and system.keeper.poll() is None, "a process has ended by itself"
        outcomes = [o for caller in callers for o in caller.outcomes]
        statuses = collections.Counter(o.status for o in outcomes)
        return judge(list(system.platform.runs), outcomes), statuses, injector.injected
    finally:
        system.stop()


def main():
    parser = argparse.ArgumentParser(
        description="requests that must not run twice, through real processes under injected faults"
    )
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="mothshed-soak-") as folder:
        broken, statuses, troubles = run(folder, args.seconds, args.seed)
    print(f"{args.seconds:.0f} s, answers by status {dict(sorted(statuses.items()))}, troubles {dict(troubles)}")
    for rule, found in broken.items():
        print(f"    BROKEN {rule}: {len(found)}, first: {found[0]}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
