"""Stand-in user agents: the three kinds of request, sent by zone, all recorded.

Each call leaves one row in the history: what was sent, when, what came back and
when. A refused connection or a 503 may be tried once at another router after
Retry-After, as the row says; an unsafe request is never repeated on anything
else.
"""

import json
import random
import threading
import time

import urllib3

import mothshed.common.world as world
import tools.replica_memory as replica_memory

SHARED = {"dispatch": "Depot rules and the shift's scooters. ", "repair": "Fault catalogue of the workshop. ",
          "riders": "How damage is reported. ", "pharmacist": "Refill rules. ", "counter": "Pickup rules. ",
          "assistant": "Order states. "}
# kind: (share of the traffic, own characters, shared characters, tokens, safe, streamed)
KINDS = {"summary": (0.3, 2600, 2048, 24, False, True), "question": (0.4, 300, 1024, 16, False, True),
         "flag": (0.3, 120, 512, 2, True, False)}


def make(seed, number, tenants, kinds=KINDS):
    """Request number `number` of a load: always the same for the same seed."""
    chance = random.Random(f"{seed}/{number}")
    tenant = chance.choice(tenants)
    kind = chance.choices(list(kinds), [k[0] for k in kinds.values()])[0]
    share, own, shared, tokens, safe, stream = kinds[kind]
    head = (SHARED.get(tenant, tenant + " ") * 200)[:shared]
    tail = "".join(chance.choice("abcdefghij ") for _ in range(own))
    return {"id": f"q{seed}-{number}", "tenant": tenant, "kind": kind, "safe": safe, "stream": stream,
            "prompt": head + tail, "tokens": tokens}


def send(pool, router, model, call):
    """One send to one router; returns the row of what came back."""
    headers = {"x-request-id": call["id"], "x-tenant": call["tenant"], "x-kind": call["kind"],
               "x-safe-to-repeat": str(call["safe"]).lower()}
    body = {"model": model, "prompt": call["prompt"], "max_tokens": call["tokens"], "stream": call["stream"]}
    row = {"id": call["id"], "tenant": call["tenant"], "kind": call["kind"], "safe": call["safe"], "router": router,
           "digest": replica_memory.digest_of(call["prompt"]), "tokens": call["tokens"], "sent": world.now(),
           "first": None, "status": 0, "text": "", "end": "", "verdict": "", "retry": None}
    try:
        response = pool.request("POST", f"http://{router}/v1/completions", json=body, headers=headers,
                                preload_content=False, retries=False, timeout=urllib3.Timeout(connect=0.5, read=12))
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
        row.update(end="refused", done=world.now())
        return row
    except (urllib3.exceptions.HTTPError, OSError) as e:
        row.update(end="lost", done=world.now(), error=type(e).__name__)
        return row
    row["status"] = response.status
    try:
        read(response, row, call["stream"])
    except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError) as e:
        row.update(end="broken", error=f"{type(e).__name__}: {e}")
    finally:
        response.close()
    row["done"] = world.now()
    return row


def read(response, row, stream):
    if response.status != 200 or not stream:
        said = json.loads(response.read())
        if response.status == 200:
            row.update(text=said["choices"][0]["text"], end="whole", first=world.now(), answer=said["id"])
        else:
            row.update(end="answered", verdict=said["error"]["verdict"], error=said["error"]["message"],
                       retry=response.headers.get("retry-after"))
        return
    rest, done, finish = b"", False, None
    for piece in response.stream(None):
        rest += piece
        *whole, rest = rest.split(b"\n")
        for line in whole:
            if not line.strip():
                continue
            row["first"] = row["first"] or world.now()
            if line == b"data: [DONE]":
                done = True
                continue
            said = json.loads(line[6:])
            row["text"] += said["choices"][0]["text"]
            row["answer"], finish = said["id"], said["choices"][0]["finish_reason"]
    row["end"] = "whole" if done and finish else "broken"


class Load:
    """A bounded open load: calls start at their moments whatever becomes of earlier ones."""

    def __init__(self, seed, tenants, routers, model, rate, seconds, kinds=KINDS, tries=3):
        self.seed, self.tenants, self.routers, self.model = seed, tenants, routers, model
        self.rate, self.seconds, self.kinds, self.tries = rate, seconds, kinds, tries
        self.rows, self.lock = [], threading.Lock()
        self.pool = urllib3.PoolManager(num_pools=64, maxsize=64, retries=False)

    def run(self):
        chance, threads, at = random.Random(self.seed), [], world.now()
        until = at + self.seconds
        for number in range(int(self.rate * self.seconds * 2)):
            at += chance.expovariate(self.rate)
            if at > until:
                break
            time.sleep(max(0, at - world.now()))
            thread = threading.Thread(target=self.call, args=(number,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(30)
        return self.rows

    def call(self, number):
        call = make(self.seed, number, self.tenants, self.kinds)
        chance = random.Random(f"{self.seed}/{number}/router")
        zones = list(self.routers)
        zone = chance.choice(zones)
        for turn in range(self.tries):
            row = send(self.pool, chance.choice(self.routers[zone]), self.model, call)
            row["turn"] = turn
            with self.lock:
                self.rows.append(row)
            if row["end"] == "refused":
                continue
            if row["status"] != 503 or turn == self.tries - 1:
                return
            time.sleep(float(row["retry"] or 1))
