"""What both daemons share: settings from file and flags, signals, the long wait."""

import dataclasses
import os
import signal
import sys
import threading
import time
import typing

import cappa

import mothshed.common.constants as constants
import mothshed.common.disk as disk_module
import mothshed.common.front as front
import mothshed.common.peers as peers
import mothshed.common.ring as ring
import mothshed.common.settings as settings_module
import mothshed.common.world as world

Flag = str | None


@dataclasses.dataclass
class Place:
    """Flags every daemon takes; each stands over the settings file's entry."""

    settings: typing.Annotated[Flag, cappa.Arg(long=True, help="settings file (JSON)")] = None
    name: typing.Annotated[Flag, cappa.Arg(long=True, help="this process's name")] = None
    address: typing.Annotated[Flag, cappa.Arg(long=True, help="ip:port for the system's own processes")] = None
    listen: typing.Annotated[Flag, cappa.Arg(long=True, help="ip:port to listen on, if not the address")] = None
    http: typing.Annotated[Flag, cappa.Arg(long=True, help="ip:port for HTTP")] = None
    cell: typing.Annotated[Flag, cappa.Arg(long=True, help="zone this machine is in")] = None
    list_url: typing.Annotated[Flag, cappa.Arg(long=True, help="URL of the platform's list of replicas")] = None
    seeds: typing.Annotated[list[str], cappa.Arg(long=True, help="seed ip:port, up to three times")] = (
        dataclasses.field(default_factory=list)
    )
    ring: typing.Annotated[Flag, cappa.Arg(long=True, help="file for the log ring when something goes wrong")] = None
    data: typing.Annotated[Flag, cappa.Arg(long=True, help="data folder (keepers only)")] = None


def load(args, keeper=False):
    """The checked settings, or exit 2 with every fault named."""
    flags = {k: v for k, v in dataclasses.asdict(args).items() if k != "settings"}
    try:
        found = settings_module.load(args.settings, flags, keeper)
    except settings_module.SettingsFault as e:
        raise cappa.Exit("settings are not valid:\n" + "\n".join(f"  {f}" for f in e.found), code=2) from e
    ring.start(found["name"], found.get("ring"))
    return found


def desks(settings):
    """A maker of desks that share one clock thread and one set of peers."""
    beats = world.Beats()
    try:
        own = peers.Peers(settings["address"], settings.get("listen"))
    except OSError as e:
        raise cappa.Exit(f"cannot listen on {settings.get('listen') or settings['address']}: {e}", code=3) from e
    return lambda: world.Desk(beats, own, settings["address"])


def serve_ready(address, path, ready):
    """A front of its own that says on `path` whether this process wants requests."""

    def app(environ, start):
        good = environ["PATH_INFO"] == path and ready()
        return front.respond(start, 200 if good else 503, {"ready": good})

    server = front.Server(address, app, constants.READY_THREADS)
    threading.Thread(target=server.safe_start, daemon=True).start()


def open_disk(folder: str) -> disk_module.Disk:
    """The data folder, once it takes writes; raises DiskFault if there is no such folder to be had."""
    disk = disk_module.Disk(folder)
    while True:
        try:
            disk.put("probe", b".")
            return disk
        except disk_module.DiskFault as fault:
            ring.note("disk_refuses", reason=str(fault))
            time.sleep(constants.DISK_RETRY)


def start_anew():
    """Ends this process politely; whoever keeps it running starts it again."""
    os.kill(os.getpid(), signal.SIGTERM)


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
        except settings_module.SettingsFault as e:  # the old settings stand
            ring.note("settings_unreadable", reason=str(e))

    signal.signal(signal.SIGHUP, on_hup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    try:
        server.prepare()
    except OSError as e:
        raise cappa.Exit(f"cannot listen on {server.bind_addr}: {e}", code=3) from e
    threading.Thread(target=server.serve, daemon=True).start()
    asked.wait()
    clean = stop()
    server.stop()
    sys.stdout.flush()
    raise cappa.Exit(code=0 if clean else 1)
