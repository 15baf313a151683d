"""Once-only traffic through a real keeper and a real router, while replicas and the router misbehave.

python -m tests.soak_exchanges --seconds 60

Answers are reset, closed, silenced, doubled and given under foreign ids; the router is
frozen; addresses go to other services before the list shows it. The replicas' account
is the judge: no id ran twice, none that was refused ran, and every answer that looks
whole is the one made of that request's own body.
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
PROMISES = (408, 421, 429, 503)
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
    """One request as its caller saw it; status 0: no whole answer."""

    id: str
    service: str
    status: int
    right: bool


class Caller(threading.Thread):
    """Sends one request after another on a kept connection; never one twice."""

    def __init__(self, number, address, until):
        super().__init__(daemon=True)
        self.number, self.until, self.outcomes, self.conn = number, until, [], None
        self.host, self.port = address.rsplit(":", 1)

    def run(self):
        """Send requests, one after another, until the time is up."""
        chance, count = random.Random(self.number), 0
        while time.monotonic() < self.until:
            count += 1
            own, service = f"c{self.number}.{count}", chance.choice(soak_system.SERVICES)
            body = chance.randbytes(chance.choice((0, 10, 3000)))
            self.outcomes.append(self.ask(own, service, body))

    def ask(self, own, service, body):
        """Send one request on the kept connection."""
        headers = {"Host": f"{service}.example", "Try-Id": own, "Time-Left": "1500"}
        try:
            if self.conn is None:
                self.conn = http.client.HTTPConnection(self.host, int(self.port), timeout=6)
            self.conn.request("POST", f"/p/{own}", body, headers)
            response = self.conn.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            self.conn.close()
            self.conn = None
            return Outcome(own, service, 0, True)
        right = response.status >= 300 or data == soak_system.answer_to(own, body) and response.headers["Try-Id"] == own
        return Outcome(own, service, response.status, right)


class Trouble(threading.Thread):
    """One trouble after another until the end; `done` counts them."""

    def __init__(self, router, replicas, until, seed):
        super().__init__(daemon=True)
        self.router, self.replicas, self.until = router, replicas, until
        self.random, self.done = random.Random(seed), collections.Counter()

    def run(self):
        """Bring faults in turn until shortly before the end."""
        kinds = itertools.cycle([self.spoil, self.reset, self.spoil, self.reuse, self.spoil, self.reset, self.freeze])
        while time.monotonic() < self.until - 1.0:
            kind = next(kinds)
            kind(self.random.choice(self.replicas))
            self.done[kind.__name__] += 1
            time.sleep(self.random.uniform(0.01, 0.15))

    def spoil(self, replica):
        """Have the replica spoil one of its next answers."""
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
        """Stop the router for a moment and let it go on."""
        self.router.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.1, 1.5))
        self.router.send_signal(signal.SIGCONT)

    def reuse(self, replica):
        """Another life, of the other service, on the same address."""
        other = soak_system.SERVICES[1 - soak_system.SERVICES.index(replica.depot)]
        replica.begin_life(f"i-{self.random.getrandbits(32):08x}", other)


def judge(runs, outcomes):
    """Map each rule to what broke it."""
    count = collections.Counter(run["id"] for run in runs)
    broken = {
        "ran twice": [name for name, n in count.items() if n > 1 and name != "first"],
        "refused, yet it ran": [o.id for o in outcomes if o.status in PROMISES and count[o.id]],
        "answer of another request": [o.id for o in outcomes if not o.right],
        "run by another service": [
            o.id for o in outcomes for run in runs if run["id"] == o.id and run["service"] != o.service
        ],
        "success that did not run": [o.id for o in outcomes if o.status == 200 and not count[o.id]],
    }
    return {rule: found for rule, found in broken.items() if found}


def run(folder, seconds, seed=1):
    """(rules broken, statuses as callers saw them, troubles done)."""
    system = soak_system.System(pathlib.Path(folder))
    try:
        system.configure()
        until = time.monotonic() + seconds
        trouble = Trouble(system.router, system.replicas, until, seed)
        callers = [Caller(n, system.door, until) for n in range(CALLERS)]
        for thread in (*callers, trouble):
            thread.start()
        for thread in (*callers, trouble):
            thread.join(seconds + 20)
        assert system.router.poll() is None and system.keeper.poll() is None, "a process has ended by itself"
        outcomes = [o for caller in callers for o in caller.outcomes]
        statuses = collections.Counter(o.status for o in outcomes)
        return judge(list(system.platform.runs), outcomes), statuses, trouble.done
    finally:
        system.stop()


def main():
    parser = argparse.ArgumentParser(description="once-only traffic through real processes under trouble")
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
