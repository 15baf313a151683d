"""Pairing policies: which reader and which writer serve a prompt.

A policy is a function from a Scene (the candidates on both sides with their
conditions and estimated usage) to a pair of names. Policies are chosen per
pairing rule in the configuration and can be swapped and compared on the same
traffic. They only read; reserving and sending are done elsewhere.
"""

import dataclasses

import mothshed.constants as constants


@dataclasses.dataclass
class Scene:
    keys: list  # the prompt's prefix keys, longest chain last
    cell: str  # the router's own cell
    readers: dict  # name -> condition
    writers: dict
    usage: dict  # name -> estimated requests there
    cells: dict  # name -> cell
    free: set  # names with a place for one more


def room(scene, names):
    """Those with a free place for one more."""
    return [n for n in names if n in scene.free]


def fill(scene, side, name):
    return scene.usage[name] / max(1, side[name]["slots"])


def near(scene, name):
    return 0 if scene.cells[name] == scene.cell else 1


def least(scene, side):
    names = room(scene, side)
    return min(names, key=lambda n: (round(fill(scene, side, n), 1), near(scene, n), n), default=None)


def cached(scene, name):
    """Share of the prompt's blocks that a reader reports in its cache.

    >>> s = Scene(["a", "b"], "", {"r": {"keys": ["a"]}}, {}, {}, {}, set())
    >>> cached(s, "r")
    0.5
    """
    if not scene.keys:
        return 0.0
    keys, share = set(scene.readers[name]["keys"]), 0
    for key in scene.keys:
        if key not in keys:
            break
        share += 1
    return share / len(scene.keys)


def least_usage(scene):
    return least(scene, scene.readers), least(scene, scene.writers)


def prefix_affinity(scene):
    """Weighs a reader's cached share of the prompt against its usage."""
    names = room(scene, scene.readers)
    reader = min(
        names,
        default=None,
        key=lambda n: (
            round(fill(scene, scene.readers, n) - constants.CACHE_WEIGHT_SLOTS * cached(scene, n), 1),
            near(scene, n),
            n,
        ),
    )
    return reader, least(scene, scene.writers)


POLICIES = {"least_usage": least_usage, "prefix_affinity": prefix_affinity}
