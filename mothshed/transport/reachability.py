"""Short-lived knowledge of peers from attempts to reach them."""

import mothshed.transport.constants as transport_constants


class Reachability:
    """Peers that were unreachable a moment ago, and peers that could not parse this release's hello."""

    def __init__(self) -> None:
        self.unreachable_until: dict[str, float] = {}  # peer -> time of the next attempt, s of the boot clock
        self.legacy_until: dict[str, float] = {}  # peer -> end of sending it the oldest hello

    def mark_unreachable(self, peer: str, now: float) -> None:
        """A peer could not be reached: do not try it again for a moment."""
        self.unreachable_until[peer] = now + transport_constants.PEER_RETRY_DELAY_S

    def is_unreachable(self, peer: str, now: float) -> bool:
        """Whether a peer must not be tried yet."""
        return self.unreachable_until.get(peer, 0.0) > now

    def mark_legacy(self, peer: str, now: float) -> None:
        """A peer closed the link at our hello: treat it as a release that cannot skip unknown fields."""
        self.legacy_until[peer] = now + transport_constants.PEER_FALLBACK_S

    def is_legacy(self, peer: str, now: float) -> bool:
        """Whether a peer is sent records as a release that cannot skip unknown fields."""
        return self.legacy_until.get(peer, 0.0) > now

    def remove_expired(self, now: float) -> None:
        """Remove the entries that have expired."""
        self.unreachable_until = {peer: until for peer, until in self.unreachable_until.items() if until > now}
        self.legacy_until = {peer: until for peer, until in self.legacy_until.items() if until > now}
