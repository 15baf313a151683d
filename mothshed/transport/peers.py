"""Sending records to the system's other processes, and dispatching received ones.

Connections are kept open and used in both directions: one that a router opened to a keeper
carries the router's requests and the keeper's notifications (`link_loop`). Records are not
resent here; every protocol on top retries by itself. A record that does not parse closes
its connection and is counted, with no further effect.
"""

import collections.abc
import typing

import mothshed.runtime.clock as clock
import mothshed.runtime.log_buffer as log_buffer
import mothshed.transport.constants as transport_constants
import mothshed.transport.link_loop as link_loop
import mothshed.transport.records as records

Body = dict[str, typing.Any]
Receiver = collections.abc.Callable[[str, Body], None]  # (sender's address, fields of the record)


class Peers:
    """The endpoint of a process for records.

    address: host:port under which peers reach this process, possibly through a relay. listen: host:port to
    listen on, if different. now: seconds of the boot clock.
    """

    def __init__(
        self, address: str, listen: str | None = None, now: collections.abc.Callable[[], float] = clock.now
    ) -> None:
        self.address = address
        self.receivers: dict[tuple[str, int | None], Receiver] = {}
        self.report_limiter = log_buffer.RateLimiter(
            transport_constants.MAX_RECORD_REPORT_BURST_LINES, transport_constants.RECORD_REPORT_LINES_PER_S
        )
        self.loop = link_loop.LinkLoop(listen or address, address, self.dispatch, now)

    def subscribe(self, kind: str, part: int | None, receiver: Receiver) -> None:
        """Call receiver(sender, body) for records of a kind, of one part or of any (None); it must not block."""
        self.receivers[(kind, part)] = receiver

    def send(self, destination: str, kind: str, **body: typing.Any) -> None:
        """Send a record to a peer; it is dropped if the peer cannot be reached. Neither blocks nor raises."""
        if destination:
            self.send_to_each([destination], kind, **body)

    def send_to_each(self, destinations: collections.abc.Iterable[str], kind: str, **body: typing.Any) -> None:
        """Send the same record to several peers; it is packed once per release."""
        packed: dict[int | None, bytes | None] = {}
        for destination in destinations:
            if destination == self.address:
                self.dispatch(destination, kind, body)
                continue
            release = self.loop.table.release_of(destination)
            if release not in packed:
                packed[release] = self.pack(destination, kind, body, release)
            data = packed[release]
            if data is not None:
                self.loop.table.send(destination, data)

    def pack(self, destination: str, kind: str, body: Body, release: int | None) -> bytes | None:
        """Pack a record for a peer of this release; None, with a report, if it can't be packed.

        The sender goes on with its other peers and its next records: one bad record must not end a loop of theirs.
        """
        try:
            return records.CODEC.pack(kind, body, release)
        except records.RecordError as error:
            self.loop.table.counts["not_packed"] += 1
            log_buffer.report_limited(
                self.report_limiter, "record_not_sent", record=kind, who=destination, reason=str(error)
            )
            return None

    def dispatch(self, sender: str, kind: str, body: Body) -> None:
        """Call the receiver of a record's kind and part; an exception in it is logged."""
        receiver = self.receivers.get((kind, body.get("part"))) or self.receivers.get((kind, None))
        if receiver is None:
            return
        try:
            receiver(sender, body)
        except Exception as error:
            log_buffer.failure("receiver_failed", error)

    def releases(self) -> dict[str, int]:
        """The release of each connected peer that has sent it."""
        return self.loop.table.releases()

    def stats(self) -> dict[str, int]:
        """This release, the number of links, and the counters since the start."""
        return {"release": records.CODEC.release, **self.loop.table.stats()}

    def stop(self) -> None:
        """Close every connection and stop listening."""
        self.loop.stop()
