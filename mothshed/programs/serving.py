"""Running a daemon: its environments, its disk, its fronts, signals and the long wait.

Nothing here reads flags or knows a command line's library: a daemon that is started with settings alone, as on
the platform, is up sooner and smaller without it.
"""

import collections.abc
import signal
import sys
import threading
import time

import mothshed.configuration.settings as settings_module
import mothshed.constants as constants
import mothshed.http.http_server as http_server
import mothshed.programs.environment as environment_module
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.timers as timers
import mothshed.storage.disk as disk_module
import mothshed.transport.peers as peers


class ProgramEnd(Exception):
    """A daemon ends with this exit code; the text, if any, says why."""

    def __init__(self, code: int, reason: str = "") -> None:
        super().__init__(reason)
        self.code = code


def environments(settings):
    """A maker of environments that share one clock thread and one set of peers."""
    shared_timers = timers.Timers()
    try:
        own = peers.Peers(settings["address"], settings.get("listen"))
    except OSError as e:
        raise ProgramEnd(3, f"cannot listen on {settings.get('listen') or settings['address']}: {e}") from e
    return lambda: environment_module.Environment(shared_timers, own, settings["address"])


def serve_ready(address, path, ready):
    """A front of its own that says on `path` whether this process wants requests."""

    def app(environ, start):
        good = environ["PATH_INFO"] == path and ready()
        return http_server.respond(start, 200 if good else 503, {"ready": good})

    server = http_server.Server(address, app, constants.READINESS_SERVER_THREADS)
    threading.Thread(target=server.safe_start, daemon=True).start()


def open_disk(folder: str, sleep: collections.abc.Callable[[float], None] = time.sleep) -> disk_module.Disk:
    """The data folder, once it takes writes; raises DiskError if there is no such folder to be had.

    sleep: waits so many seconds between two tries.
    """
    disk = disk_module.Disk(folder)
    while True:
        try:
            disk.put("probe", b".")
            return disk
        except disk_module.DiskError as fault:
            log_buffer.note("disk_refuses", reason=str(fault))
            sleep(constants.DISK_RETRY_INTERVAL_S)


def serve(server, stop, reread=lambda: None):
    """Serves until SIGTERM or SIGINT, then stop(); a second signal ends at once. SIGHUP: reread()."""
    asked = threading.Event()

    def on_signal(number, frame):
        if asked.is_set():
            sys.exit(1)
        asked.set()

    def on_hup(number, frame):
        try:
            reread()
        except settings_module.SettingsError as e:  # the old settings stand
            log_buffer.note("settings_unreadable", reason=str(e))

    signal.signal(signal.SIGHUP, on_hup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    try:
        server.prepare()
    except OSError as e:
        raise ProgramEnd(3, f"cannot listen on {server.bind_addr}: {e}") from e
    threading.Thread(target=server.serve, daemon=True).start()
    asked.wait()
    clean = stop()
    server.stop()
    sys.stdout.flush()
    raise ProgramEnd(0 if clean else 1)
