"""The router: admission, placement, and delivery of requests to replicas. docs/design.md defines the scope."""
