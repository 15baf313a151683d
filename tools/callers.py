"""Stand-in user agents: send the three kinds of request by zone and record every attempt.

Each attempt adds one row to the history: what was sent, when, what was received and
when. A call is sent again at once after a refused connection and after Retry-After
for a 503, to a random router of its zone; nothing else is repeated.
"""

import json
import random

import mothshed.http.http_client as http_client
import tools.replica_memory as replica_memory

SHARED_PREFIXES = {
    "dispatch": "Depot rules and the shift's scooters. ",
    "repair": "Fault catalogue of the workshop. ",
    "riders": "How damage is reported. ",
    "pharmacist": "Refill rules. ",
    "counter": "Pickup rules. ",
    "assistant": "Order states. ",
}
# kind: (share of the traffic, characters of its own, characters of the shared prefix, tokens, safe, streamed)
KINDS = {
    "summary": (0.3, 2600, 2048, 24, False, True),
    "question": (0.4, 300, 1024, 16, False, True),
    "flag": (0.3, 120, 512, 2, True, False),
}


def make_call(seed, number, tenants, kinds=KINDS, sites=1):
    """Make request number `number` of a load; deterministic for a given seed."""
    rng = random.Random(f"{seed}/{number}")
    tenant = rng.choice(tenants)
    kind = rng.choices(list(kinds), [share for share, *_ in kinds.values()])[0]
    share, own_chars, shared_chars, tokens, safe, stream = kinds[kind]
    site = rng.randrange(sites) if sites > 1 else 0  # requests of one site share a prefix
    shared_prefix = (f"site {site}: " + SHARED_PREFIXES.get(tenant, tenant + " ") * 200)[:shared_chars]
    own_text = "".join(rng.choice("abcdefghij ") for _ in range(own_chars))
    return {
        "id": f"q{seed}-{number}",
        "tenant": tenant,
        "kind": kind,
        "safe": safe,
        "stream": stream,
        "prompt": shared_prefix + own_text,
        "tokens": tokens,
    }


def send_call(environment, router, model, call):
    """Send a call once to one router; returns the history row of the outcome."""
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
    except http_client.ExchangeError as error:
        row.update(end="lost" if error.sent else "refused", done=environment.now(), error=str(error))
        return row
    row["status"] = response.status
    try:
        read_response(environment, response, row, call["stream"])
    except (http_client.ExchangeError, ValueError, KeyError) as error:
        row.update(end="broken", error=f"{type(error).__name__}: {error}")
    finally:
        response.close()
    row["done"] = environment.now()
    return row


def read_response(environment, response, row, stream):
    if response.status != 200 or not stream:
        answer = response.body()
        if response.status == 200:
            row.update(text=answer["choices"][0]["text"], end="whole", first=environment.now(), answer=answer["id"])
        else:
            row.update(
                end="answered",
                verdict=answer["error"]["verdict"],
                error=answer["error"]["message"],
                retry=response.headers.get("retry-after"),
            )
        return
    saw_done, finish_reason = False, None
    for line in response.lines():
        if not line.strip():
            continue
        row["first"] = row["first"] or environment.now()
        if line == b"data: [DONE]":
            saw_done = True
            continue
        answer = json.loads(line[6:])
        row["text"] += answer["choices"][0]["text"]
        row["answer"], finish_reason = answer["id"], answer["choices"][0]["finish_reason"]
    row["end"] = "whole" if saw_done and finish_reason else "broken"


def traffic(seed, tenants, rate, seconds, kinds=KINDS, sites=1):
    """Generate a load as [(seconds from the start, call)]; deterministic for a given seed."""
    rng, at, calls = random.Random(seed), 0.0, []
    while True:
        at += rng.expovariate(rate)
        if at > seconds:
            return calls
        calls.append((at, make_call(seed, len(calls), tenants, kinds, sites)))


class Load:
    """A bounded open-loop load: each call starts at its time, regardless of earlier calls."""

    def __init__(self, environment, seed, routers, model, calls, max_attempts=3):
        self.environment = environment
        self.seed, self.routers, self.model, self.calls, self.max_attempts = seed, routers, model, calls, max_attempts
        self.rows, self.started, self.finished = [], 0, []

    def run(self):
        start = self.environment.now()
        for number, (at, call) in enumerate(self.calls):
            self.environment.sleep(max(0, start + at - self.environment.now()))
            self.started += 1
            self.environment.spawn(lambda number=number, call=call: self.call(number, call))
        deadline = self.environment.now() + 30
        while len(self.finished) < self.started and self.environment.now() < deadline:
            self.environment.sleep(0.05)
        return self.rows

    def call(self, number, call):
        try:
            self.send_with_retries(call, random.Random(f"{self.seed}/{number}/router"))
        finally:
            self.finished.append(number)

    def send_with_retries(self, call, rng):
        zone = rng.choice(list(self.routers))
        for attempt in range(self.max_attempts):
            row = send_call(self.environment, rng.choice(self.routers[zone]), self.model, call)
            row["turn"] = attempt
            self.rows.append(row)
            if row["end"] == "refused":
                continue
            if row["status"] != 503 or attempt == self.max_attempts - 1:
                return
            self.environment.sleep(float(row["retry"] or 1))
