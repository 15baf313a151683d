"""Operator input: settings, the configuration document and its changes, manifests, tenant keys, the lease."""
