"""A load model: the real code of many nodes in one process, on an in-memory network."""
