"""Runs a daemon: creates its environments, opens its data folder, serves HTTP and handles signals.

This module does not import the command-line library: a daemon that is started from a settings file alone, as on the
platform, starts faster and uses less memory without it.
"""

import collections
import collections.abc
import os
import sys
import threading
import time
import typing

import mothshed.configuration.settings as settings_module
import mothshed.constants as constants
import mothshed.http.http_server as http_server
import mothshed.programs.daemon_signals as daemon_signals
import mothshed.programs.environment as environment_module
import mothshed.runtime.clock as clock
import mothshed.runtime.counters as counters
import mothshed.runtime.journal as journal
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.stop_schedule as stop_schedule
import mothshed.runtime.timers as timers
import mothshed.storage.disk as disk_module
import mothshed.transport.peers as peers

STOP_FIGURES = {  # the counters of both interfaces
    "served": ("delivery_done", "request_done"),
    "rejected": ("refusal_stopping", "bounce_stopping"),
    "cut": ("delivery_cut", "request_cut"),
    "freed": ("free_done",),
}


class DaemonExit(Exception):
    """Ends the daemon with an exit code and an optional reason."""

    def __init__(self, code: int, reason: str = "") -> None:
        super().__init__(reason)
        self.code = code


def environment_factory(settings):
    """Return a function that creates environments with one shared timer thread and one shared set of peers."""
    shared_timers = timers.Timers()
    try:
        shared_peers = peers.Peers(settings["address"], settings.get("listen"))
    except OSError as error:
        raise DaemonExit(3, f"cannot listen on {settings.get('listen') or settings['address']}: {error}") from error
    return lambda: environment_module.Environment(shared_timers, shared_peers, settings["address"])


def serve_readiness(address, path, ready):
    """Serve `path` on an address of its own: status 200 if this process accepts requests, else 503."""

    def app(environ, start_response):
        is_ready = environ["PATH_INFO"] == path and ready()
        return http_server.respond(start_response, 200 if is_ready else 503, {"ready": is_ready})

    server = http_server.Server(address, app, constants.READINESS_SERVER_THREADS)
    threading.Thread(target=server.safe_start, daemon=True).start()


def open_disk(folder: str, sleep: collections.abc.Callable[[float], None] = time.sleep) -> disk_module.Disk:
    """Return the data folder once writes to it succeed; raises DiskError if it can't be created.

    sleep: waits for a number of seconds between two attempts.
    """
    disk = disk_module.Disk(folder)
    while True:
        try:
            disk.put("probe", b".")
            return disk
        except disk_module.DiskError as error:
            log_buffer.note("disk_refuses", reason=str(error))
            sleep(constants.DISK_RETRY_INTERVAL_S)


class Daemon(typing.Protocol):
    """What `serve` needs of a router or a keeper."""

    settings: dict[str, typing.Any]
    totals: journal.Totals
    counters_report: counters.CountersReport

    def drain(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> bool:
        """Complete or hand over the work, until `exit_s` after begun_at at most; return whether nothing was left."""


def serve(
    server: http_server.Server, daemon: Daemon, reload_settings: collections.abc.Callable[[], None] = lambda: None
) -> typing.NoReturn:
    """Serve until SIGTERM or SIGINT, then stop, whatever other signals come, and end the process.

    reload_settings: called at SIGHUP. Raises DaemonExit if the address is taken.
    """

    def reload() -> None:
        try:
            reload_settings()
        except settings_module.SettingsError as error:  # the previous settings stay in force
            log_buffer.note("settings_unreadable", reason=str(error))
        except Exception as error:  # the main thread goes on waiting for signals
            log_buffer.failure("reload_failed", error)

    try:
        server.prepare()
    except OSError as error:
        raise DaemonExit(3, f"cannot listen on {server.bind_addr}: {error}") from error
    threading.Thread(target=server.serve, daemon=True).start()
    begun_at = daemon_signals.DAEMON_SIGNALS.wait_for_stop(reload)
    stop(server, daemon, begun_at)


def stop(server: http_server.Server, daemon: Daemon, begun_at: float) -> typing.NoReturn:
    """Stop a daemon and end its process, on time even if something hangs.

    begun_at: time of the signal, in seconds of the boot clock.
    """
    schedule = stop_schedule.from_settings(daemon.settings)
    before, exit_at, completed = daemon.totals.counts.copy(), begun_at + schedule.exit_s, False
    try:
        end_process_at(exit_at)
        log_buffer.report("stop_begun", late_s=round(clock.now() - begun_at, 3))
        completed = daemon.drain(schedule, begun_at)
        close(server, (clock.now() + exit_at) / 2)
        daemon.counters_report.report_now()
        figures = stop_figures(before, daemon.totals.counts)
        log_buffer.report("stop_ended", completed=completed, lasted_s=round(clock.now() - begun_at, 3), **figures)
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
    thread = threading.Thread(target=server.stop, daemon=True)  # the library waits for its threads without a limit
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
    """End the process at once; threads that still run are not waited for, as the interpreter's own end does."""
    try:
        sys.stdout.flush()
        sys.stderr.flush()
    finally:
        os._exit(code)
