"""Manifests: the supported subset is translated, everything else is rejected with its path."""

import pytest

import mothshed.configuration.document as configuration
import mothshed.configuration.manifests as manifests

GOOD = """
apiVersion: mothshed/v1
kind: MothshedModel
metadata: {name: notes}
spec: {model: shift-notes, kinds: {flag: {cutoff_s: 2.5}, summary: {cutoff_s: 8}}, tenants: {riders: {share: 2}}}
---
apiVersion: gateway.networking.k8s.io/v1
kind: Gateway
metadata: {name: edge}
spec: {listeners: [{name: http, protocol: HTTP, port: 80}]}
---
apiVersion: inference.networking.k8s.io/v1
kind: InferencePool
metadata: {name: main}
spec: {selector: {matchLabels: {app: shift-notes}}, least_decode: 2}
---
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {name: all}
spec:
  parentRefs: [{name: edge}]
  rules:
  - matches: [{headers: [{name: x-kind, value: flag}, {name: x-tenant, value: riders}]}]
    backendRefs: [{kind: InferencePool, name: main}]
  - filters: [{type: ExtensionRef, extensionRef: {kind: PairingPolicy, name: prefix_affinity}}]
    backendRefs: [{kind: InferencePool, name: main}]
"""


def test_supported_manifests_are_translated_to_a_document():
    document = manifests.translate(GOOD)
    assert configuration.validation_errors(document) == []
    assert document["pairings"] == [
        {"pool": "main", "policy": "least_usage", "kinds": ["flag"], "tenants": ["riders"]},
        {"pool": "main", "policy": "prefix_affinity"},
    ]
    assert (
        document["pools"]["main"]["selector"] == {"app": "shift-notes"}
        and document["pools"]["main"]["least_decode"] == 2
    )


@pytest.mark.parametrize(
    "old, new, place",
    [
        ("kind: Gateway\n", "kind: GRPCRoute\n", "object 1"),
        ("protocol: HTTP", "protocol: TLS", "object 1"),
        ("parentRefs: [{name: edge}]", "hostnames: [a.example]", "hostnames"),
        ("value: flag}", "value: flag, type: RegularExpression}", "rules.0.matches.0.headers.0.type"),
        (
            "backendRefs: [{kind: InferencePool, name: main}]",
            "backendRefs: [{kind: Service, name: main}]",
            "backendRefs.0.kind",
        ),
        ("name: prefix_affinity", "name: magic", "rules.1.filters.0"),
        ("name: main}]\n  - filters", "name: other}]\n  - filters", "pairings.0.pool"),
        ("value: riders", "value: nobody", "pairings.0.tenants"),
        ("kind: MothshedModel", "kind: MothshedModels", "object 0"),
        ("spec: {model", "spec: {{model", "line"),
    ],
)
def test_unsupported_manifests_are_rejected_with_their_path(old, new, place):
    assert old in GOOD
    with pytest.raises(manifests.ManifestError, match=place):
        manifests.translate(GOOD.replace(old, new, 1))
