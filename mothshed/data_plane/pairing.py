"""Pairing policies: which prefill replica and which decode replica serve a prompt.

A policy is a function from Candidates (the usable replicas of both roles with their
reported state and estimated load) to a pair of names. The configuration names the policy
of each pairing rule, so that policies can be compared on the same traffic. A policy has
no side effects; slots are reserved and requests sent elsewhere.
"""

import dataclasses

import mothshed.constants as constants


@dataclasses.dataclass
class Candidates:
    """The replicas that a pairing rule allows for one prompt."""

    prefix_keys: list  # of the prompt, longest prefix last
    zone: str  # the router's own zone
    prefill_replicas: dict  # name -> reported state
    decode_replicas: dict  # name -> reported state
    load: dict  # name -> estimated number of requests
    zones: dict  # name -> zone
    with_free_slot: set  # names


def having_free_slot(candidates, names):
    """The replicas among these that have a free slot."""
    return [n for n in names if n in candidates.with_free_slot]


def load_ratio(candidates, replicas, name):
    """Estimated requests at a replica per slot."""
    return candidates.load[name] / max(1, replicas[name]["slots"])


def zone_distance(candidates, name):
    """Zero for a replica in the router's own zone, one for any other."""
    return 0 if candidates.zones[name] == candidates.zone else 1


def least_loaded(candidates, replicas):
    """The replica with a free slot and the lowest load ratio, preferably in the own zone; None if there is none."""
    names = having_free_slot(candidates, replicas)
    return min(
        names,
        key=lambda n: (round(load_ratio(candidates, replicas, n), 1), zone_distance(candidates, n), n),
        default=None,
    )


def cached_share(candidates, name):
    """Share of the prompt's blocks, from the first on, that a prefill replica reports in its cache.

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
    """Choose both replicas by load alone."""
    return least_loaded(candidates, candidates.prefill_replicas), least_loaded(candidates, candidates.decode_replicas)


def prefix_affinity(candidates):
    """Choose the prefill replica by its load less a bonus for the cached share of the prompt."""
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
