"""Runs a daemon: creates its environments, opens its data folder, serves HTTP and handles signals.

This module does not import the command-line library: a daemon that is started from a settings file alone, as on the
platform, starts faster and uses less memory without it.
"""

import collections.abc
import threading
import time
import typing

import mothshed.configuration.settings as settings_module
import mothshed.constants as constants
import mothshed.http.http_server as http_server
import mothshed.programs.daemon_signals as daemon_signals
import mothshed.programs.daemon_stop as daemon_stop
import mothshed.programs.environment as environment_module
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.timers as timers
import mothshed.storage.disk as disk_module
import mothshed.transport.peers as peers


class DaemonExit(Exception):
    """Ends the daemon with an exit code and an optional reason."""

    def __init__(self, code: int, reason: str = "") -> None:
        super().__init__(reason)
        self.code = code


def environment_factory(
    settings: dict[str, typing.Any],
) -> collections.abc.Callable[[], environment_module.Environment]:
    """Return a function that creates environments with one shared timer thread and one shared set of peers."""
    shared_timers = timers.Timers()
    try:
        shared_peers = peers.Peers(settings["address"], settings.get("listen"))
    except OSError as error:
        raise DaemonExit(3, f"cannot listen on {settings.get('listen') or settings['address']}: {error}") from error
    return lambda: environment_module.Environment(shared_timers, shared_peers, settings["address"])


def serve_readiness(address: str, path: str, ready: collections.abc.Callable[[], bool]) -> None:
    """Serve `path` on an address of its own: status 200 if this process accepts requests, else 503."""

    def app(environ: http_server.Environ, start_response: http_server.StartResponse) -> list[bytes]:
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


def serve(
    server: http_server.Server,
    daemon: daemon_stop.Daemon,
    reload_settings: collections.abc.Callable[[], None] = lambda: None,
) -> typing.NoReturn:
    """Serve until SIGTERM or SIGINT, then stop, whatever other signals come, and end the process.

    reload_settings: called at SIGHUP, in a thread of its own. Raises DaemonExit if the address is taken.
    """

    def reload() -> None:
        try:
            reload_settings()
        except settings_module.SettingsError as error:  # the previous settings stay in force
            log_buffer.note("settings_unreadable", reason=str(error))
        except Exception as error:
            log_buffer.failure("reload_failed", error)

    try:
        server.prepare()
    except OSError as error:
        raise DaemonExit(3, f"cannot listen on {server.bind_addr}: {error}") from error
    threading.Thread(target=server.serve, daemon=True).start()
    begun_at = daemon_signals.DAEMON_SIGNALS.wait_for_stop(reload)
    daemon_stop.complete(server, daemon, begun_at)
