"""Schema and validation of the operators' configuration document.

A document is complete: it defines the model, the request kinds, the tenants, the
pools (selectors over replica labels, with bounds on the prefill/decode split or without a split) and the
pairings (which requests go to which pool under which policy). It may also define routes: requests for a
host and path prefix that are forwarded unchanged, each with its kind (safe or unsafe to
repeat, or a stream), cutoff, target time, number of tries, and pools by share. `limits` bounds what clients
may send, and `as_sent` keeps the operator's original text if an adapter translated it. Tenants may have API keys, of
which only digests are stored, an urgency, and a request limit: `rate_per_s` and a `burst` above it, across the
whole fleet; no rate, or 0, means no limit. With `require_key` a request needs the key of a tenant, except on a route
that is `anonymous`. `validation_errors` returns all errors with their paths, so that an operator can
fix them all at once.

>>> validation_errors({"model": 3})[0]
'kinds: required key not provided'
>>> validation_errors(EXAMPLE)
[]
"""

import dataclasses
import math
import typing

import voluptuous

import mothshed.configuration.tenant_keys as tenant_keys

POLICIES = ("least_usage", "prefix_affinity")
NAME = voluptuous.All(str, voluptuous.Length(min=1, max=100))
NON_NEGATIVE_INTEGER = voluptuous.All(int, voluptuous.Range(min=0, max=10000))
INT_OR_FLOAT = voluptuous.Schema(voluptuous.Any(int, float))


def int_or_float(value: object) -> object:
    """Accept what INT_OR_FLOAT accepts, without the exception inside of it for each float, which leaves a cycle."""
    return value if isinstance(value, (int, float)) else INT_OR_FLOAT(value)


CUTOFF_S = voluptuous.All(int_or_float, voluptuous.Range(min=0.05, max=60))
LABELS = voluptuous.Any({}, {NAME: NAME})

KIND = {"cutoff_s": CUTOFF_S, voluptuous.Optional("first_token_s"): CUTOFF_S}


