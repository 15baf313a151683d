"""mothshed-keep: the keeper daemon, on machines with a disk."""

import dataclasses
import typing

import cappa

import mothshed.control_plane.keeper as keeper_module
import mothshed.programs.process as process
import mothshed.programs.serving as serving
import mothshed.runtime.log_buffer as log_buffer


@cappa.command(
    name="mothshed-keep",
    help="Keeps the agreed state: configuration and who orders which replica. "
    "Example: mothshed-keep --settings keep.json --data /var/lib/mothshed",
)
@dataclasses.dataclass
class Keep(process.Place):
    """The keeper daemon's flags; calling it runs the daemon."""

    def __call__(self):
        settings = process.load(self, keeper=True)
        process.run(lambda: keep(settings))


def keep(settings: dict[str, typing.Any]) -> None:
    """Run a keeper until it is asked to stop; raises serving.ProgramEnd or DiskError."""
    make = serving.environments(settings)
    keeper = keeper_module.Keeper(make(), settings, make, serving.open_disk(settings["data"]))
    log_buffer.attach_journal(keeper.journal)
    keeper.run()
    serving.serve(keeper.front(), keeper.drain)


def main():
    """Run the command."""
    cappa.invoke(Keep)


if __name__ == "__main__":
    main()
