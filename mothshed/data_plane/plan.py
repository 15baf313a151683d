"""A request's plan: data first, carried out afterwards.

The plan names the rule, the policy, the pair and the steps in order. It is made
from the active configuration and the replicas known now; carrying it out may
replace a goal (a bounced decode, a new configuration) by planning that step anew.
"""

import dataclasses

import mothshed.data_plane.pairing as pairing
import mothshed.replicas.replica_adapter as replica_adapter


@dataclasses.dataclass
class Plan:
    sequence: int  # configuration it was made under
    pool: str
    policy: str
    reader: object  # Place of the prefill
    writer: object  # Place of the decode
    steps: tuple = ("prefill", "decode", "free", "relay")


def rule_for(document, kind, tenant):
    for rule in document["pairings"]:
        if kind in rule.get("kinds", [kind]) and tenant in rule.get("tenants", [tenant]):
            return rule
    return None


def scene_for(replicas, document, rule, request, cell, without=()):
    selector = document["pools"][rule["pool"]]["selector"]
    readers = replicas.usable({**selector, **rule.get("prefill", {})}, "prefill")
    writers = replicas.usable({**selector, **rule.get("decode", {})}, "decode")
    readers = {n: c for n, c in readers.items() if n not in without}
    writers = {n: c for n, c in writers.items() if n not in without}
    both = {**readers, **writers}
    return pairing.Scene(
        replica_adapter.prefix_keys(request.prompt),
        cell,
        readers,
        writers,
        {n: replicas.estimated_load(n) for n in both},
        {n: replicas.rows[n]["cell"] for n in both},
        {n for n in both if replicas.has_room(n)},
    )


def make(replicas, sequence, document, request, cell, without=()):
    """A Plan, or None while no pair has a free place."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return None
    with replicas.lock:
        scene = scene_for(replicas, document, rule, request, cell, without)
        reader, writer = pairing.POLICIES[rule["policy"]](scene)
        if reader is None or writer is None:
            return None
        return Plan(sequence, rule["pool"], rule["policy"], replicas.endpoint(reader), replicas.endpoint(writer))


def writer_again(replicas, document, request, cell, without):
    """A writer for a held handle, chosen anew; None if none has a place."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return None
    with replicas.lock:
        scene = scene_for(replicas, document, rule, request, cell, without)
        writer = pairing.least(scene, scene.writers)
        return replicas.endpoint(writer) if writer else None


def still_fits(replicas, document, request, place):
    """Whether a decode goal is still allowed under this document and list."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return False
    selector = document["pools"][rule["pool"]]["selector"]
    return place.name in replicas.usable({**selector, **rule.get("decode", {})}, "decode")
