"""mothshed: a router fleet for split prefill and decode."""
