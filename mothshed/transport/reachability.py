"""What was learnt of peers by trying to reach them, each for a short while."""

import mothshed.transport.constants as transport_constants


class Reachability:
    """Peers that could not be reached a moment ago, and peers that could not read this release's hello."""

    def __init__(self) -> None:
        self.unreachable_until: dict[str, float] = {}  # peer -> when it is tried again, s of the boot clock
        self.legacy_until: dict[str, float] = {}  # peer -> until when it gets the hello of the release before

    def mark_unreachable(self, peer: str, now: float) -> None:
        """A peer could not be reached: it is not tried again for a moment."""
        self.unreachable_until[peer] = now + transport_constants.PEER_RETRY_DELAY_S

    def is_unreachable(self, peer: str, now: float) -> bool:
        """Whether a peer is not to be tried now."""
        return self.unreachable_until.get(peer, 0.0) > now

    def mark_legacy(self, peer: str, now: float) -> None:
        """A peer closed at our hello: it is taken for one of the release before the rule for changes."""
        self.legacy_until[peer] = now + transport_constants.PEER_FALLBACK_S

    def is_legacy(self, peer: str, now: float) -> bool:
        """Whether a peer is spoken to as the release before the rule for changes."""
        return self.legacy_until.get(peer, 0.0) > now

    def remove_expired(self, now: float) -> None:
        """Forget what holds no more."""
        self.unreachable_until = {peer: until for peer, until in self.unreachable_until.items() if until > now}
        self.legacy_until = {peer: until for peer, until in self.legacy_until.items() if until > now}
