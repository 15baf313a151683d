"""Load model: runs the product code of many nodes in one process on an in-memory network."""
