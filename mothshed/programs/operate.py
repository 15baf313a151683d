"""mothshed: the operator's command line.

Exit codes: 0 done; 1 the system answered no or not at all; 2 bad input;
5 somebody else's document came first (409); 6 not known, read the history.
"""

import dataclasses
import sys
import typing

import cappa

import mothshed.programs.ask as ask
import mothshed.programs.logs as logs_module
import mothshed.programs.operate_configuration as operate_configuration
import mothshed.programs.operate_keys as operate_keys


@cappa.command(name="condition", help="Shows the condition of a router or keeper by its HTTP address.")
@dataclasses.dataclass
class Condition:
    """Flags of `condition`."""

    address: str

    def __call__(self):
        status, said = ask.any_of([self.address], "GET", "/condition")
        operate_configuration.show(said)
        if status != 200:
            raise cappa.Exit(code=1)


@cappa.command(name="logs", help="Prints several daemons' log rings, merged by time.")
@dataclasses.dataclass
class Logs:
    """Flags of `logs`."""

    files: typing.Annotated[list[str], cappa.Arg(required=True, num_args=-1, help="what daemons wrote to their `ring`")]
    request: typing.Annotated[str, cappa.Arg(long=True, help="only what concerns this request id")] = ""

    def __call__(self):
        try:
            rows, over = logs_module.read(self.files, self.request or None)
        except OSError as e:
            raise cappa.Exit(f"{e.filename}: {e.strerror}", code=2) from e
        for row in rows:
            print(logs_module.line(row))
        if over:
            print(f"{over} lines were no log lines", file=sys.stderr)


@cappa.command(
    name="run",
    help="Runs a runbook: swap-keeper, recover-disk-machine, roll-out, roll-back, drain-router, "
    "replace-replica, diagnose-bounces, or a .yaml file.",
)
@dataclasses.dataclass
class RunBook:
    """Flags of `run`."""

    book: str
    keeper: operate_configuration.Keepers
    router: typing.Annotated[list[str], cappa.Arg(long=True, help="ip:port of a router's HTTP front")] = (
        dataclasses.field(default_factory=list)
    )
    set: typing.Annotated[list[str], cappa.Arg(long=True, help="name=value for what the runbook needs")] = (
        dataclasses.field(default_factory=list)
    )
    dry_run: typing.Annotated[
        bool, cappa.Arg(long=True, help="check the preconditions, show the steps, do nothing")
    ] = False

    def __call__(self):
        import tools.runbook as runbook  # a tool, only needed here

        wrong = [s for s in self.set if "=" not in s]
        if wrong:
            raise cappa.Exit(f"--set takes name=value, not {wrong[0]!r}", code=2)
        try:
            given = dict(s.split("=", 1) for s in self.set)
            run = runbook.Run(runbook.load(self.book), given, self.keeper, self.router, by_hand)
            run.execute(self.dry_run)
        except runbook.RunbookError as e:
            raise cappa.Exit(str(e), code=2) from e
        except runbook.StepFailed as e:
            raise cappa.Exit(f"stopped: {e}", code=1) from e
        print("done" if not self.dry_run else "dry run: nothing was done")


def by_hand(text):
    """Wait until the operator has done a step by hand."""
    input(f"       {text}\n       press Enter when it is done ")


@cappa.command(name="fleet", help="Starts a whole fleet on this machine, runs a bounded load, prints a report.")
@dataclasses.dataclass
class Fleet:
    """Flags of `fleet`."""

    deployment: typing.Annotated[str, cappa.Arg(long=True, help="patinetes or tesfaye")] = "patinetes"
    seconds: typing.Annotated[float, cappa.Arg(long=True, help="length of the load")] = 20.0
    rate: typing.Annotated[float, cappa.Arg(long=True, help="requests a second; 0: the deployment's own")] = 0.0
    faults: typing.Annotated[
        str, cappa.Arg(long=True, help="e.g. 4:kill_router,7:kill_owner,10:crash_replica,13:config")
    ] = ""
    folder: typing.Annotated[str, cappa.Arg(long=True, help="where to write; a temporary folder if empty")] = ""
    seed: typing.Annotated[int, cappa.Arg(long=True, help="seed of the load")] = 1

    def __call__(self):
        import tools.fleet_run as fleet_run  # a tool, only needed here

        raise cappa.Exit(code=fleet_run.main(self))


@cappa.command(name="mothshed", help="Operates a mothshed fleet.")
@dataclasses.dataclass
class Mothshed:
    """All commands."""

    command: cappa.Subcommands[operate_configuration.Config | operate_keys.Keys | Condition | Logs | RunBook | Fleet]


def main():
    """Run the command."""
    cappa.invoke(Mothshed)


if __name__ == "__main__":
    main()
