"""Leader election, log replication and the state machines of the keepers. docs/design.md defines the scope."""
