"""What a process takes from outside: clock, timers, mailbox, network, chance.

Parts of a process never read a clock or open a socket themselves; they are
given an Environment. This is the real one: CLOCK_BOOTTIME, a pykka actor as mailbox so
that a part's callbacks run one at a time, one thread that keeps all timers, and
the peers' held connections. The simulator has an Environment of the same shape.
"""

import collections.abc
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


class Tasks:
    """Clock, pauses, events, tasks, HTTP and chance: what straight-down code takes."""

    def __init__(self):
        self.random = random.Random()
        self.web = http_client.HttpClient()
        self.kept = connection_pool.ConnectionPool(clock.now)

    def now(self):
        return clock.now()

    def sleep(self, span):
        time.sleep(span)

    def new_event(self):
        return threading.Event()

    def spawn(self, call):
        """Runs call() as a task of its own."""

        def run():
            try:
                call()
            except Exception as e:
                log_buffer.failure("task_failed", e)

        threading.Thread(target=run, daemon=True).start()


class Environment(Tasks):
    """Tasks, and the mailbox, timers and peers that callbacks take."""

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

    def send(self, goal, kind, **body):
        self.peers.send(goal, kind, **body)

    def send_to_each(self, addresses: collections.abc.Iterable[str], kind: str, **body: typing.Any) -> None:
        """The same record to several processes, packed once."""
        self.peers.send_to_each(addresses, kind, **body)

    def subscribe(self, kind, call, part=None):
        """Calls call(sender, body) in this environment's mailbox for records of a kind."""
        self.peers.subscribe(kind, part, lambda who, body: self.post(lambda: call(who, body)))

    def releases(self) -> dict[str, int]:
        """Peer -> the release of the records that it speaks, of those connected now."""
        return self.peers.releases()

    def figures(self) -> dict[str, int]:
        """What this process holds now: its threads, and its connections to others of the system."""
        return {"threads": threading.active_count(), **self.peers.stats()}

    def stop(self):
        self.mailbox.stop(block=False)
