"""What the status of a response says about it, whatever its fields say (RFC 9110; RFC 9112, section 6.3)."""

BODILESS_STATUSES = frozenset({204, 304})
INTERIM_STATUSES = range(100, 200)


def has_body(method: str, status: int) -> bool:
    """Return whether the response to a request of this method may have a body."""
    return method != "HEAD" and status not in BODILESS_STATUSES


def is_interim(status: int) -> bool:
    """Return whether another head follows for the same request."""
    return status in INTERIM_STATUSES
