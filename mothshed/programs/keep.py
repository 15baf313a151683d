"""mothshed-keep: the keeper daemon, on machines with a disk."""

import dataclasses

import cappa

import mothshed.common.disk as disk_module
import mothshed.common.ring as ring
import mothshed.control_plane.keeper as keeper_module
import mothshed.programs.process as process


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
        make = process.desks(settings)
        try:
            keeper = keeper_module.Keeper(make(), settings, make, process.open_disk(settings["data"]))
        except disk_module.DiskFault as e:
            raise cappa.Exit(f"data folder is not usable: {e}", code=4) from e
        ring.hold(keeper.journal)
        keeper.ended = process.start_anew
        keeper.run()
        process.serve(keeper.front(), keeper.drain)


def main():
    """Run the command."""
    cappa.invoke(Keep)


if __name__ == "__main__":
    main()
