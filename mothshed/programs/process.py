"""What both daemons' command lines share: flags, settings from file and flags, and exit codes."""

import collections.abc
import dataclasses
import typing

import cappa

import mothshed.configuration.settings as settings_module
import mothshed.programs.serving as serving
import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module

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
    except settings_module.SettingsError as e:
        raise cappa.Exit("settings are not valid:\n" + "\n".join(f"  {f}" for f in e.errors), code=2) from e
    log_buffer.start(found["name"], found.get("ring"))
    return found


def run(daemon: collections.abc.Callable[[], None]) -> None:
    """Run a daemon to its end; exit as it says, or with code 4 if its data folder is not usable."""
    try:
        daemon()
    except serving.ProgramEnd as end:
        raise cappa.Exit(str(end) or None, code=end.code) from end
    except disk_module.DiskError as fault:
        raise cappa.Exit(f"data folder is not usable: {fault}", code=4) from fault
