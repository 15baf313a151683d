"""Deterministic simulator: runs product code with an injected clock, network and disk."""
