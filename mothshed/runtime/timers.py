"""Timers of a process: one thread posts each callback when it is due."""

import collections.abc
import heapq
import itertools
import threading
import typing

import mothshed.runtime.clock as clock

Callback = collections.abc.Callable[[], typing.Any]
Post = collections.abc.Callable[[Callback], None]  # puts a callback into a mailbox


class Timer:
    """A callback that is due once; it may be cancelled until it runs."""

    def __init__(self, call: Callback) -> None:
        self.call: Callback | None = call

    def cancel(self) -> None:
        """The callback does not run any more."""
        self.call = None

    def fire(self) -> None:
        """Run the callback, unless it was cancelled."""
        if self.call:
            self.call()


class Timers:
    """One thread that posts each timer when it is due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Post, Timer]] = []
        self.count = itertools.count()
        self.changed = threading.Condition()
        threading.Thread(target=self.run, name="timers", daemon=True).start()

    def add(self, delay: float, post: Post, call: Callback) -> Timer:
        """post(call) once, so many seconds from now."""
        timer = Timer(call)
        with self.changed:
            heapq.heappush(self.heap, (clock.now() + delay, next(self.count), post, timer))
            self.changed.notify()
        return timer

    def run(self) -> None:
        """Post what is due, for as long as the process lives."""
        while True:
            with self.changed:
                while not self.heap or self.heap[0][0] > clock.now():
                    remaining_s = self.heap[0][0] - clock.now() if self.heap else None
                    self.changed.wait(remaining_s)
                post, timer = heapq.heappop(self.heap)[2:]
            if timer.call:
                post(timer.fire)
