"""The times of a stop, which all follow from the grace time: from the signal to the kill of what is left.

A router takes new requests for a moment longer, while user agents learn that it leaves. What is under way goes on until
it is cut, late in the grace time, so that the process ends by itself before the kill, on a busy machine too.
"""

import dataclasses
import typing

import mothshed.constants as constants
import mothshed.runtime.constants as runtime_constants


@dataclasses.dataclass(frozen=True)
class StopSchedule:
    """The times of a stop, in seconds; all but `leave_s` count from the signal."""

    accept_s: float  # a router takes new requests until then
    cut_s: float  # requests that are under way are cut
    exit_s: float  # the process ends, whatever is left
    leave_s: float  # a keeper waits so long to be replaced or removed

    def progress(self, elapsed_s: float) -> dict[str, float]:
        """Return what the condition page tells of a stop: its age, and when its next steps are due."""
        return {
            "since_s": round(elapsed_s, 2),
            "cut_in_s": round(max(0.0, self.cut_s - elapsed_s), 2),
            "ends_in_s": round(max(0.0, self.exit_s - elapsed_s), 2),
        }


def for_grace_time(grace_s: float) -> StopSchedule:
    """Return the schedule for a grace time in seconds."""
    return StopSchedule(
        accept_s=min(runtime_constants.STOP_ACCEPT_S, runtime_constants.STOP_ACCEPT_RATIO * grace_s),
        cut_s=runtime_constants.STOP_CUT_RATIO * grace_s,
        exit_s=runtime_constants.STOP_EXIT_RATIO * grace_s,
        leave_s=runtime_constants.STOP_LEAVE_RATIO * grace_s,
    )


def for_drain_time(drain_s: float, accept_s: float = 0.0, leave_s: float | None = None) -> StopSchedule:
    """Return the schedule where nothing kills the process. drain_s: from the last request taken to the cut."""
    cut_s = accept_s + drain_s
    leave_s = constants.DEFAULT_LEAVE_TIMEOUT_S if leave_s is None else leave_s
    return StopSchedule(accept_s, cut_s, cut_s + runtime_constants.STOP_CLOSE_TIMEOUT_S, leave_s)


def from_settings(settings: dict[str, typing.Any]) -> StopSchedule:
    """Return the schedule of a process: from its grace time, or from the times that its settings state instead."""
    if "grace_s" in settings:
        return for_grace_time(settings["grace_s"])
    drain_s = settings.get("drain_s", runtime_constants.DRAIN_TIMEOUT_S)
    return for_drain_time(drain_s, settings.get("linger_s", 0.0), settings.get("drain_s"))
