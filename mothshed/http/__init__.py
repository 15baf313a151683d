"""HTTP server for callers and HTTP clients for replicas: bodies, headers, event streams, connection pools."""
