"""The stop of a daemon: begun by whoever reads its signals, gone through by the main thread, and ended on time.

The end of the process and of the time for new requests are set when the stop is requested, so that both hold while the
main thread still starts the daemon or is held up.
"""

import collections
import collections.abc
import contextlib
import os
import sys
import threading
import typing

import mothshed.http.http_server as http_server
import mothshed.runtime.clock as clock
import mothshed.runtime.constants as runtime_constants
import mothshed.runtime.counters as counters
import mothshed.runtime.journal as journal
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.stop_schedule as stop_schedule

STOP_FIGURES = {  # the counters of both interfaces
    "served": ("delivery_done", "request_done"),
    "rejected": ("refusal_stopping", "bounce_stopping"),
    "cut": ("delivery_cut", "request_cut"),
    "freed": ("free_done",),
}


class Daemon(typing.Protocol):
    """What a stop needs of a router or a keeper."""

    settings: dict[str, typing.Any]
    totals: journal.Totals
    counters_report: counters.CountersReport

    def begin_stop(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> None:
        """Take no new work from `accept_s` after begun_at on, and tell of the stop; returns at once."""

    def drain(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> bool:
        """Complete or hand over the work, until `exit_s` after begun_at at most; return whether nothing was left."""


def begin(daemon: Daemon, begun_at: float) -> None:
    """Begin the stop of a daemon, even if its main thread is held up: its times are set, and nothing is waited for.

    begun_at: time of the signal, in seconds of the boot clock.
    """
    schedule = stop_schedule.from_settings(daemon.settings)
    try:
        end_process_at(begun_at + schedule.exit_s)
        daemon.begin_stop(schedule, begun_at)
    except Exception as error:  # the main thread goes through the stop all the same
        log_buffer.failure("stop_not_begun", error)


def complete(server: http_server.Server, daemon: Daemon, begun_at: float) -> typing.NoReturn:
    """Go through the stop of a daemon and end its process, on time even if something fails or hangs.

    begun_at: time of the signal, in seconds of the boot clock.
    """
    schedule = stop_schedule.from_settings(daemon.settings)
    before, exit_at, completed = daemon.totals.counts.copy(), begun_at + schedule.exit_s, False
    try:
        log_buffer.report("stop_begun", late_s=round(clock.now() - begun_at, 3))
        completed = daemon.drain(schedule, begun_at)
        close(server, (clock.now() + exit_at) / 2)
        daemon.counters_report.report_now()
        figures = stop_figures(before, daemon.totals.counts)
        log_buffer.report("stop_ended", completed=completed, lasted_s=round(clock.now() - begun_at, 3), **figures)
        log_buffer.flush(runtime_constants.STOP_FLUSH_TIMEOUT_S)
    except Exception as error:
        completed = False
        log_buffer.failure("stop_failed", error)
    finally:
        end_process(0 if completed else 1)


def stop_figures(before: collections.Counter[str], after: collections.Counter[str]) -> dict[str, int]:
    """Return how many requests were served, rejected and cut, and how many handles released, between two counts."""
    return {name: sum(after[c] - before[c] for c in counted) for name, counted in STOP_FIGURES.items()}


def close(server: http_server.Server, deadline: float) -> None:
    """Close a server: its listening socket, its idle connections, then its threads; give up at a time of the clock."""
    call_until(deadline, server.stop)  # the library waits for its threads without a limit


def call_until(deadline: float, call: collections.abc.Callable[[], object]) -> None:
    """Call a function that may hang, and wait for its end until a time of the boot clock at most."""
    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    thread.join(max(0.0, deadline - clock.now()))


def end_process_at(moment: float) -> None:
    """Have the process end at a time of the boot clock, unless it has ended by then."""
    timer = threading.Timer(max(0.0, moment - clock.now()), end_process, [1])
    timer.daemon = True
    try:
        timer.start()
    except RuntimeError as error:  # no thread can be started
        log_buffer.failure("stop_without_limit", error)


def end_process(code: int) -> typing.NoReturn:
    """End the process; threads that still run, and an output that is not read, are not waited for."""
    try:
        call_until(clock.now() + runtime_constants.EXIT_FLUSH_TIMEOUT_S, flush_outputs)
    finally:
        os._exit(code)


def flush_outputs() -> None:
    """Write what the log and the standard streams still hold; may block."""
    log_buffer.flush(runtime_constants.EXIT_FLUSH_TIMEOUT_S)
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
