"""HTTP towards callers and towards replicas: fronts, bodies, headers, event streams, kept connections."""
