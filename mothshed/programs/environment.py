"""What a process takes from outside: clock, timers, mailbox, network, chance.

Parts of a process never read a clock or open a socket themselves; they are
given a Desk. This is the real one: CLOCK_BOOTTIME, a pykka actor as mailbox so
that a part's callbacks run one at a time, one thread that keeps all timers, and
the peers' held connections. The simulator has a Desk of the same shape.
"""

import collections.abc
import random
import threading
import time
import typing

import pykka

import mothshed.http.kept as kept
import mothshed.http.web as web
import mothshed.runtime.clock as clock
import mothshed.runtime.mailbox as mailbox
import mothshed.runtime.ring as ring


class Tasks:
    """Clock, pauses, gates, tasks, HTTP and chance: what straight-down code takes."""

    def __init__(self):
        self.random = random.Random()
        self.web = web.Web()
        self.kept = kept.Kept(clock.now)

    def now(self):
        return clock.now()

    def pause(self, span):
        time.sleep(span)

    def gate(self):
        return threading.Event()

    def spawn(self, call):
        """Runs call() as a task of its own."""

        def run():
            try:
                call()
            except Exception as e:
                ring.trouble("task_failed", e)

        threading.Thread(target=run, daemon=True).start()


class Desk(Tasks):
    """Tasks, and the mailbox, beats and peers that callbacks take."""

    def __init__(self, beats, peers, address):
        super().__init__()
        self.beats = beats
        self.peers = peers
        self.address = address
        self.box = mailbox.Mailbox.start()

    def post(self, call):
        try:
            self.box.tell(call)
        except pykka.ActorDeadError:
            pass

    def beat(self, delay, call):
        return self.beats.add(delay, self.post, call)

    def tell(self, goal, kind, **body):
        self.peers.send(goal, kind, **body)

    def send_to_each(self, addresses: collections.abc.Iterable[str], kind: str, **body: typing.Any) -> None:
        """The same record to several processes, packed once."""
        self.peers.send_to_each(addresses, kind, **body)

    def hear(self, kind, call, part=None):
        """Calls call(sender, body) in this desk's mailbox for records of a kind."""
        self.peers.subscribe(kind, part, lambda who, body: self.post(lambda: call(who, body)))

    def releases(self) -> dict[str, int]:
        """Peer -> the release of the records that it speaks, of those connected now."""
        return self.peers.releases()

    def figures(self) -> dict[str, int]:
        """What this process holds now: its threads, and its connections to others of the system."""
        return {"threads": threading.active_count(), **self.peers.figures()}

    def stop(self):
        self.box.stop(block=False)
