"""Between our own processes: records, connections, gossip, remembered addresses."""
