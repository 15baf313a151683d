"""The verdict: whether a request may have run.

Every send ends in one of three verdicts. `not_run` is only ever said on proof
(the connection was never made, or the replica itself says that it did nothing);
everything unproven is `may_have_run`. Failures carry their verdict, and several
failures of one request are raised as one exception group whose joint verdict is
the gravest of its members.

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
    """One send that did not succeed."""

    def __init__(self, verdict, reason, replica="", handle_lost=False, rejected=False):
        super().__init__(f"{reason} ({replica or 'no replica'}: {verdict.value})")
        self.verdict = verdict
        self.reason = reason
        self.replica = replica
        self.rejected = rejected  # the replica itself turned it away
        self.handle_lost = handle_lost  # the held memory is gone: no other decode can help


class StreamInterrupted(Exception):
    """A stream that failed after a byte went to the user agent."""


class RequestFailure(ExceptionGroup):
    """All failed sends of one request that ran or may have, at least in part."""

    @property
    def verdict(self):
        return worst([Verdict.MAY_HAVE_RUN, *(e.verdict for e in self.exceptions)])


class CallerDisconnected(Exception):
    """The caller hung up: nobody waits for an answer any more, and nothing further is done for it."""


class Rejection(Exception):
    """A request refused: nothing ran and nothing will."""

    def __init__(self, status: int, reason: str, retry_after_s: float = 0, cause: str = "other") -> None:
        super().__init__(reason)
        self.cause = cause  # for the metrics: why service was refused
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
