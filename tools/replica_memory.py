"""The stand-in replica's model: held blocks, cache, slots, runs on record.

No HTTP here. Every run, pull, free, lapse and order is written to a ledger (JSON
lines, flushed at once) under CLOCK_BOOTTIME, so that the checker can judge what
ran, how often, from which memory, and what was left held.
"""

import collections
import hashlib
import json
import threading

import mothshed.replicas.replica_adapter as replica_adapter

HOLD = 12.0  # s; exported memory nobody took lapses after this
SLOTS = {"prefill": 4, "decode": 8, "none": 4}
QUEUE = 12  # requests that may wait beyond the slots
READ_SPEED = 24000.0  # prompt characters a second
WRITE_SPEED = 90.0  # tokens a second for one stream
OLDER = 0.25  # s; sends under an older sequence are refused this long after a newer one
WAIT_BEAT = 0.004  # s; a waiting request looks for a slot this often
CACHE_KEYS = 256  # prefix blocks kept in the cache


def digest_of(prompt):
    return hashlib.blake2b(prompt.encode(), digest_size=6).hexdigest()


class Ledger:
    def __init__(self, path, name, now, rows=None):
        self.now = now
        self.file = open(path, "a", buffering=1) if path else None
        self.rows, self.name, self.lock = [] if rows is None else rows, name, threading.Lock()

    def add(self, kind, **row):
        row = {"kind": kind, "replica": self.name, "at": self.now(), **row}
        with self.lock:
            self.rows.append(row)
            if self.file:
                self.file.write(json.dumps(row) + "\n")


class Full(Exception):
    """No slot and no room to wait: bounced before anything ran."""


class Memory:
    def __init__(self, environment, name, ledger_path=None, ledger=None):
        self.environment, self.name, self.role = environment, name, "none"
        self.engine = f"{name}-{self.token()}"
        self.ledger = ledger or Ledger(ledger_path, name, environment.now)
        self.lock = threading.RLock()
        self.held = {}  # request id -> {"blocks", "digest", "born"}
        self.cache = collections.OrderedDict()  # prefix key -> True
        self.running = self.waiting = 0
        self.callers = {}  # id of a send -> its user agent's id
        self.shakes = set()  # engines handshaken with
        self.standing, self.holder = 0, ""
        self.newest = (0, 0.0)  # newest sequence seen, and when first
        self.refuses_older = True  # whether it knows the header that bears the sequence
        self.fault = {}  # what the tests make go wrong
        self.hold = HOLD
        self.ledger.add("start", engine=self.engine)

    def token(self):
        return f"{self.environment.random.getrandbits(32):08x}"

    def slots(self):
        return SLOTS.get(self.role, 4)

    def older(self, sequence):
        """Whether a newer sequence was seen here more than a moment ago."""
        if sequence > self.newest[0]:
            self.newest = (sequence, self.environment.now())
        return self.refuses_older and sequence < self.newest[0] and self.environment.now() - self.newest[1] > OLDER

    def take_slot(self):
        with self.lock:
            if self.running + self.waiting >= self.slots() + QUEUE:
                raise Full()
            self.waiting += 1
        while True:
            with self.lock:
                if self.running < self.slots():
                    self.waiting -= 1
                    self.running += 1
                    return
            self.environment.sleep(WAIT_BEAT)

    def give_slot(self):
        with self.lock:
            self.running -= 1

    def uncached(self, prompt):
        """Characters to read; the prompt's blocks are cached from now on."""
        keys = replica_adapter.prefix_keys(prompt)
        with self.lock:
            hits = 0
            for key in keys:
                if key not in self.cache:
                    break
                hits += 1
            for key in keys:
                self.cache[key] = True
                self.cache.move_to_end(key)
            while len(self.cache) > CACHE_KEYS:
                self.cache.popitem(last=False)
        return max(0, len(prompt) - hits * replica_adapter.constants.CACHE_BLOCK_CHARS)

    def export(self, request, prompt):
        with self.lock:
            blocks = [
                self.environment.random.getrandbits(20)
                for _ in range(1 + len(prompt) // replica_adapter.constants.CACHE_BLOCK_CHARS)
            ]
            self.held[request] = {"blocks": blocks, "digest": digest_of(prompt), "born": self.environment.now()}
        self.note("export", request)
        return blocks

    def note(self, kind, send):
        self.ledger.add(kind, request=self.callers.get(send, send), send=send, engine=self.engine)

    def lapse(self):
        now = self.environment.now()
        with self.lock:
            gone = [r for r, h in self.held.items() if now - h["born"] > self.hold]
            for request in gone:
                del self.held[request]
                self.note("lapse", request)

    def pull(self, engine, request, blocks):
        """What a decode replica reads: the digest of the held memory, or None."""
        self.lapse()
        with self.lock:
            held = self.held.get(request)
            if engine != self.engine or held is None or held["blocks"] != blocks:
                return None
            self.note("pull", request)
            return held["digest"]

    def free(self, engine, request):
        with self.lock:
            if engine != self.engine or request not in self.held:
                return False
            del self.held[request]
        self.note("free", request)
        return True

    def order(self, role, standing, holder, sequence):
        with self.lock:
            good = standing > self.standing or (standing == self.standing and holder == self.holder)
            self.ledger.add("order", role=role, standing=standing, holder=holder, taken=good, sequence=sequence)
            if good:
                self.older(sequence)
                self.standing, self.holder, self.role = standing, holder, role
            return good

    def condition(self):
        self.lapse()
        with self.lock:
            keys = list(self.cache)
            return {
                "name": self.name,
                "engine_id": self.engine,
                "role": self.role,
                "running": self.running,
                "waiting": self.waiting,
                "slots": self.slots(),
                "held": len(self.held),
                "cache": keys,
                "standing": self.standing,
            }
