"""Pairing policies: which reader and which writer serve a prompt.

A policy is a function from a Scene (the candidates on both sides with their
conditions and estimated usage) to a pair of names. Policies are chosen per
pairing rule in the configuration and can be swapped and compared on the same
traffic. They only read; reserving and sending are done elsewhere.
"""

import dataclasses

import mothshed.constants as constants


@dataclasses.dataclass
class Candidates:
    prefix_keys: list  # the prompt's prefix keys, longest chain last
    zone: str  # the router's own cell
    prefill_replicas: dict  # name -> condition
    decode_replicas: dict
    load: dict  # name -> estimated requests there
    zones: dict  # name -> cell
    with_free_slot: set  # names with a place for one more


def having_free_slot(candidates, names):
    """Those with a free place for one more."""
    return [n for n in names if n in candidates.with_free_slot]


def load_ratio(candidates, replicas, name):
    return candidates.load[name] / max(1, replicas[name]["slots"])


def zone_distance(candidates, name):
    return 0 if candidates.zones[name] == candidates.zone else 1


def least_loaded(candidates, replicas):
    names = having_free_slot(candidates, replicas)
    return min(
        names,
        key=lambda n: (round(load_ratio(candidates, replicas, n), 1), zone_distance(candidates, n), n),
        default=None,
    )


def cached_share(candidates, name):
    """Share of the prompt's blocks that a reader reports in its cache.

    >>> c = Candidates(["a", "b"], "", {"r": {"keys": ["a"]}}, {}, {}, {}, set())
    >>> cached_share(c, "r")
    0.5
    """
    if not candidates.prefix_keys:
        return 0.0
    cached_keys, share = set(candidates.prefill_replicas[name]["keys"]), 0
    for key in candidates.prefix_keys:
        if key not in cached_keys:
            break
        share += 1
    return share / len(candidates.prefix_keys)


def least_loaded_pair(candidates):
    return least_loaded(candidates, candidates.prefill_replicas), least_loaded(candidates, candidates.decode_replicas)


def prefix_affinity(candidates):
    """Weighs a reader's cached share of the prompt against its usage."""
    names = having_free_slot(candidates, candidates.prefill_replicas)
    prefill_replica = min(
        names,
        default=None,
        key=lambda n: (
            round(
                load_ratio(candidates, candidates.prefill_replicas, n)
                - constants.CACHE_WEIGHT_SLOTS * cached_share(candidates, n),
                1,
            ),
            zone_distance(candidates, n),
            n,
        ),
    )
    return prefill_replica, least_loaded(candidates, candidates.decode_replicas)


POLICIES = {"least_usage": least_loaded_pair, "prefix_affinity": prefix_affinity}
