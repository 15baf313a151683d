"""Who a request comes from: the tenant that holds its API key, by the configuration in force.

Of the key only its digest is kept with the request. The question is asked again before each send, since the key
may have been taken away, or given to another tenant, while the request waited.
"""

import collections.abc
import dataclasses
import typing

import mothshed.configuration.tenant_keys as tenant_keys
import mothshed.constants as constants
import mothshed.replicas.verdict as verdict

AUTHORIZATION_HEADER = "authorization"  # in lower case; it never goes on to a replica where keys are asked for
BEARER_CHALLENGE = (("WWW-Authenticate", "Bearer"),)  # goes with a 401
REFUSAL_OUTCOMES = {401: "unknown_key", 429: "over_limit", 503: "bounced"}  # status -> how a refusal is counted
TENANT_HEADER = "x-tenant"  # of our own interface, in lower case
NO_ROUTE: dict[str, typing.Any] = {}  # our own interface has none, and never serves without a key where keys are asked


@dataclasses.dataclass(frozen=True)
class Identity:
    """tenant: None on an anonymous route without a known key."""

    tenant: str | None


def identify(
    document: dict[str, typing.Any], keys: tenant_keys.KeyTable, route: dict[str, typing.Any], key_digest: str | None
) -> Identity | None:
    """Who a request to this route comes from, None where no key is asked for; raises Rejection (401) if unknown.

    key_digest: of the key that came with it.
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
    """Who a request to our own interface comes from, None where no key is asked for; raises Rejection (401 or 403).

    headers: by names in lower case. The tenant that a caller names must be the one that holds its key.
    """
    identity = identify(document, keys, NO_ROUTE, tenant_keys.digest_in(headers.get(AUTHORIZATION_HEADER, "")))
    claimed_tenant = headers.get(TENANT_HEADER, "")
    if identity is not None and claimed_tenant and claimed_tenant != identity.tenant:
        raise verdict.Rejection(403, f"the key is none of tenant {claimed_tenant!r}", cause="other_tenant")
    return identity


def challenge_headers(status: int) -> collections.abc.Sequence[tuple[str, str]]:
    """The header fields that go with a refusal of this status."""
    return BEARER_CHALLENGE if status == 401 else ()


def is_current(
    identity: Identity | None,
    document: dict[str, typing.Any],
    keys: tenant_keys.KeyTable,
    route: dict[str, typing.Any],
    key_digest: str | None,
) -> bool:
    """Whether a request still comes from the same tenant under a newer document and its route there."""
    try:
        return identify(document, keys, route, key_digest) == identity
    except verdict.Rejection:
        return False


def request_urgency(document: dict[str, typing.Any], route: dict[str, typing.Any], identity: Identity | None) -> int:
    """The urgency of a request, 0 first: its tenant's, or else its route's."""
    tenant = document["tenants"].get(identity.tenant, {}) if identity else {}
    return int(tenant.get("urgency", route.get("urgency", constants.DEFAULT_URGENCY_RANK)))


def urgency_for_replica(urgency: int | None, rank: int) -> int:
    """The urgency that is sent to a replica, 0 first: the request's own, and among equal ones the rank of its reading.

    urgency: None where no tenants are known; the rank alone is sent then.

    >>> [urgency_for_replica(None, 2), urgency_for_replica(0, 2), urgency_for_replica(1, 0), urgency_for_replica(9, 2)]
    [2, 2, 3, 8]
    """
    if urgency is None:
        return rank
    return min(urgency, constants.URGENCY_LEVEL_COUNT - 1) * constants.PREFILL_RANK_COUNT + rank
