"""Flags, settings and exit codes shared by the command lines of both daemons."""

import collections.abc
import dataclasses
import typing

import cappa

import mothshed.configuration.settings as settings_module
import mothshed.programs.serving as serving
import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module

OptionalText = str | None


@dataclasses.dataclass
class DaemonFlags:
    """Flags of every daemon; a flag overrides the entry of the settings file."""

    settings: typing.Annotated[OptionalText, cappa.Arg(long=True, help="settings file (JSON)")] = None
    name: typing.Annotated[OptionalText, cappa.Arg(long=True, help="name of this process")] = None
    address: typing.Annotated[
        OptionalText, cappa.Arg(long=True, help="ip:port at which other processes of the system reach this one")
    ] = None
    listen: typing.Annotated[
        OptionalText, cappa.Arg(long=True, help="ip:port to listen on, if it differs from the address")
    ] = None
    http: typing.Annotated[OptionalText, cappa.Arg(long=True, help="ip:port of the HTTP server")] = None
    cell: typing.Annotated[OptionalText, cappa.Arg(long=True, help="zone of this machine")] = None
    list_url: typing.Annotated[OptionalText, cappa.Arg(long=True, help="URL of the platform's replica list")] = None
    seeds: typing.Annotated[
        list[str], cappa.Arg(long=True, help="ip:port of a seed; may be given up to three times")
    ] = dataclasses.field(default_factory=list)
    ring: typing.Annotated[
        OptionalText, cappa.Arg(long=True, help="file that the log buffer is written to after an error")
    ] = None
    data: typing.Annotated[OptionalText, cappa.Arg(long=True, help="data folder (keepers only)")] = None


def load_settings(flags_given, keeper=False):
    """Return the validated settings, or exit with 2 and all errors."""
    flags = {name: value for name, value in dataclasses.asdict(flags_given).items() if name != "settings"}
    try:
        settings = settings_module.load(flags_given.settings, flags, keeper)
    except settings_module.SettingsError as error:
        raise cappa.Exit(
            "settings are not valid:\n" + "\n".join(f"  {line}" for line in error.errors), code=2
        ) from error
    log_buffer.start(settings["name"], settings.get("ring"))
    log_buffer.write_in_background()
    return settings


def run_daemon(daemon: collections.abc.Callable[[], None]) -> None:
    """Run a daemon; exit with its code, or with 4 if its data folder is not usable."""
    try:
        daemon()
    except serving.DaemonExit as end:
        raise cappa.Exit(str(end) or None, code=end.code) from end
    except disk_module.DiskError as error:
        raise cappa.Exit(f"data folder is not usable: {error}", code=4) from error
