"""Event loop for all links of a process, run by one thread.

The thread accepts connections, finishes connecting, reads, and writes what other threads
could not write at once. Links that are idle for PEER_IDLE_TIMEOUT_S seconds are closed
gracefully, so a process keeps only the links that it uses.
"""

import collections.abc
import selectors
import socket
import threading

import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.waker as waker_module
import mothshed.transport.constants as transport_constants
import mothshed.transport.link as link_module
import mothshed.transport.link_table as link_table
import mothshed.transport.records as records

Deliver = collections.abc.Callable[[str, str, records.Body], None]  # (sender, kind, fields)
CLOSING_STATES = (link_module.State.CLOSING, link_module.State.FLUSHING, link_module.State.CLOSED)


class LinkLoop:
    """The thread that runs all links.

    listen: host:port to listen on. address: this process's address in the hello. deliver: called in the
    thread with each record; must not block. now: seconds of the boot clock.
    """

    def __init__(self, listen: str, address: str, deliver: Deliver, now: collections.abc.Callable[[], float]) -> None:
        self.deliver, self.now = deliver, now
        self.server = socket.create_server(
            link_module.parse_address(listen), backlog=transport_constants.MAX_PEER_BACKLOG_CONNECTIONS
        )
        self.server.setblocking(False)
        self.waker = waker_module.Waker()
        self.table = link_table.LinkTable(address, now, self.waker)
        self.last_timeout_check = now()
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.server, selectors.EVENT_READ, self.accept)
        self.selector.register(self.waker.reader, selectors.EVENT_READ, self.waker.clear)
        threading.Thread(target=self.run, name="links", daemon=True).start()

    def stop(self) -> None:
        """Close all links and the listening socket; the thread ends."""
        self.table.stopped = True
        self.waker.wake()

    def run(self) -> None:
        """Run the loop until stopped; an exception is logged and the loop continues."""
        while not self.table.stopped:
            try:
                self.run_once()
            except Exception as error:
                log_buffer.failure("links_failed", error)
        with self.table.lock:
            self.watch_pending_links()
            for link in list(self.table.links):
                self.close_link(link, "closed")
            self.selector.close()
            self.server.close()
            self.waker.close()

    def run_once(self) -> None:
        """Wait for events and handle them, then check timeouts at intervals."""
        for key, mask in self.selector.select(transport_constants.PEER_CHECK_INTERVAL_S):
            if isinstance(key.data, link_module.Link):
                self.handle_events(key.data, mask)
            else:
                key.data()
        with self.table.lock:
            self.watch_pending_links()
            now = self.now()
            if now - self.last_timeout_check >= transport_constants.PEER_CHECK_INTERVAL_S:
                self.last_timeout_check = now
                self.close_timed_out_links(now)

    def accept(self) -> None:
        """Accept a connection from a peer."""
        try:
            sock = self.server.accept()[0]
            link_module.set_socket_options(sock)
        except OSError:
            return
        with self.table.lock:
            link = link_module.Link(sock, "", link_module.State.OPEN, self.now())
            self.table.add_accepted(link)
            self.selector.register(sock, selectors.EVENT_READ, link)

    def watch_pending_links(self) -> None:
        """Watch the links that other threads opened, and those with output that they could not write."""
        for link in self.table.take_unregistered():
            self.selector.register(link.sock, selectors.EVENT_WRITE, link)
        for link in self.table.take_pending_writes():
            self.watch(link)

    def watch(self, link: link_module.Link) -> None:
        """Update the events for which the selector watches a link."""
        wanted = link.wanted_events()
        if self.selector.get_key(link.sock).events != wanted:
            self.selector.modify(link.sock, wanted, link)

    def handle_events(self, link: link_module.Link, mask: int) -> None:
        """Handle the events of a link and dispatch the records received."""
        with self.table.lock:
            if link not in self.table.links:
                return
            received = self.read_and_write(link, mask)
        for record in received:
            self.dispatch(link, record)

    def read_and_write(self, link: link_module.Link, mask: int) -> list[records.Record]:
        """Write and read once, and act on the resulting state of the link; returns the complete records."""
        received: list[records.Record] = []
        try:
            if mask & selectors.EVENT_WRITE:
                link.write(self.now())
            if mask & selectors.EVENT_READ:
                received.extend(link.receive(self.now()))
        except link_module.LinkError:
            self.close_link(link, "lost")
            return received
        except records.RecordError as error:
            self.reject_link(link, error)
            return received
        if link.state in CLOSING_STATES:
            self.table.stop_using(link)
        if link.state is link_module.State.CLOSED:
            self.close_link(link, "closed")
        else:
            self.watch(link)
        return received

    def dispatch(self, link: link_module.Link, record: records.Record) -> None:
        """Dispatch one record; the first one of an accepted link must be the hello that identifies the peer."""
        if record.has_unknown_fields:
            self.table.counts["further_fields"] += 1
        if not record.kind:
            self.table.counts["unknown_kind"] += 1
        elif record.kind == "hello":
            self.table.identify(link, record.body["address"], record.body["release"])
        elif link.address:
            self.deliver(link.address, record.kind, record.body)
        elif link in self.table.links:
            with self.table.lock:
                self.reject_link(link, records.RecordError("the first record is not a hello"))

    def reject_link(self, link: link_module.Link, error: records.RecordError) -> None:
        """Log an invalid record and close its link."""
        log_buffer.note("record_fault", reason=str(error), who=link.address)
        self.close_link(link, "record_fault")

    def close_link(self, link: link_module.Link, counter: str) -> None:
        """Stop watching a link and close its socket; counter: the name of the counter to increment."""
        if link in self.table.links:
            self.selector.unregister(link.sock)
        self.table.remove(link, counter)
        link.close()

    def close_timed_out_links(self, now: float) -> None:
        """Close links that are idle, and those for which connecting or closing takes too long."""
        self.table.reachability.remove_expired(now)
        for link in list(self.table.links):
            if link.has_timed_out(now):
                self.close_link(link, "lost")
            elif link.is_idle(now):
                self.table.stop_using(link)
                link.begin_close(now)
                if link.state is link_module.State.CLOSED:
                    self.close_link(link, "closed")
