"""Crash-safe storage: the data folder, and the replicated log of a part."""
