"""Verdicts: whether a request may have run on a replica.

Every send ends in one of three verdicts. `not_run` needs proof: the connection was never made, or the replica itself
says that it did nothing. Everything unproven is `may_have_run`. Failures carry their verdict. Several failures of one
request are raised as one exception group with the most severe verdict among them.

>>> worst([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
<Verdict.MAY_HAVE_RUN: 'may_have_run'>
>>> worst([])
<Verdict.NOT_RUN: 'not_run'>
"""

import enum


class Verdict(enum.Enum):
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def worst(verdicts):
    return max(verdicts, key=SEVERITY.get, default=Verdict.NOT_RUN)


class SendFailure(Exception):
    """A send to a replica that failed."""

    def __init__(self, verdict, reason, replica="", handle_lost=False, rejected=False):
        super().__init__(f"{reason} ({replica or 'no replica'}: {verdict.value})")
        self.verdict = verdict
        self.reason = reason
        self.replica = replica
        self.rejected = rejected  # the replica itself rejected the request
        self.handle_lost = handle_lost  # the exported KV memory is lost, so no other decode replica can use the handle


class StreamInterrupted(Exception):
    """A stream that failed after some of it was sent to the client.

    reason: of few different ones, since it is also an outcome label of the metrics.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


class RequestFailure(ExceptionGroup):
    """All failed sends of one request that ran, or may have run, at least in part."""

    @property
    def verdict(self):
        return worst([Verdict.MAY_HAVE_RUN, *(e.verdict for e in self.exceptions)])


class CallerDisconnected(Exception):
    """The caller closed its connection, so its request is abandoned."""


class Rejection(Exception):
    """A request that is rejected: nothing of it ran or will run."""

    def __init__(self, status: int, reason: str, retry_after_s: float = 0, cause: str = "other") -> None:
        super().__init__(reason)
        self.cause = cause  # reason label in the metrics
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
