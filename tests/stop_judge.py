"""Judges requests around the stops of their routers by the platform's rules.

A request that a router has passed on, or has read and not answered in time, must get a complete response. Not counted
are requests that reached their deadline, and those sent no later than 3 s after the signal whose replica was still at
work in the last sixth of the grace time.
"""

import collections
import dataclasses
import typing

import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet

SENT_IN_TIME_S = 3.0  # after the signal; what is sent later is not excused
EXCUSED_SHARE = 5 / 6  # of the grace time, after which the end of a response is excused
UNANSWERED_S = 0.2  # from the last byte of a request to a close without an answer that is not counted
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class Verdict:
    """Violations by rule, and what happened to the requests."""

    violations: dict[str, list[str]]
    outcomes: collections.Counter[str]


class Judge:
    """Judges the requests of one fleet."""

    def __init__(self, fleet: stop_fleet.Fleet) -> None:
        self.stops = fleet.stops
        self.runs = collections.Counter(row["id"] for row in fleet.platform.runs)
        self.passed_on = {request.get("Try-Id") for replica in fleet.replicas for request in list(replica.requests)}
        self.work = [work for replica in fleet.replicas for work in list(replica.work)]

    def judge(self, attempts: typing.Iterable[stop_callers.Attempt]) -> Verdict:
        """Judge the requests of all clients."""
        violations, outcomes = collections.defaultdict(list), collections.Counter()
        for attempt in attempts:
            outcome = self.outcome(attempt)
            outcomes[outcome] += 1
            if outcome.startswith("LOST"):
                violations[outcome].append(self.describe(attempt))
            if attempt.status in NOT_RUN_STATUSES and attempt.is_complete and self.runs[attempt.request_id]:
                violations["REFUSED: refused, yet it ran"].append(self.describe(attempt))
        for stop in self.stops:
            if stop.was_killed:
                violations["a process did not end by itself"].append(f"{stop.node} {self.signals(stop)}")
        return Verdict(dict(violations), outcomes)

    def outcome(self, attempt: stop_callers.Attempt) -> str:
        """Return what happened to a request; it begins with LOST if that breaks the rule."""
        if attempt.is_complete:
            return "complete" if attempt.status == 200 else f"status {attempt.status}"
        if not attempt.ended_at:
            return "under way"
        stop = self.stop_of(attempt)
        if attempt.ended_at >= attempt.sent_at + stop_callers.DEADLINE_S:
            return "deadline"
        if attempt.request_id in self.passed_on:
            return "excused" if stop and self.is_excused(attempt, stop) else "LOST: passed on and cut"
        was_read = not attempt.was_reset and attempt.ended_at - attempt.sent_at > UNANSWERED_S
        return "LOST: read and not answered" if was_read else "not read"

    def is_excused(self, attempt: stop_callers.Attempt, stop: stop_fleet.Stop) -> bool:
        """Return whether the rule leaves out a request that was cut."""
        if not stop.has_sigterm:  # ended at once by its user
            return True
        excused_from = stop.first_at + EXCUSED_SHARE * stop.grace_s
        worked_until = max((w.until for w in self.work if w.request_id == attempt.request_id), default=0.0)
        return attempt.sent_at <= stop.first_at + SENT_IN_TIME_S and worked_until >= excused_from

    def stop_of(self, attempt: stop_callers.Attempt) -> stop_fleet.Stop | None:
        """Return the stop of the process that a request was sent to."""
        stops = [s for s in self.stops if s.node == attempt.node and s.ended_at >= attempt.sent_at]
        return min(stops, key=lambda stop: stop.ended_at, default=None)

    def describe(self, attempt: stop_callers.Attempt) -> str:
        """Return one line about a request, with times from the first signal to its router."""
        stop = self.stop_of(attempt)
        start = stop.first_at if stop else attempt.sent_at
        worked_until = max((w.until for w in self.work if w.request_id == attempt.request_id), default=start)
        return (
            f"{attempt.request_id} at {attempt.node}: sent {attempt.sent_at - start:+.2f}, status {attempt.status}, "
            f"{attempt.received} of {attempt.events} events, replica at work until {worked_until - start:+.2f}, "
            f"ended {attempt.ended_at - start:+.2f}; {self.signals(stop) if stop else 'no stop'}"
        )

    @staticmethod
    def signals(stop: stop_fleet.Stop) -> str:
        """Return the signals of a stop and its end, with times from the first one that asks for a stop."""
        sent = ", ".join(f"{name} {at - stop.first_at:+.2f}" for name, at in stop.signals)
        end = "killed" if stop.was_killed else f"exit {stop.code}"
        return f"{sent}, {end} {stop.ended_at - stop.first_at:+.2f}"
