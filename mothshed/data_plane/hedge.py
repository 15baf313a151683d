"""A hedge: a second attempt at a request whose replica is silent, in a thread of its own.

The first attempt is not given up for it. Whichever of the two goes on first is delivered, and the work of the other
one ends. A hedge that fails costs the request nothing but the extra sends that it made.
"""

import threading
import typing

import mothshed.data_plane.response_start as response_start_module
import mothshed.replicas.verdict as verdict
import mothshed.runtime.waker as waker_module


class TakenOver(Exception):
    """A hedge has answered while the first attempt is still silent."""


class Hedge:
    """A second attempt; its owner starts it, watches `waker` and then takes its response or cancels it."""

    def __init__(self, delivery: typing.Any) -> None:
        self.delivery = delivery
        self.waker = waker_module.Waker()
        self.lock = threading.Lock()
        self.finished = self.cancelled = False
        self.response_start: response_start_module.ResponseStart | None = None  # once it has succeeded
        self.failure: Exception | None = None  # once it has failed

    def run(self) -> None:
        """Attempt the request until an attempt succeeds or none is left."""
        response_start, failure = None, None
        try:
            response_start = self.delivery.start()
        except (verdict.Rejection, verdict.RequestFailure, verdict.CallerDisconnected) as error:
            failure = error
        finally:
            self.finish(response_start, failure)

    def finish(self, response_start: response_start_module.ResponseStart | None, failure: Exception | None) -> None:
        """Hand over the result and wake the owner, or end the work if the owner has cancelled it."""
        with self.lock:
            self.response_start, self.failure, self.finished = response_start, failure, True
            cancelled = self.cancelled
            if not cancelled:
                self.waker.wake()
        if cancelled:
            self.delivery.release()

    def has_response(self) -> bool:
        """Whether it ended with the response of a replica that may be delivered."""
        # After a replica's own error the attempt is released; such a response is the last resort of the owner.
        return self.response_start is not None and self.delivery.reply is not None

    def take(self) -> response_start_module.ResponseStart:
        """Return the response of a hedge that has one; from now on its owner releases what it holds."""
        assert self.response_start is not None
        self.waker.close()
        return self.response_start

    def cancel(self) -> None:
        """End its work; what it holds is released here or, if it is still running, by its own thread."""
        with self.lock:
            self.cancelled = True
            finished = self.finished
            self.waker.close()
        self.delivery.request.caller.cancellation.cancel()
        if finished:
            self.delivery.release()
