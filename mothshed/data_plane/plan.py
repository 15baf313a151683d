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
    prefill_replica: object  # Place of the prefill
    decode_replica: object  # Place of the decode
    steps: tuple = ("prefill", "decode", "free", "relay")


def rule_for(document, kind, tenant):
    for rule in document["pairings"]:
        if kind in rule.get("kinds", [kind]) and tenant in rule.get("tenants", [tenant]):
            return rule
    return None


def find_candidates(replicas, document, rule, request, zone, excluded=()):
    selector = document["pools"][rule["pool"]]["selector"]
    prefill_replicas = replicas.usable({**selector, **rule.get("prefill", {})}, "prefill")
    decode_replicas = replicas.usable({**selector, **rule.get("decode", {})}, "decode")
    prefill_replicas = {n: c for n, c in prefill_replicas.items() if n not in excluded}
    decode_replicas = {n: c for n, c in decode_replicas.items() if n not in excluded}
    names = {**prefill_replicas, **decode_replicas}
    return pairing.Candidates(
        replica_adapter.prefix_keys(request.prompt),
        zone,
        prefill_replicas,
        decode_replicas,
        {n: replicas.estimated_load(n) for n in names},
        {n: replicas.rows[n]["cell"] for n in names},
        {n for n in names if replicas.has_room(n)},
    )


def make(replicas, sequence, document, request, zone, excluded=()):
    """A Plan, or None while no pair has a free place."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return None
    with replicas.lock:
        candidates = find_candidates(replicas, document, rule, request, zone, excluded)
        prefill_replica, decode_replica = pairing.POLICIES[rule["policy"]](candidates)
        if prefill_replica is None or decode_replica is None:
            return None
        return Plan(
            sequence,
            rule["pool"],
            rule["policy"],
            replicas.endpoint(prefill_replica),
            replicas.endpoint(decode_replica),
        )


def choose_decode_replica(replicas, document, request, zone, excluded):
    """A writer for a held handle, chosen anew; None if none has a place."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return None
    with replicas.lock:
        candidates = find_candidates(replicas, document, rule, request, zone, excluded)
        decode_replica = pairing.least_loaded(candidates, candidates.decode_replicas)
        return replicas.endpoint(decode_replica) if decode_replica else None


def is_still_allowed(replicas, document, request, replica):
    """Whether a decode goal is still allowed under this document and list."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return False
    selector = document["pools"][rule["pool"]]["selector"]
    return replica.name in replicas.usable({**selector, **rule.get("decode", {})}, "decode")
