"""The state of a stand-in replica: held KV blocks, prefix cache, slots and the ledger of its runs.

This module has no HTTP. Every run, pull, free, lapse and order is written to a ledger
(JSON lines, flushed at once) with CLOCK_BOOTTIME, so that the checker can verify what
ran, how often, from which memory, and what is still held.
"""

import collections
import hashlib
import json
import threading

import mothshed.replicas.replica_adapter as replica_adapter

HOLD_S = 12.0  # exported memory that was not freed expires after this
SLOTS = {"prefill": 4, "decode": 8, "none": 4}
QUEUE_LENGTH = 12  # requests that may wait for a slot
PREFILL_CHARS_PER_S = 24000.0  # speed of prefill
DECODE_TOKENS_PER_S = 90.0  # speed of one decode stream
OLDER_SEQUENCE_GRACE_S = 0.25  # an older configuration sequence is rejected from this long after a newer one was seen
SLOT_POLL_INTERVAL_S = 0.004  # how often a waiting request checks for a free slot
CACHE_BLOCKS = 256  # prefix blocks kept in the cache


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


class QueueFull(Exception):
    """No slot and no room in the queue: rejected before anything ran."""


class Memory:
    def __init__(self, environment, name, ledger_path=None, ledger=None):
        self.environment, self.name, self.role = environment, name, "none"
        self.engine = f"{name}-{self.token()}"
        self.ledger = ledger or Ledger(ledger_path, name, environment.now)
        self.lock = threading.RLock()
        self.held = {}  # request id -> {"blocks", "digest", "exported_at"}
        self.cache = collections.OrderedDict()  # prefix key -> True
        self.running = self.waiting = 0
        self.callers = {}  # request id of a send -> request id of the user agent
        self.handshaken_engines = set()  # engine ids with which a handshake was made
        self.fencing_token, self.order_leader = 0, ""
        self.newest_sequence = (0, 0.0)  # newest sequence seen and when it was first seen
        self.rejects_older = True  # False: an old replica that ignores the header with the sequence
        self.fault = {}  # injected faults by name
        self.hold_s = HOLD_S
        self.ledger.add("start", engine=self.engine)

    def token(self):
        return f"{self.environment.random.getrandbits(32):08x}"

    def slots(self):
        return SLOTS.get(self.role, 4)

    def is_older_sequence(self, sequence):
        """Tell whether a newer sequence was first seen more than OLDER_SEQUENCE_GRACE_S ago."""
        if sequence > self.newest_sequence[0]:
            self.newest_sequence = (sequence, self.environment.now())
        return (
            self.rejects_older
            and sequence < self.newest_sequence[0]
            and self.environment.now() - self.newest_sequence[1] > OLDER_SEQUENCE_GRACE_S
        )

    def acquire_slot(self):
        with self.lock:
            if self.running + self.waiting >= self.slots() + QUEUE_LENGTH:
                raise QueueFull()
            self.waiting += 1
        while True:
            with self.lock:
                if self.running < self.slots():
                    self.waiting -= 1
                    self.running += 1
                    return
            self.environment.sleep(SLOT_POLL_INTERVAL_S)

    def release_slot(self):
        with self.lock:
            self.running -= 1

    def count_uncached_chars(self, prompt):
        """Count the characters to prefill and add the prompt's blocks to the cache."""
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
            while len(self.cache) > CACHE_BLOCKS:
                self.cache.popitem(last=False)
        return max(0, len(prompt) - hits * replica_adapter.constants.CACHE_BLOCK_CHARS)

    def export(self, request, prompt):
        with self.lock:
            blocks = [
                self.environment.random.getrandbits(20)
                for _ in range(1 + len(prompt) // replica_adapter.constants.CACHE_BLOCK_CHARS)
            ]
            self.held[request] = {"blocks": blocks, "digest": digest_of(prompt), "exported_at": self.environment.now()}
        self.record("export", request)
        return blocks

    def record(self, kind, send):
        self.ledger.add(kind, request=self.callers.get(send, send), send=send, engine=self.engine)

    def expire_held(self):
        now = self.environment.now()
        with self.lock:
            expired = [request for request, held in self.held.items() if now - held["exported_at"] > self.hold_s]
            for request in expired:
                del self.held[request]
                self.record("lapse", request)

    def pull(self, engine, request, blocks):
        """Return the digest of the held memory for a decode replica, or None."""
        self.expire_held()
        with self.lock:
            held = self.held.get(request)
            if engine != self.engine or held is None or held["blocks"] != blocks:
                return None
            self.record("pull", request)
            return held["digest"]

    def free(self, engine, request):
        with self.lock:
            if engine != self.engine or request not in self.held:
                return False
            del self.held[request]
        self.record("free", request)
        return True

    def order(self, role, fencing_token, leader_id, sequence):
        with self.lock:
            accepted = fencing_token > self.fencing_token or (
                fencing_token == self.fencing_token and leader_id == self.order_leader
            )
            self.ledger.add(
                "order", role=role, standing=fencing_token, holder=leader_id, taken=accepted, sequence=sequence
            )
            if accepted:
                self.is_older_sequence(sequence)
                self.fencing_token, self.order_leader, self.role = fencing_token, leader_id, role
            return accepted

    def condition(self):
        self.expire_held()
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
                "standing": self.fencing_token,
            }
