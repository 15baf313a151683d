"""Properties of a pool in the configuration document.

A pool with a split has prefill replicas and decode replicas. The replicas of a pool without one serve whole requests
by themselves: they have no role, get no orders and export no KV memory.

>>> has_split({"selector": {}}), has_split({"selector": {}, "split": False})
(True, False)
>>> serving_role({"selector": {}}), serving_role({"selector": {}, "split": False})
('decode', None)
"""

import typing

Pool = typing.Mapping[str, typing.Any]  # a row of `pools` in a configuration document


def has_split(pool: Pool) -> bool:
    """Return whether the pool's replicas are split into prefill and decode."""
    return bool(pool.get("split", True))


def serving_role(pool: Pool) -> str | None:
    """Return the role of the replicas that answer the pool's requests; None if its replicas have no roles."""
    return "decode" if has_split(pool) else None
