"""The environment of a process: clock, timers, mailbox, network and random numbers.

Parts of a process never read a clock or open a socket themselves; they use the Environment they are given. This
one is used in production: CLOCK_BOOTTIME, a pykka actor as mailbox that runs the callbacks of a part one at a time,
one thread for all timers, and persistent connections to peers. The simulator has an Environment with the same
interface.
"""

import collections.abc
import functools
import random
import threading
import time
import typing

import pykka

import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import mothshed.runtime.clock as clock
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.mailbox as mailbox


class BlockingEnvironment:
    """The part of an environment that blocking code uses: clock, sleep, events, threads, HTTP, random numbers."""

    def __init__(self):
        self.random = random.Random()
        self.web = http_client.HttpClient()
        self.kept = connection_pool.ConnectionPool(clock.now)

    def now(self):
        return clock.now()

    def sleep(self, duration_s):
        time.sleep(duration_s)

    def new_event(self):
        return threading.Event()

    def spawn(self, call):
        """Run call() in a new daemon thread; an exception is logged."""

        def run():
            try:
                call()
            except Exception as error:
                log_buffer.failure("task_failed", error)

        threading.Thread(target=run, daemon=True).start()


class Environment(BlockingEnvironment):
    """A blocking environment with the mailbox, timers and peers that callbacks use."""

    def __init__(self, timers, peers, address):
        super().__init__()
        self.timers = timers
        self.peers = peers
        self.address = address
        self.mailbox = mailbox.Mailbox.start()

    def post(self, call):
        try:
            self.mailbox.tell(call)
        except pykka.ActorDeadError:
            pass

    def call_later(self, delay, call):
        return self.timers.add(delay, self.post, call)

    def send(self, destination, kind, **body):
        self.peers.send(destination, kind, **body)

    def send_to_each(self, addresses: collections.abc.Iterable[str], kind: str, **body: typing.Any) -> None:
        """Send the same record to several processes; it is encoded once."""
        self.peers.send_to_each(addresses, kind, **body)

    def subscribe(self, kind, call, part=None):
        """Run call(sender, body) in this environment's mailbox for each received record of this kind."""
        self.peers.subscribe(kind, part, lambda sender, body: self.post(functools.partial(call, sender, body)))

    def releases(self) -> dict[str, int]:
        """Return the record release that each connected peer uses, by peer."""
        return self.peers.releases()

    def figures(self) -> dict[str, int]:
        """Return the number of threads and of connections to other processes of the system."""
        return {"threads": threading.active_count(), **self.peers.stats()}

    def stop(self):
        self.mailbox.stop(block=False)
