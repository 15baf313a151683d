"""Hollow processes: the product's own code, many nodes in one process, on a network in memory."""
