"""The size to design for, and the replica lists and configuration documents of the load model.

The required sizes do not say how long prefill and decoding take, what a route looks like, and how long
a record takes between regions: these values are assumptions.
"""

import dataclasses
import json
import random

import mothshed.configuration.document as configuration

REGIONS, ZONES = ("north", "middle", "south"), 8
ZONE_NAMES = [f"{REGIONS[at % 3]}-{at // 3 + 1}" for at in range(ZONES)]
NODES, REPLICAS, MODELS, TENANTS = 400, 770, 21, 240
REQUESTS_S, TOKENS_S, PROMPT_GB_S = 12000, 3100000, 15000
PREFILL_RATIO, CHANGES_DAY, IN_FORCE_S = 0.29, 2600, 19
CORE_SHARE, MEMORY_MB, KB_S = 0.029, 64, 14
PREFILL_S = 0.2  # assumed duration of a prefill, including its wait
DECODE_S = 9.0  # assumed duration of an answer: 258 tokens at half of the allowed 70 ms
PAGE_ROWS = 50  # replicas on one page of the platform's list
IN_REGION_DELAY_S, CROSS_REGION_DELAY_S = 0.0005, 0.03  # assumed one-way delay


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of a modelled fleet."""

    routers: int = NODES
    replicas: int = REPLICAS
    models: int = MODELS
    tenants: int = TENANTS  # each has its own route
    requests: float = 0.0  # requests per second and router

    def smaller(self, share):
        return dataclasses.replace(
            self,
            routers=max(2, int(self.routers * share)),
            replicas=max(4, int(self.replicas * share)),
            models=max(1, int(self.models * share)),
            tenants=max(1, int(self.tenants * share)),
        )


def zone_name(at):
    return ZONE_NAMES[at % len(ZONE_NAMES)]


def region_of(zone):
    return zone.split("-")[0]


def model(at):
    return f"model-{at:02d}"


def rows(size):
    """Return the replica list as {name: row}. Every model with two or more replicas has a prefill replica."""
    result, rows_by_model = {}, {}
    for at in range(size.replicas):
        name = model(at % size.models)
        row = {
            "url": f"http://10.{64 + at // 250}.{at % 250}.9:8080",
            "cell": zone_name(at),
            "service": name,
            "labels": {"service": name},
            "leaving": False,
            "role": "decode",
            "slots": 64,
        }
        result[f"i-{at:08x}"] = row
        rows_by_model.setdefault(name, []).append(row)
    for model_rows in rows_by_model.values():
        for row in model_rows[: max(1, round(PREFILL_RATIO * len(model_rows))) if len(model_rows) > 1 else 0]:
            row["role"] = "prefill"
    return result


def list_pages(size):
    """Return the pages of the replica list as bytes."""
    model_rows = sorted(rows(size).items())
    pages = [dict(model_rows[at : at + PAGE_ROWS]) for at in range(0, len(model_rows), PAGE_ROWS)] or [{}]
    return [
        json.dumps({"rows": page, "next": number + 1 if number + 1 < len(pages) else None}).encode()
        for number, page in enumerate(pages)
    ]


def document(size, sequence=1):
    """Return a configuration with a route per tenant and a pool per model, and the document as sent."""
    pools = {
        model(at): {
            "selector": {"service": model(at)},
            "engine": {"memory_tokens": 410894, "handle_life_s": 5.0, "slots": 64},
        }
        for at in range(size.models)
    }
    routes = [
        {
            "name": f"route-of-tenant-{at:03d}",
            "host": f"tenant-{at:03d}.fleet.example",
            "prefix": "/v1/answers/",
            "kind": "stream",
            "pools": [{"pool": model(at % size.models), "share": 1}],
            "cutoff_s": 8.0,
            "aim_s": 1.3,
            "pause_s": 0.3,
            "tries": 2,
            "urgency": 5,
            "resumable": True,
        }
        for at in range(size.tenants)
    ]
    sent_document = {"sequence": sequence, "routes": routes, "pools": pools}
    return configuration.with_defaults(
        {
            "model": model(0),
            "kinds": {"any": {"cutoff_s": 8}},
            "tenants": {"any": {"share": 1}},
            "pools": pools,
            "pairings": [{"pool": model(0), "policy": "least_usage"}],
            "routes": routes,
            "limits": {"head_bytes": 16384, "body_bytes": 4194304},
            "as_sent": sent_document,
        }
    )


def json_bytes(body):
    return len(json.dumps(body, separators=(",", ":")))


def draw_running(size, rng, prefill_names, decode_names):
    """Draw the running requests of one router per replica, from its request rate and the assumed durations."""
    result = {}
    for names, duration_s in ((prefill_names, PREFILL_S), (decode_names, DECODE_S)):
        count = size.requests * duration_s
        for _ in range(int(count) + (rng.random() < count % 1)):
            name = rng.choice(names)
            result[name] = result.get(name, 0) + 1
    return result


def seeded_random(*seed_parts):
    return random.Random("/".join(str(part) for part in seed_parts))
