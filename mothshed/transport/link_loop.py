"""All links of a process, carried by one thread.

A link is opened by the first record for a peer and used in both directions. Other threads
write what a socket takes at once; what it does not take, and links just opened, are left
to the thread, which a pipe wakes. A link that carried nothing either way for PEER_IDLE
seconds is closed in order, so a process holds the links that it uses now.
"""

import collections
import collections.abc
import selectors
import socket
import threading
import typing

import mothshed.constants as constants
import mothshed.runtime.ring as ring
import mothshed.runtime.waker as waker_module
import mothshed.transport.link as link_module
import mothshed.transport.records as records

Deliver = collections.abc.Callable[[str, str, dict[str, typing.Any]], None]  # (sender, kind, fields)
ENDINGS = (link_module.State.CLOSING, link_module.State.FLUSHING, link_module.State.CLOSED)
COUNTED = ("opened", "accepted", "closed", "lost", "connect_failed", "queue_full", "dropped", "record_fault")


class LinkLoop:
    """The links, and the thread that carries them.

    listen: host:port to listen on. address: what peers are told in the hello. deliver: takes each
    record in the thread and must not block. now: seconds of the boot clock.
    """

    def __init__(self, listen: str, address: str, deliver: Deliver, now: collections.abc.Callable[[], float]) -> None:
        self.address, self.deliver, self.now = address, deliver, now
        self.by_peer: dict[str, link_module.Link] = {}  # peer -> the link that records for it go by
        self.links: set[link_module.Link] = set()  # those, and links that are ending
        self.refused_until: dict[str, float] = {}  # peer that could not be reached -> when it is tried again
        self.counts: collections.Counter[str] = collections.Counter()
        self.lock = threading.RLock()
        self.fresh: list[link_module.Link] = []  # opened by other threads, not watched yet
        self.unwritten: set[link_module.Link] = set()  # have output that is not watched for yet
        self.stopped = False
        self.looked_at = now()
        self.server = socket.create_server(link_module.split(listen), backlog=constants.PEER_BACKLOG)
        self.server.setblocking(False)
        self.waker = waker_module.Waker()
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.server, selectors.EVENT_READ, self.accept)
        self.selector.register(self.waker.reader, selectors.EVENT_READ, self.waker.clear)
        threading.Thread(target=self.run, name="links", daemon=True).start()

    def send(self, peer: str, data: bytes) -> None:
        """Send a packed record, or drop it if the peer cannot be reached; never blocks."""
        with self.lock:
            link = self.by_peer.get(peer) or self.open(peer)
            if link is None:
                self.counts["dropped"] += 1
            elif len(link.outgoing) >= constants.PEER_QUEUE:
                self.counts["queue_full"] += 1
            else:
                self.write_now(link, data)

    def figures(self) -> dict[str, int]:
        """How many links there are, and what was counted since the start."""
        with self.lock:
            return {"links": len(self.links), **{f"links_{name}": self.counts[name] for name in COUNTED}}

    def stop(self) -> None:
        """Close everything; the thread ends."""
        self.stopped = True
        self.waker.wake()

    def open(self, peer: str) -> link_module.Link | None:
        """A link that is being connected, its hello queued; None while the peer is not to be tried again."""
        now = self.now()
        if self.stopped or self.refused_until.get(peer, 0.0) > now:
            return None
        try:
            link = link_module.Link.connect(peer, now)
        except link_module.LinkFault:
            self.refuse(peer, now)
            return None
        self.counts["opened"] += 1
        link.send(records.pack("hello", address=self.address), now)
        self.by_peer[peer] = link
        self.links.add(link)
        self.fresh.append(link)
        self.waker.wake()
        return link

    def write_now(self, link: link_module.Link, data: bytes) -> None:
        """Write as much of a record as the socket takes; the thread writes the rest, and ends a link that failed."""
        try:
            link.send(data, self.now())
        except link_module.LinkFault:
            self.forget(link)
        if link.has_output and link.state is link_module.State.OPEN and link not in self.unwritten:
            self.unwritten.add(link)
            self.waker.wake()

    def refuse(self, peer: str, now: float) -> None:
        """A peer cannot be reached: it is not tried again for a moment."""
        self.counts["connect_failed"] += 1
        self.refused_until[peer] = now + constants.PEER_RETRY

    def forget(self, link: link_module.Link) -> None:
        """No more records go by this link."""
        if self.by_peer.get(link.address) is link:
            del self.by_peer[link.address]

    def lose(self, link: link_module.Link) -> None:
        """A link ended otherwise than in order; what was queued on it is lost."""
        if link.state is link_module.State.CONNECTING:
            self.refuse(link.address, self.now())
        self.end(link, "lost")

    def spoiled(self, link: link_module.Link, fault: records.RecordFault) -> None:
        """A link carried what is no record."""
        ring.note("record_fault", reason=str(fault), who=link.address)
        self.end(link, "record_fault")

    def end(self, link: link_module.Link, counted: str) -> None:
        """Let go of a link and close its socket; counted: what of the counts it adds to."""
        self.counts[counted] += 1
        self.forget(link)
        self.unwritten.discard(link)
        if link in self.links and link not in self.fresh:
            self.selector.unregister(link.sock)
        self.links.discard(link)
        link.shut()

    def run(self) -> None:
        """Carry the links until stopped; what fails is noted, and the thread goes on."""
        while not self.stopped:
            try:
                self.step()
            except Exception as error:
                ring.trouble("links_failed", error)
        with self.lock:
            self.watch_fresh()
            for link in list(self.links):
                self.end(link, "closed")
            self.selector.close()
            self.server.close()
            self.waker.close()

    def step(self) -> None:
        """Wait for something to do, and do it."""
        for key, mask in self.selector.select(constants.PEER_LOOK):
            if isinstance(key.data, link_module.Link):
                self.serve(key.data, mask)
            else:
                key.data()
        with self.lock:
            self.watch_fresh()
            now = self.now()
            if now - self.looked_at >= constants.PEER_LOOK:
                self.looked_at = now
                self.look_over(now)

    def accept(self) -> None:
        """Take a connection that another process made."""
        try:
            sock = self.server.accept()[0]
            link_module.tune(sock)
        except OSError:
            return
        with self.lock:
            link = link_module.Link(sock, "", link_module.State.OPEN, self.now())
            self.counts["accepted"] += 1
            self.links.add(link)
            self.selector.register(sock, selectors.EVENT_READ, link)

    def watch_fresh(self) -> None:
        """Watch the links and the output that other threads left."""
        fresh, self.fresh = self.fresh, []
        for link in fresh:
            self.selector.register(link.sock, selectors.EVENT_WRITE, link)
        unwritten, self.unwritten = self.unwritten, set()
        for link in unwritten:
            self.watch(link)

    def watch(self, link: link_module.Link) -> None:
        """Watch for what a link needs now."""
        wanted = link.wanted_events()
        if self.selector.get_key(link.sock).events != wanted:
            self.selector.modify(link.sock, wanted, link)

    def serve(self, link: link_module.Link, mask: int) -> None:
        """Do what a link is ready for."""
        with self.lock:
            if link not in self.links:
                return
            received = self.exchange(link, mask)
        for record in received:
            self.dispatch(link, record)

    def exchange(self, link: link_module.Link, mask: int) -> list[link_module.Received]:
        """Write and read once, and go by how the link stands then; the records that came whole."""
        received: list[link_module.Received] = []
        try:
            if mask & selectors.EVENT_WRITE:
                link.write(self.now())
            if mask & selectors.EVENT_READ:
                received.extend(link.receive(self.now()))
        except link_module.LinkFault:
            self.lose(link)
            return received
        except records.RecordFault as fault:
            self.spoiled(link, fault)
            return received
        if link.state in ENDINGS:
            self.forget(link)
        if link.state is link_module.State.CLOSED:
            self.end(link, "closed")
        else:
            self.watch(link)
        return received

    def dispatch(self, link: link_module.Link, record: link_module.Received) -> None:
        """Hand one record on; the first of a connection that was accepted says whose it is."""
        if record.kind == "hello":
            with self.lock:
                self.named(link, record.body["address"])
        elif link.address:
            self.deliver(link.address, record.kind, record.body)
        elif link in self.links:
            with self.lock:
                self.spoiled(link, records.RecordFault("no hello first"))

    def named(self, link: link_module.Link, peer: str) -> None:
        """A peer says its address: records for it go by this link from now on, the newest that it has."""
        link.address = peer
        if link.state is link_module.State.OPEN:
            self.by_peer[peer] = link

    def look_over(self, now: float) -> None:
        """Close what rested for long, and give up what does not connect or does not end."""
        self.refused_until = {peer: until for peer, until in self.refused_until.items() if until > now}
        for link in list(self.links):
            if link.overdue(now):
                self.lose(link)
            elif link.rested(now):
                self.forget(link)
                link.begin_close(now)
                if link.state is link_module.State.CLOSED:
                    self.end(link, "closed")
