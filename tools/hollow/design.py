"""The size that users ask to design for, and the lists and documents of a hollow fleet.

What the users' letter does not say is a guess and named so here: how long a request
is being read and written, how a route is written down, the way between regions.
"""

import dataclasses
import json
import random
import sys
import pathlib

sys.path.append(str(pathlib.Path(__file__).parent.parent.parent / "platform"))

import operator_front
import mothshed.common.configuration as configuration

REGIONS, ZONES = ("north", "middle", "south"), 8
CELLS = [f"{REGIONS[at % 3]}-{at // 3 + 1}" for at in range(ZONES)]
NODES, REPLICAS, MODELS, TENANTS = 400, 770, 21, 240
REQUESTS_S, TOKENS_S, PROMPT_GB_S = 12000, 3100000, 15000
READERS_SHARE, CHANGES_DAY, IN_FORCE_S = 0.29, 2600, 19
CORE_SHARE, MEMORY_MB, KB_S = 0.029, 64, 14
READING_S = 0.2         # guess: s a prompt is being read, its wait included
WRITING_S = 9.0         # guess: s an answer is being written: 258 tokens at half the 70 ms allowed
PAGE = 50               # replicas on one page of the platform's list, as the users' sites have it
NEAR, FAR = 0.0005, 0.03    # guess: s one way within a region and between two


@dataclasses.dataclass(frozen=True)
class Size:
    """One size of a hollow fleet."""
    routers: int = NODES
    replicas: int = REPLICAS
    models: int = MODELS
    tenants: int = TENANTS      # each with a route of its own
    requests: float = 0.0       # requests a second and router that are running

    def smaller(self, share):
        return dataclasses.replace(self, routers=max(2, int(self.routers * share)), replicas=max(4, int(self.replicas * share)),
                                   models=max(1, int(self.models * share)), tenants=max(1, int(self.tenants * share)))


def cell(at):
    return CELLS[at % len(CELLS)]


def region(place):
    return place.split("-")[0]


def model(at):
    return f"model-{at:02d}"


def replica(at, size):
    """One row of the platform's list, in the platform's words."""
    name = model(at % size.models)
    return {"depot": name, "address": f"10.{64 + at // 250}.{at % 250}.9:8080", "zone": cell(at), "edition": "v1",
            "berths": 64, "condition": "in_service", "cold_left_ms": 0,
            "leg": "prefill" if (at // size.models) % 100 < 100 * READERS_SHARE else "decode",
            "models": [{"name": name, "edition": 1, "adapters": []}], "replica_id": f"i-{at:08x}"}


def list_pages(size):
    """The platform's list as its pages' bytes."""
    rows = [replica(at, size) for at in range(size.replicas)]
    # the readers are spread over each model's own replicas, so that every model has some
    by = {}
    for row in rows:
        by.setdefault(row["depot"], []).append(row)
    for own in by.values():
        for at, row in enumerate(own):
            row["leg"] = "prefill" if at < max(1, round(READERS_SHARE * len(own))) and len(own) > 1 else "decode"
    pages = [rows[at:at + PAGE] for at in range(0, len(rows), PAGE)] or [[]]
    return [json.dumps({"replicas": page, "next_token": f"p-{n + 1}" if n + 1 < len(pages) else None}).encode()
            for n, page in enumerate(pages)]


def said_document(size, sequence=1):
    """A configuration in the platform's words: a route for each tenant, a service for each model."""
    depots = [{"name": model(at), "engine": {"cache_tokens": 410894, "consignment_s": 5.0, "berths": 64,
                                             "models": [{"name": model(at), "edition": 1, "adapters": []}]}}
              for at in range(size.models)]
    routes = [{"name": f"route-of-tenant-{at:03d}", "host": f"tenant-{at:03d}.fleet.example", "prefix": "/v1/answers/",
               "kind": "stream", "depot": model(at % size.models), "deadline_ms": 8000, "target_ms": 1300,
               "headway_ms": 300, "tries": 2, "urgency": 5, "resumable": True} for at in range(size.tenants)]
    return {"edition": sequence, "itineraries": routes, "depots": depots,
            "caps": {"head_bytes": 16384, "parcel_bytes": 4194304, "head_ms": 4000, "quiet_ms": 20000}}


def document(size, sequence=1):
    """The same as the product keeps it: in its own form, with what was sent beside it."""
    return configuration.full(operator_front.document_of(said_document(size, sequence)))


def packed(body):
    return len(json.dumps(body, separators=(",", ":")))


def running(size, chance, readers, writers):
    """name -> requests that one router has running: drawn, as many as its share and the guessed spans say."""
    found = {}
    for names, span in ((readers, READING_S), (writers, WRITING_S)):
        count = size.requests * span
        for _ in range(int(count) + (chance.random() < count % 1)):
            name = chance.choice(names)
            found[name] = found.get(name, 0) + 1
    return found


def seeded(*words):
    return random.Random("/".join(str(w) for w in words))
