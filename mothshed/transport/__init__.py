"""Transport between the system's own processes: records, connections, gossip and known addresses."""
