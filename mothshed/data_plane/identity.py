"""Identifies the tenant of a request by its API key, according to the configuration in force.

Only the digest of the key is stored with the request. The tenant is checked again before each send, since the key
may have been revoked, or assigned to another tenant, while the request was queued.
"""

import collections.abc
import dataclasses
import typing

import mothshed.configuration.tenant_keys as tenant_keys
import mothshed.constants as constants
import mothshed.replicas.verdict as verdict

AUTHORIZATION_HEADER = "authorization"  # in lower case; never forwarded to a replica where keys are required
BEARER_CHALLENGE = (("WWW-Authenticate", "Bearer"),)  # header fields of a 401 response
REFUSAL_OUTCOMES = {401: "unknown_key", 429: "over_limit", 503: "bounced"}  # status -> outcome label of a refusal
TENANT_HEADER = "x-tenant"  # of the router's own interface, in lower case
NO_ROUTE: dict[
    str, typing.Any
] = {}  # the router's own interface has no routes, so no anonymous access where keys are required


@dataclasses.dataclass(frozen=True)
class Identity:
    """The tenant of a request; None on an anonymous route without a known key."""

    tenant: str | None


def identify(
    document: dict[str, typing.Any], keys: tenant_keys.KeyTable, route: dict[str, typing.Any], key_digest: str | None
) -> Identity | None:
    """The identity of a request to this route, None where no key is required; raises Rejection (401) if unknown.

    key_digest: of the key sent with the request.
    """
    if not document.get("require_key"):
        return None
    tenant = keys.tenant_of(key_digest)
    if tenant is None and not route.get("anonymous"):
        raise verdict.Rejection(401, "no known API key came with the request", cause="unknown_key")
    return Identity(tenant)


def identify_caller(
    document: dict[str, typing.Any], keys: tenant_keys.KeyTable, headers: collections.abc.Mapping[str, str]
) -> Identity | None:
    """The identity of a request to the router's own interface, None where no key is required.

    Raises Rejection (401 or 403). headers: by lower-case names. A tenant named by the caller must be the one that
    holds the key.
    """
    identity = identify(document, keys, NO_ROUTE, tenant_keys.digest_in(headers.get(AUTHORIZATION_HEADER, "")))
    claimed_tenant = headers.get(TENANT_HEADER, "")
    if identity is not None and claimed_tenant and claimed_tenant != identity.tenant:
        raise verdict.Rejection(403, f"the key is none of tenant {claimed_tenant!r}", cause="other_tenant")
    return identity


def challenge_headers(status: int) -> collections.abc.Sequence[tuple[str, str]]:
    """The header fields of a refusal with this status."""
    return BEARER_CHALLENGE if status == 401 else ()


def is_current(
    identity: Identity | None,
    document: dict[str, typing.Any],
    keys: tenant_keys.KeyTable,
    route: dict[str, typing.Any],
    key_digest: str | None,
) -> bool:
    """Whether a request has the same identity under a newer document and its route there."""
    try:
        return identify(document, keys, route, key_digest) == identity
    except verdict.Rejection:
        return False


def request_urgency(document: dict[str, typing.Any], route: dict[str, typing.Any], identity: Identity | None) -> int:
    """The urgency of a request, 0 served first: that of its tenant, or else of its route."""
    tenant = document["tenants"].get(identity.tenant, {}) if identity else {}
    return int(tenant.get("urgency", route.get("urgency", constants.DEFAULT_URGENCY_RANK)))


def urgency_for_replica(urgency: int | None, rank: int) -> int:
    """The urgency sent to a replica, 0 served first: ordered by that of the request, then by the rank of its prefill.

    urgency: None where no tenants are known; then only the rank is sent.

    >>> [urgency_for_replica(None, 2), urgency_for_replica(0, 2), urgency_for_replica(1, 0), urgency_for_replica(9, 2)]
    [2, 2, 3, 8]
    """
    if urgency is None:
        return rank
    return min(urgency, constants.URGENCY_LEVEL_COUNT - 1) * constants.PREFILL_RANK_COUNT + rank
