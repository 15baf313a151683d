"""Translates a small subset of Kubernetes Gateway API manifests to a configuration document.

The schema of each object contains only what is supported, so an unsupported field is
reported as an error with its path and never ignored. The result is validated
like any other operator's document.
"""

import voluptuous
import yaml

import mothshed.configuration.document as configuration


class ManifestError(Exception):
    """All errors of a manifest, each with its path."""

    def __init__(self, errors):
        super().__init__("\n".join(errors))
        self.errors = errors


NAME = configuration.NAME
METADATA = {"name": NAME}
HEADER = {
    voluptuous.Optional("type", default="Exact"): "Exact",
    "name": voluptuous.In(["x-kind", "x-tenant"]),
    "value": NAME,
}
MATCH = {"headers": voluptuous.All([HEADER], voluptuous.Length(min=1))}
BACKEND_REF = {"kind": "InferencePool", "name": NAME}
FILTER = {
    "type": "ExtensionRef",
    "extensionRef": {"kind": "PairingPolicy", "name": voluptuous.In(configuration.POLICIES)},
}
RULE = {
    voluptuous.Optional("matches", default=[]): [MATCH],
    voluptuous.Optional("filters", default=[]): voluptuous.All([FILTER], voluptuous.Length(max=1)),
    "backendRefs": voluptuous.All([BACKEND_REF], voluptuous.Length(min=1, max=1)),
}
GATEWAY_API, INFERENCE_API, MOTHSHED_API = (
    "gateway.networking.k8s.io/v1",
    "inference.networking.k8s.io/v1",
    "mothshed/v1",
)


def object_schema(api_version, kind, spec):
    return voluptuous.Schema(
        {"apiVersion": api_version, "kind": kind, "metadata": METADATA, "spec": spec}, required=True
    )


SCHEMAS = {
    "Gateway": object_schema(
        GATEWAY_API,
        "Gateway",
        {
            "listeners": voluptuous.All(
                [{"name": NAME, "protocol": "HTTP", "port": configuration.NON_NEGATIVE_INTEGER}],
                voluptuous.Length(min=1, max=1),
            )
        },
    ),
    "HTTPRoute": object_schema(
        GATEWAY_API,
        "HTTPRoute",
        {voluptuous.Optional("parentRefs"): [METADATA], "rules": voluptuous.All([RULE], voluptuous.Length(min=1))},
    ),
    "InferencePool": object_schema(
        INFERENCE_API,
        "InferencePool",
        {
            "selector": {"matchLabels": configuration.LABELS},
            **{k: v for k, v in configuration.POOL.items() if k != "selector"},
        },
    ),
    "MothshedModel": object_schema(
        MOTHSHED_API,
        "MothshedModel",
        {"model": NAME, "kinds": {NAME: configuration.KIND}, "tenants": {NAME: configuration.TENANT}},
    ),
}


def translate(text):
    """Translate the text of manifests to a configuration document; raises ManifestError."""
    try:
        items = [item for item in yaml.safe_load_all(text) if item is not None]
    except yaml.YAMLError as error:
        raise ManifestError([" ".join(str(error).split())]) from error
    errors, by_kind = [], {kind: [] for kind in SCHEMAS}
    for index, item in enumerate(items):
        kind = item.get("kind") if isinstance(item, dict) else None
        if kind not in SCHEMAS:
            errors.append(f"object {index}: kind {kind!r} is not supported; there are {', '.join(SCHEMAS)}")
            continue
        try:
            by_kind[kind].append(SCHEMAS[kind](item))
        except voluptuous.MultipleInvalid as invalid:
            errors += [
                f"object {index} ({kind}): {configuration.error_path(error)}: {error.error_message}"
                for error in invalid.errors
            ]
    if not errors and len(by_kind["MothshedModel"]) != 1:
        errors.append(f"expected one MothshedModel, found {len(by_kind['MothshedModel'])}")
    if errors:
        raise ManifestError(errors)
    model = by_kind["MothshedModel"][0]["spec"]
    pools = {}
    for item in by_kind["InferencePool"]:
        spec = dict(item["spec"])
        pools[item["metadata"]["name"]] = {"selector": spec.pop("selector")["matchLabels"], **spec}
    rules = [rule for item in by_kind["HTTPRoute"] for rule in item["spec"]["rules"]]
    document = {
        "model": model["model"],
        "kinds": model["kinds"],
        "tenants": model["tenants"],
        "pools": pools,
        "pairings": [pairing for rule in rules for pairing in pairings_of_rule(rule)],
    }
    errors = configuration.validation_errors(document)
    if errors:
        raise ManifestError(errors)
    return document


def pairings_of_rule(rule):
    """The pairings of a rule, one per match: all headers of a match must apply, matches are alternatives."""
    base = {"pool": rule["backendRefs"][0]["name"], "policy": "least_usage"}
    if rule["filters"]:
        base["policy"] = rule["filters"][0]["extensionRef"]["name"]
    rows = []
    for match in rule["matches"] or [{"headers": []}]:
        row = dict(base)
        for header in match["headers"]:
            row["kinds" if header["name"] == "x-kind" else "tenants"] = [header["value"]]
        rows.append(row)
    return rows
