"""The links of a process by peer, shared by its threads.

The first record for a peer opens a link. The sending thread writes what the socket accepts
at once; the rest, and newly opened links, are left to the event loop thread (`link_loop`),
which is woken. All access is under one lock.
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
    "opened accepted closed lost connect_failed queue_full dropped not_packed record_fault unknown_kind further_fields"
).split()


class LinkTable:
    """All links of a process.

    address: this process's address in the hello. now: seconds of the boot clock. waker: wakes the
    event loop thread.
    """

    def __init__(self, address: str, now: collections.abc.Callable[[], float], waker: waker_module.Waker) -> None:
        self.address, self.now, self.waker = address, now, waker
        self.by_peer: dict[str, link_module.Link] = {}  # peer -> link for records to it
        self.links: set[link_module.Link] = set()  # all links, including those being closed
        self.reachability = reachability.Reachability()
        self.counts: collections.Counter[str] = collections.Counter()
        self.lock = threading.RLock()
        self.unregistered: list[link_module.Link] = []  # opened, but not yet registered with the selector
        self.pending_writes: set[link_module.Link] = (
            set()
        )  # links with output for which the selector does not watch yet
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
        """The number of links, and the counters since the start."""
        with self.lock:
            return {"links": len(self.links), **{f"links_{name}": self.counts[name] for name in COUNTER_NAMES}}

    def releases(self) -> dict[str, int]:
        """The release of each connected peer that has sent it."""
        with self.lock:
            links = list(self.by_peer.items())
        return {peer: link.release for peer, link in links if link.release is not None}

    def open(self, peer: str) -> link_module.Link | None:
        """Start to connect to a peer and queue the hello; None while the peer counts as unreachable."""
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
        """Write what the socket accepts of a record; the event loop writes the rest and closes a failed link."""
        try:
            link.send(data, self.now())
        except link_module.LinkError:
            self.stop_using(link)
        if link.has_output and link.state is link_module.State.OPEN and link not in self.pending_writes:
            self.pending_writes.add(link)
            self.waker.wake()

    def release_of(self, peer: str) -> int | None:
        """The release of a peer, 0 if it could not parse our hello, or None if unknown."""
        link = self.by_peer.get(peer)
        if link is not None and link.release is not None:
            return link.release
        return 0 if self.reachability.is_legacy(peer, self.now()) else None

    def note_connect_failure(self, peer: str, now: float) -> None:
        """Count a failed connect, and do not try this peer again for a moment."""
        self.counts["connect_failed"] += 1
        self.reachability.mark_unreachable(peer, now)

    def stop_using(self, link: link_module.Link) -> None:
        """Send no more records over this link."""
        if self.by_peer.get(link.address) is link:
            del self.by_peer[link.address]

    def add_accepted(self, link: link_module.Link) -> None:
        """Add a link that a peer has opened."""
        self.counts["accepted"] += 1
        self.links.add(link)

    def identify(self, link: link_module.Link, peer: str, release: int) -> None:
        """Handle a peer's hello: records to it use this link from now on, as the peer's newest."""
        with self.lock:
            link.address, link.release = peer, release
            if link.state is link_module.State.OPEN:
                self.by_peer[peer] = link

    def take_unregistered(self) -> list[link_module.Link]:
        """The links opened since the last call."""
        unregistered, self.unregistered = self.unregistered, []
        return unregistered

    def take_pending_writes(self) -> set[link_module.Link]:
        """The links that got unwritten output since the last call."""
        pending_writes, self.pending_writes = self.pending_writes, set()
        return pending_writes

    def remove(self, link: link_module.Link, counter: str) -> None:
        """Remove a closed link; counter: the name of the counter to increment."""
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
        """If the peer closed the link at our hello, use the oldest release's hello for a while."""
        if link.rejected_at_hello(now):
            self.reachability.mark_legacy(link.address, now)
