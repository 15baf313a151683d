"""Timers of a process: one thread posts each callback to a mailbox when it is due."""

import collections.abc
import heapq
import itertools
import threading
import typing

import mothshed.runtime.clock as clock

Callback = collections.abc.Callable[[], typing.Any]
Post = collections.abc.Callable[[Callback], None]  # puts a callback into a mailbox


class Timer:
    """A one-shot timer that can be cancelled until its callback runs."""

    def __init__(self, call: Callback) -> None:
        self.call: Callback | None = call

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.call = None

    def fire(self) -> None:
        """Run the callback, unless it was cancelled."""
        if self.call:
            self.call()


class Timers:
    """The timers of a process and the thread that posts them when they are due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Post, Timer]] = []
        self.count = itertools.count()
        self.changed = threading.Condition()
        threading.Thread(target=self.run, name="timers", daemon=True).start()

    def add(self, delay: float, post: Post, call: Callback) -> Timer:
        """Post a callback once after a delay in seconds."""
        timer = Timer(call)
        with self.changed:
            heapq.heappush(self.heap, (clock.now() + delay, next(self.count), post, timer))
            self.changed.notify()
        return timer

    def run(self) -> None:
        """Post timers as they become due, until the process ends."""
        while True:
            with self.changed:
                while not self.heap or self.heap[0][0] > clock.now():
                    remaining_s = self.heap[0][0] - clock.now() if self.heap else None
                    self.changed.wait(remaining_s)
                post, timer = heapq.heappop(self.heap)[2:]
            if timer.call:
                post(timer.fire)