def number(value: object) -> int | float:
    """Accept integers and floats, but neither booleans nor NaN."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or math.isnan(value):
        raise voluptuous.Invalid("expected a number")
    return value


RATE = voluptuous.All(number, voluptuous.Range(min=0, max=1000000000))
TENANT = {
    "share": voluptuous.All(int, voluptuous.Range(min=1, max=100)),
    voluptuous.Optional("keys"): [tenant_keys.DIGEST],
    voluptuous.Optional("urgency"): NON_NEGATIVE_INTEGER,
    voluptuous.Optional("rate_per_s"): RATE,
    voluptuous.Optional("burst"): RATE,
}
POOL = {
    "selector": LABELS,
    voluptuous.Optional("least_prefill", default=1): NON_NEGATIVE_INTEGER,
    voluptuous.Optional("least_decode", default=1): NON_NEGATIVE_INTEGER,
    voluptuous.Optional("shift", default=True): bool,
    voluptuous.Optional("split", default=True): bool,
    voluptuous.Optional("prefill_share", default=0.4): voluptuous.All(
        voluptuous.Any(int, float), voluptuous.Range(min=0, max=1)
    ),
}
PAIRING = {
    voluptuous.Optional("kinds"): [NAME],
    voluptuous.Optional("tenants"): [NAME],
    "pool": NAME,
    "policy": voluptuous.In(POLICIES),
    voluptuous.Optional("prefill"): LABELS,
    voluptuous.Optional("decode"): LABELS,
}
HOST_OR_PREFIX = voluptuous.All(str, voluptuous.Length(min=1, max=1000))
DURATION_S = voluptuous.All(int_or_float, voluptuous.Range(min=0, min_included=False, max=86400))
POSITIVE_INTEGER = voluptuous.All(int, voluptuous.Range(min=1, max=1000000000))
POOL_SHARE = {"pool": NAME, "share": voluptuous.All(int, voluptuous.Range(min=0, max=1000000))}
ROUTE = {
    "name": NAME,
    "host": HOST_OR_PREFIX,
    "prefix": voluptuous.All(HOST_OR_PREFIX, voluptuous.Match(r"^/(.*/)?$")),
    "kind": voluptuous.In(("safe", "unsafe", "stream")),
    "pools": voluptuous.All([POOL_SHARE], voluptuous.Length(min=1)),
    "cutoff_s": DURATION_S,
    voluptuous.Optional("aim_s"): DURATION_S,
    voluptuous.Optional("pause_s"): DURATION_S,
    voluptuous.Optional("tries", default=1): POSITIVE_INTEGER,
    voluptuous.Optional("urgency", default=5): NON_NEGATIVE_INTEGER,
    voluptuous.Optional("resumable", default=False): bool,
    voluptuous.Optional("anonymous"): bool,
}
ENGINE = {
    "memory_tokens": POSITIVE_INTEGER,
    "handle_life_s": DURATION_S,
    voluptuous.Optional("slots"): POSITIVE_INTEGER,
}
LIMITS = {voluptuous.Optional(k): POSITIVE_INTEGER for k in ("head_bytes", "body_bytes")}
LIMITS.update({voluptuous.Optional(k): DURATION_S for k in ("head_s", "idle_s")})
POOL[voluptuous.Optional("engine")] = ENGINE
DOCUMENT = voluptuous.Schema(
    {
        "model": NAME,
        "kinds": voluptuous.All({NAME: KIND}, voluptuous.Length(min=1)),
        "tenants": voluptuous.All({NAME: TENANT}, voluptuous.Length(min=1)),
        "pools": voluptuous.All({NAME: POOL}, voluptuous.Length(min=1)),
        "pairings": voluptuous.All([PAIRING], voluptuous.Length(min=1)),
        voluptuous.Optional("routes"): [ROUTE],
        voluptuous.Optional("limits"): LIMITS,
        voluptuous.Optional("require_key"): bool,
        voluptuous.Optional("as_sent"): object,
        voluptuous.Optional("note"): str,
    },
    required=True,
)

EXAMPLE = {
    "model": "shift-notes",
    "kinds": {"summary": {"cutoff_s": 8, "first_token_s": 1}, "question": {"cutoff_s": 8}, "flag": {"cutoff_s": 2.5}},
    "tenants": {"dispatch": {"share": 1}, "repair": {"share": 1}, "riders": {"share": 1}},
    "pools": {"main": {"selector": {"app": "shift-notes"}, "least_prefill": 1, "least_decode": 1}},
    "pairings": [{"pool": "main", "policy": "prefix_affinity"}],
}


def error_path(error):
    return ".".join(str(p) for p in error.path) or "document"


@dataclasses.dataclass(frozen=True)
class Validation:
    """The result of validating a document: errors as 'path: message', or a copy with defaults if there are none."""

    errors: list[str]
    document: dict[str, typing.Any] | None = None


def validate(document: typing.Any) -> Validation:
    """Validate a document and fill in its defaults, in one pass: a large document takes a while."""
    try:
        complete = DOCUMENT(document)
    except voluptuous.MultipleInvalid as invalid:
        return Validation(sorted(f"{error_path(error)}: {error.error_message}" for error in invalid.errors))
    errors = reference_errors(document)
    return Validation(errors) if errors else Validation([], complete)


def validation_errors(document: typing.Any) -> list[str]:
    """All errors as 'path: message'; an empty list means that the document is valid."""
    return validate(document).errors


def reference_errors(document: dict[str, typing.Any]) -> list[str]:
    """Errors across the entries of a document whose format is valid."""
    errors = []
    for index, row in enumerate(document["pairings"]):
        if row["pool"] not in document["pools"]:
            errors.append(f"pairings.{index}.pool: no pool is named {row['pool']!r}")
        for field, table in (("kinds", "kinds"), ("tenants", "tenants")):
            for name in row.get(field, []):
                if name not in document[table]:
                    errors.append(f"pairings.{index}.{field}: {table} has no {name!r}")
    return errors + route_errors(document) + tenant_keys.shared_key_errors(document["tenants"])


def route_errors(document):
    """Errors across entries: unknown pools, shares that add up to 0, routes with the same host and prefix."""
    errors, seen = [], {}
    for index, row in enumerate(document.get("routes", [])):
        errors += [
            f"routes.{index}.pools: no pool is named {p['pool']!r}"
            for p in row["pools"]
            if p["pool"] not in document["pools"]
        ]
        if not sum(p["share"] for p in row["pools"]):
            errors.append(f"routes.{index}.pools: the shares add up to 0")
        host_and_prefix = (row["host"].lower(), row["prefix"])
        if host_and_prefix in seen:
            errors.append(f"routes.{index}: same host and prefix as routes.{seen[host_and_prefix]}")
        seen.setdefault(host_and_prefix, index)
    return errors


def with_defaults(document):
    """A copy of the document with defaults filled in."""
    return DOCUMENT(document)
