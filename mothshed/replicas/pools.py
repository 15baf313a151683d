"""What a pool of the configuration document says of its replicas.

A pool with a split has replicas that read prompts (prefill) and others that write the answers (decode). The
replicas of a pool without one serve whole requests by themselves: they have no role, get no orders and hold no
prompt memory that could be handed over.

>>> has_split({"selector": {}}), has_split({"selector": {}, "split": False})
(True, False)
>>> serving_role({"selector": {}}), serving_role({"selector": {}, "split": False})
('decode', None)
"""

import typing

Pool = typing.Mapping[str, typing.Any]  # a row of `pools` in a configuration document


def has_split(pool: Pool) -> bool:
    """Whether the pool's replicas take the roles of prefill and decode."""
    return bool(pool.get("split", True))


def serving_role(pool: Pool) -> str | None:
    """The role of the replicas that answer the pool's requests; None if its replicas have no roles."""
    return "decode" if has_split(pool) else None
