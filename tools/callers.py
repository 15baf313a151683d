"""Stand-in user agents: the three kinds of request, sent by zone, all recorded.

Each call leaves one row in the history: what was sent, when, what came back and
when. A refused connection or a 503 may be tried once at another router after
Retry-After, as the row says; an unsafe request is never repeated on anything
else.
"""

import json
import random

import mothshed.http.http_client as http_client
import tools.replica_memory as replica_memory

SHARED = {
    "dispatch": "Depot rules and the shift's scooters. ",
    "repair": "Fault catalogue of the workshop. ",
    "riders": "How damage is reported. ",
    "pharmacist": "Refill rules. ",
    "counter": "Pickup rules. ",
    "assistant": "Order states. ",
}
# kind: (share of the traffic, own characters, shared characters, tokens, safe, streamed)
KINDS = {
    "summary": (0.3, 2600, 2048, 24, False, True),
    "question": (0.4, 300, 1024, 16, False, True),
    "flag": (0.3, 120, 512, 2, True, False),
}


def make(seed, number, tenants, kinds=KINDS, sites=1):
    """Request number `number` of a load: always the same for the same seed."""
    chance = random.Random(f"{seed}/{number}")
    tenant = chance.choice(tenants)
    kind = chance.choices(list(kinds), [k[0] for k in kinds.values()])[0]
    share, own, shared, tokens, safe, stream = kinds[kind]
    site = chance.randrange(sites) if sites > 1 else 0  # each site shares a prefix of its own
    head = (f"site {site}: " + SHARED.get(tenant, tenant + " ") * 200)[:shared]
    tail = "".join(chance.choice("abcdefghij ") for _ in range(own))
    return {
        "id": f"q{seed}-{number}",
        "tenant": tenant,
        "kind": kind,
        "safe": safe,
        "stream": stream,
        "prompt": head + tail,
        "tokens": tokens,
    }


def send(environment, router, model, call):
    """One send to one router; returns the row of what came back."""
    headers = {
        "x-request-id": call["id"],
        "x-tenant": call["tenant"],
        "x-kind": call["kind"],
        "x-safe-to-repeat": str(call["safe"]).lower(),
    }
    body = {"model": model, "prompt": call["prompt"], "max_tokens": call["tokens"], "stream": call["stream"]}
    row = {
        "id": call["id"],
        "tenant": call["tenant"],
        "kind": call["kind"],
        "safe": call["safe"],
        "router": router,
        "digest": replica_memory.digest_of(call["prompt"]),
        "tokens": call["tokens"],
        "sent": environment.now(),
        "first": None,
        "status": 0,
        "text": "",
        "end": "",
        "verdict": "",
        "retry": None,
    }
    try:
        response = environment.web.send("POST", f"http://{router}/v1/completions", body, headers, read=12)
    except http_client.ExchangeError as e:
        row.update(end="lost" if e.sent else "refused", done=environment.now(), error=str(e))
        return row
    row["status"] = response.status
    try:
        read(environment, response, row, call["stream"])
    except (http_client.ExchangeError, ValueError, KeyError) as e:
        row.update(end="broken", error=f"{type(e).__name__}: {e}")
    finally:
        response.close()
    row["done"] = environment.now()
    return row


def read(environment, response, row, stream):
    if response.status != 200 or not stream:
        said = response.body()
        if response.status == 200:
            row.update(text=said["choices"][0]["text"], end="whole", first=environment.now(), answer=said["id"])
        else:
            row.update(
                end="answered",
                verdict=said["error"]["verdict"],
                error=said["error"]["message"],
                retry=response.headers.get("retry-after"),
            )
        return
    done, finish = False, None
    for line in response.lines():
        if not line.strip():
            continue
        row["first"] = row["first"] or environment.now()
        if line == b"data: [DONE]":
            done = True
            continue
        said = json.loads(line[6:])
        row["text"] += said["choices"][0]["text"]
        row["answer"], finish = said["id"], said["choices"][0]["finish_reason"]
    row["end"] = "whole" if done and finish else "broken"


def traffic(seed, tenants, rate, seconds, kinds=KINDS, sites=1):
    """A recorded load: (moment from the start, call), the same for the same seed."""
    chance, at, rows = random.Random(seed), 0.0, []
    while True:
        at += chance.expovariate(rate)
        if at > seconds:
            return rows
        rows.append((at, make(seed, len(rows), tenants, kinds, sites)))


class Load:
    """A bounded open load: calls start at their moments whatever becomes of earlier ones."""

    def __init__(self, environment, seed, routers, model, calls, tries=3):
        self.environment = environment
        self.seed, self.routers, self.model, self.calls, self.tries = seed, routers, model, calls, tries
        self.rows, self.begun, self.ended = [], 0, []

    def run(self):
        start = self.environment.now()
        for number, (at, call) in enumerate(self.calls):
            self.environment.sleep(max(0, start + at - self.environment.now()))
            self.begun += 1
            self.environment.spawn(lambda number=number, call=call: self.call(number, call))
        most = self.environment.now() + 30
        while len(self.ended) < self.begun and self.environment.now() < most:
            self.environment.sleep(0.05)
        return self.rows

    def call(self, number, call):
        try:
            self.turns(call, random.Random(f"{self.seed}/{number}/router"))
        finally:
            self.ended.append(number)

    def turns(self, call, chance):
        zone = chance.choice(list(self.routers))
        for turn in range(self.tries):
            row = send(self.environment, chance.choice(self.routers[zone]), self.model, call)
            row["turn"] = turn
            self.rows.append(row)
            if row["end"] == "refused":
                continue
            if row["status"] != 503 or turn == self.tries - 1:
                return
            self.environment.sleep(float(row["retry"] or 1))
