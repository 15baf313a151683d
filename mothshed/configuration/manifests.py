"""Gateway-style manifests, a small subset, translated to a configuration document.

Each object is checked whole by a schema that knows only what is supported, so an
unsupported field is an error with its place and is never passed over. The result
goes through the same check as any operator's document.
"""

import voluptuous
import yaml

import mothshed.configuration.document as configuration


class ManifestFault(Exception):
    """Every fault of a manifest, each with its place."""

    def __init__(self, found):
        super().__init__("\n".join(found))
        self.found = found


NAME = configuration.NAME
META = {"name": NAME}
HEADER = {
    voluptuous.Optional("type", default="Exact"): "Exact",
    "name": voluptuous.In(["x-kind", "x-tenant"]),
    "value": NAME,
}
MATCH = {"headers": voluptuous.All([HEADER], voluptuous.Length(min=1))}
REF = {"kind": "InferencePool", "name": NAME}
FILTER = {
    "type": "ExtensionRef",
    "extensionRef": {"kind": "PairingPolicy", "name": voluptuous.In(configuration.POLICIES)},
}
RULE = {
    voluptuous.Optional("matches", default=[]): [MATCH],
    voluptuous.Optional("filters", default=[]): voluptuous.All([FILTER], voluptuous.Length(max=1)),
    "backendRefs": voluptuous.All([REF], voluptuous.Length(min=1, max=1)),
}
GATEWAY, POOL, OWN = "gateway.networking.k8s.io/v1", "inference.networking.k8s.io/v1", "mothshed/v1"


def schema(group, kind, spec):
    return voluptuous.Schema({"apiVersion": group, "kind": kind, "metadata": META, "spec": spec}, required=True)


SCHEMAS = {
    "Gateway": schema(
        GATEWAY,
        "Gateway",
        {
            "listeners": voluptuous.All(
                [{"name": NAME, "protocol": "HTTP", "port": configuration.WHOLE}], voluptuous.Length(min=1, max=1)
            )
        },
    ),
    "HTTPRoute": schema(
        GATEWAY,
        "HTTPRoute",
        {voluptuous.Optional("parentRefs"): [META], "rules": voluptuous.All([RULE], voluptuous.Length(min=1))},
    ),
    "InferencePool": schema(
        POOL,
        "InferencePool",
        {
            "selector": {"matchLabels": configuration.LABELS},
            **{k: v for k, v in configuration.POOL.items() if k != "selector"},
        },
    ),
    "MothshedModel": schema(
        OWN,
        "MothshedModel",
        {"model": NAME, "kinds": {NAME: configuration.KIND}, "tenants": {NAME: configuration.TENANT}},
    ),
}


def translate(text):
    """The configuration document of a manifest. Raises ManifestFault."""
    try:
        items = [item for item in yaml.safe_load_all(text) if item is not None]
    except yaml.YAMLError as e:
        raise ManifestFault([" ".join(str(e).split())]) from e
    found, by = [], {kind: [] for kind in SCHEMAS}
    for at, item in enumerate(items):
        kind = item.get("kind") if isinstance(item, dict) else None
        if kind not in SCHEMAS:
            found.append(f"object {at}: kind {kind!r} is not supported; there are {', '.join(SCHEMAS)}")
            continue
        try:
            by[kind].append(SCHEMAS[kind](item))
        except voluptuous.MultipleInvalid as many:
            found += [f"object {at} ({kind}): {configuration.path_of(e)}: {e.error_message}" for e in many.errors]
    if not found and len(by["MothshedModel"]) != 1:
        found.append(f"expected one MothshedModel, found {len(by['MothshedModel'])}")
    if found:
        raise ManifestFault(found)
    model = by["MothshedModel"][0]["spec"]
    pools = {}
    for item in by["InferencePool"]:
        spec = dict(item["spec"])
        pools[item["metadata"]["name"]] = {"selector": spec.pop("selector")["matchLabels"], **spec}
    rules = [rule for item in by["HTTPRoute"] for rule in item["spec"]["rules"]]
    document = {
        "model": model["model"],
        "kinds": model["kinds"],
        "tenants": model["tenants"],
        "pools": pools,
        "pairings": [pairing for rule in rules for pairing in pairings(rule)],
    }
    found = configuration.faults(document)
    if found:
        raise ManifestFault(found)
    return document


def pairings(rule):
    """One pairing per match: headers within a match must all fit, matches are alternatives."""
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
