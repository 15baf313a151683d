"""Makes the plan of a request: which replicas serve it, under which pairing policy.

A plan is made from the active configuration and the replicas known at that moment. Its
execution may replace a replica by planning again: after a rejected decode, or under a
newer configuration.
"""

import dataclasses

import mothshed.data_plane.pairing as pairing
import mothshed.replicas.replica_adapter as replica_adapter


@dataclasses.dataclass
class Plan:
    """A pair of replicas for one request, and the steps that its execution takes."""

    sequence: int  # of the configuration that it was made under
    pool: str
    policy: str
    prefill_replica: object  # an Endpoint
    decode_replica: object  # an Endpoint
    steps: tuple = ("prefill", "decode", "free", "relay")


def rule_for(document, kind, tenant):
    """Return the first pairing rule for a kind of request of a tenant; None if there is none."""
    for rule in document["pairings"]:
        if kind in rule.get("kinds", [kind]) and tenant in rule.get("tenants", [tenant]):
            return rule
    return None


def find_candidates(replicas, document, rule, request, zone, excluded=()):
    """Return the usable replicas that a rule selects, without the excluded ones."""
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
    """Return a Plan, or None while no pair of replicas has free slots."""
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
    """Return another decode replica for an existing handle; None if none has a free slot."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return None
    with replicas.lock:
        candidates = find_candidates(replicas, document, rule, request, zone, excluded)
        decode_replica = pairing.least_loaded(candidates, candidates.decode_replicas)
        return replicas.endpoint(decode_replica) if decode_replica else None


def is_still_allowed(replicas, document, request, replica):
    """Whether this document and the known replicas still allow a decode replica for the request."""
    rule = rule_for(document, request.kind, request.tenant)
    if rule is None:
        return False
    selector = document["pools"][rule["pool"]]["selector"]
    return replica.name in replicas.usable({**selector, **rule.get("decode", {})}, "decode")
