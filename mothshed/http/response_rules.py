"""Which responses have a body, whatever their fields say (RFC 9112, section 6.3)."""

BODILESS_STATUSES = frozenset({204, 304})


def has_body(method: str, status: int) -> bool:
    """Return whether the response to a request of this method may have a body."""
    return method != "HEAD" and status not in BODILESS_STATUSES
