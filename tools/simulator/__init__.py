"""The deterministic simulator: product code under an injected clock, network and disk."""
