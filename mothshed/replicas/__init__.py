"""State of the replicas: list, load, health, send verdicts, and the known leader of each service part."""
