"""mothshed-keep: the keeper daemon, on machines with a disk."""

import dataclasses
import functools
import typing

import cappa

import mothshed.control_plane.keeper as keeper_module
import mothshed.programs.daemon_flags as daemon_flags
import mothshed.programs.daemon_signals as daemon_signals
import mothshed.programs.daemon_stop as daemon_stop
import mothshed.programs.serving as serving
import mothshed.runtime.log_buffer as log_buffer


@cappa.command(
    name="mothshed-keep",
    help="Stores the replicated state: the configuration and which leader controls which replicas. "
    "Example: mothshed-keep --settings keep.json --data /var/lib/mothshed",
)
@dataclasses.dataclass
class Keep(daemon_flags.DaemonFlags):
    """Flags of the keeper daemon; calling the instance runs the daemon."""

    def __call__(self):
        settings = daemon_flags.load_settings(self, keeper=True)
        daemon_flags.run_daemon(lambda: keep(settings))


def keep(settings: dict[str, typing.Any]) -> None:
    """Run a keeper until a signal stops it; raises serving.DaemonExit or DiskError."""
    new_environment = serving.environment_factory(settings)
    keeper = keeper_module.Keeper(new_environment(), settings, new_environment, serving.open_disk(settings["data"]))
    log_buffer.attach_journal(keeper.journal)
    daemon_signals.DAEMON_SIGNALS.install_stop(functools.partial(daemon_stop.begin, keeper))
    keeper.run()
    serving.serve(keeper.front(), keeper)


def main():
    """Run the command."""
    daemon_signals.DAEMON_SIGNALS.install_reload()
    cappa.invoke(Keep)


if __name__ == "__main__":
    main()
