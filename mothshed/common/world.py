"""What a process takes from outside: clock, beats, mailbox, network, chance.

Parts of a process never read a clock or open a socket themselves; they are
given a Desk. This is the real one: CLOCK_BOOTTIME, a pykka actor as mailbox so
that a part's callbacks run one at a time, one thread that keeps all beats, and
the peers' held connections. The simulator has a Desk of the same shape.
"""

import heapq
import itertools
import random
import threading
import time

import pykka

import mothshed.common.kept as kept
import mothshed.common.ring as ring
import mothshed.common.web as web


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Mailbox(pykka.ThreadingActor):
    """Runs the callbacks posted to it, one after another."""

    use_daemon_thread = True

    def on_receive(self, call):
        try:
            call()
        except Exception as e:  # the part lives on; the ring says what happened
            ring.trouble("callback_failed", e)


class Beat:
    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None


class Beats:
    """One thread that posts each beat's callback when it is due."""

    def __init__(self):
        self.heap = []
        self.count = itertools.count()
        self.wake = threading.Condition()
        threading.Thread(target=self.run, name="beats", daemon=True).start()

    def add(self, delay, post, call):
        beat = Beat(call)
        with self.wake:
            heapq.heappush(self.heap, (now() + delay, next(self.count), post, beat))
            self.wake.notify()
        return beat

    def run(self):
        while True:
            with self.wake:
                while not self.heap or self.heap[0][0] > now():
                    left = self.heap[0][0] - now() if self.heap else None
                    self.wake.wait(left)
                post, beat = heapq.heappop(self.heap)[2:]
            if beat.call:
                post(lambda beat=beat: beat.call and beat.call())


class Tasks:
    """Clock, pauses, gates, tasks, HTTP and chance: what straight-down code takes."""

    def __init__(self):
        self.random = random.Random()
        self.web = web.Web()
        self.kept = kept.Kept(now)

    def now(self):
        return now()

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
        self.box = Mailbox.start()

    def post(self, call):
        try:
            self.box.tell(call)
        except pykka.ActorDeadError:
            pass

    def beat(self, delay, call):
        return self.beats.add(delay, self.post, call)

    def tell(self, goal, kind, **body):
        self.peers.send(goal, kind, **body)

    def hear(self, kind, call, part=None):
        """Calls call(sender, body) in this desk's mailbox for records of a kind."""
        self.peers.subscribe(kind, part, lambda who, body: self.post(lambda: call(who, body)))

    def figures(self) -> dict[str, int]:
        """What this process holds now: its threads, and its connections to others of the system."""
        return {"threads": threading.active_count(), **self.peers.figures()}

    def stop(self):
        self.box.stop(block=False)
