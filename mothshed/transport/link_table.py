"""The links of a process by peer, as its threads use them.

A link is opened by the first record for a peer. The thread that sends writes what the socket
takes at once; what it does not take, and links just opened, are left to the thread that carries
all links (`link_loop`), which is woken. Everything here is done under one lock.
"""

import collections
import collections.abc
import threading

import mothshed.runtime.waker as waker_module
import mothshed.transport.constants as transport_constants
import mothshed.transport.link as link_module
import mothshed.transport.reachability as reachability
import mothshed.transport.records as records

COUNTER_NAMES = (
    "opened accepted closed lost connect_failed queue_full dropped record_fault unknown_kind further_fields"
).split()


class LinkTable:
    """All links.

    address: what peers are told in the hello. now: seconds of the boot clock. waker: wakes the
    thread that carries the links.
    """

    def __init__(self, address: str, now: collections.abc.Callable[[], float], waker: waker_module.Waker) -> None:
        self.address, self.now, self.waker = address, now, waker
        self.by_peer: dict[str, link_module.Link] = {}  # peer -> the link that records for it go by
        self.links: set[link_module.Link] = set()  # those, and links that are ending
        self.reachability = reachability.Reachability()
        self.counts: collections.Counter[str] = collections.Counter()
        self.lock = threading.RLock()
        self.unregistered: list[link_module.Link] = []  # opened, not watched by the thread yet
        self.pending_writes: set[link_module.Link] = set()  # have output that is not watched for yet
        self.stopped = False

    def send(self, peer: str, data: bytes) -> None:
        """Send a packed record, or drop it if the peer cannot be reached; never blocks."""
        with self.lock:
            link = self.by_peer.get(peer) or self.open(peer)
            if link is None:
                self.counts["dropped"] += 1
            elif len(link.outgoing) >= transport_constants.MAX_PEER_QUEUE_RECORDS:
                self.counts["queue_full"] += 1
            else:
                self.write_now(link, data)

    def stats(self) -> dict[str, int]:
        """How many links there are, and what was counted since the start."""
        with self.lock:
            return {"links": len(self.links), **{f"links_{name}": self.counts[name] for name in COUNTER_NAMES}}

    def releases(self) -> dict[str, int]:
        """Peer -> the release that it told, of the peers with a link now."""
        with self.lock:
            links = list(self.by_peer.items())
        return {peer: link.release for peer, link in links if link.release is not None}

    def open(self, peer: str) -> link_module.Link | None:
        """A link that is being connected, its hello queued; None while the peer is not to be tried again."""
        now = self.now()
        if self.stopped or self.reachability.is_unreachable(peer, now):
            return None
        try:
            link = link_module.Link.connect(peer, now)
        except link_module.LinkError:
            self.note_connect_failure(peer, now)
            return None
        self.counts["opened"] += 1
        hello = {"address": self.address, "release": records.CODEC.release}
        link.send(records.CODEC.pack("hello", hello, self.release_of(peer)), now)
        self.by_peer[peer] = link
        self.links.add(link)
        self.unregistered.append(link)
        self.waker.wake()
        return link

    def write_now(self, link: link_module.Link, data: bytes) -> None:
        """Write as much of a record as the socket takes; the thread writes the rest, and ends a link that failed."""
        try:
            link.send(data, self.now())
        except link_module.LinkError:
            self.stop_using(link)
        if link.has_output and link.state is link_module.State.OPEN and link not in self.pending_writes:
            self.pending_writes.add(link)
            self.waker.wake()

    def release_of(self, peer: str) -> int | None:
        """The release that a peer told, 0 for one that could not read our hello, None if nothing is known."""
        link = self.by_peer.get(peer)
        if link is not None and link.release is not None:
            return link.release
        return 0 if self.reachability.is_legacy(peer, self.now()) else None

    def note_connect_failure(self, peer: str, now: float) -> None:
        """A connection could not be made."""
        self.counts["connect_failed"] += 1
        self.reachability.mark_unreachable(peer, now)

    def stop_using(self, link: link_module.Link) -> None:
        """No more records go by this link."""
        if self.by_peer.get(link.address) is link:
            del self.by_peer[link.address]

    def add_accepted(self, link: link_module.Link) -> None:
        """A peer made this connection."""
        self.counts["accepted"] += 1
        self.links.add(link)

    def identify(self, link: link_module.Link, peer: str, release: int) -> None:
        """A peer says its address and release: records for it go by this link from now on, the newest that it has."""
        with self.lock:
            link.address, link.release = peer, release
            if link.state is link_module.State.OPEN:
                self.by_peer[peer] = link

    def take_unregistered(self) -> list[link_module.Link]:
        """The links that were opened since this was asked last."""
        unregistered, self.unregistered = self.unregistered, []
        return unregistered

    def take_pending_writes(self) -> set[link_module.Link]:
        """The links of which the rest of a record is to be written."""
        pending_writes, self.pending_writes = self.pending_writes, set()
        return pending_writes

    def remove(self, link: link_module.Link, counter: str) -> None:
        """A link is gone; counted: what of the counts it adds to."""
        now = self.now()
        if link.state is link_module.State.CONNECTING:
            self.note_connect_failure(link.address, now)
        else:
            self.counts[counter] += 1
            self.note_hello_rejection(link, now)
        self.stop_using(link)
        self.pending_writes.discard(link)
        self.links.discard(link)

    def note_hello_rejection(self, link: link_module.Link, now: float) -> None:
        """A peer that ended a link at our hello gets that of the release before it for a while."""
        if link.rejected_at_hello(now):
            self.reachability.mark_legacy(link.address, now)
