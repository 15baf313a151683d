"""mothshed: the operator's command line.

Exit codes: 0 success; 1 the system refused or did not answer; 2 invalid input; 5 conflict with another change
(409); 6 outcome unknown, see the history.
"""

import dataclasses
import sys
import typing

import cappa

import mothshed.programs.logs as logs_module
import mothshed.programs.operate_configuration as operate_configuration
import mothshed.programs.operate_keys as operate_keys
import mothshed.programs.operator_client as operator_client


@cappa.command(name="condition", help="Shows the condition of a router or keeper by its HTTP address.")
@dataclasses.dataclass
class Condition:
    """Flags of `condition`."""

    address: str

    def __call__(self):
        status, answer = operator_client.first_answer([self.address], "GET", "/condition")
        operate_configuration.print_json(answer)
        if status != 200:
            raise cappa.Exit(code=1)


@cappa.command(name="logs", help="Prints the log files of several daemons, merged by time.")
@dataclasses.dataclass
class Logs:
    """Flags of `logs`."""

    files: typing.Annotated[
        list[str], cappa.Arg(required=True, num_args=-1, help="files that daemons wrote to their `ring` path")
    ]
    request: typing.Annotated[str, cappa.Arg(long=True, help="only rows of this request id")] = ""

    def __call__(self):
        try:
            rows, skipped = logs_module.read(self.files, self.request or None)
        except OSError as error:
            raise cappa.Exit(f"{error.filename}: {error.strerror}", code=2) from error
        for row in rows:
            print(logs_module.format_row(row))
        if skipped:
            print(f"{skipped} lines were not log rows and were skipped", file=sys.stderr)


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
    router: typing.Annotated[list[str], cappa.Arg(long=True, help="ip:port of a router's HTTP server")] = (
        dataclasses.field(default_factory=list)
    )
    set: typing.Annotated[list[str], cappa.Arg(long=True, help="name=value of a runbook parameter")] = (
        dataclasses.field(default_factory=list)
    )
    dry_run: typing.Annotated[
        bool, cappa.Arg(long=True, help="check the preconditions and print the steps without running them")
    ] = False

    def __call__(self):
        import tools.runbook as runbook  # imported only by the command that needs it

        malformed = [text for text in self.set if "=" not in text]
        if malformed:
            raise cappa.Exit(f"--set expects name=value, got {malformed[0]!r}", code=2)
        try:
            parameters = dict(text.split("=", 1) for text in self.set)
            run = runbook.Run(runbook.load(self.book), parameters, self.keeper, self.router, wait_for_manual_step)
            run.execute(self.dry_run)
        except runbook.RunbookError as error:
            raise cappa.Exit(str(error), code=2) from error
        except runbook.StepFailed as error:
            raise cappa.Exit(f"stopped: {error}", code=1) from error
        print("done" if not self.dry_run else "dry run: nothing was changed")


def wait_for_manual_step(text):
    """Print a manual step and wait until the operator confirms it."""
    input(f"       {text}\n       press Enter when it is done ")


@cappa.command(name="fleet", help="Starts a complete fleet on this machine, runs a limited load and prints a report.")
@dataclasses.dataclass
class Fleet:
    """Flags of `fleet`."""

    deployment: typing.Annotated[str, cappa.Arg(long=True, help="patinetes or tesfaye")] = "patinetes"
    seconds: typing.Annotated[float, cappa.Arg(long=True, help="duration of the load in seconds")] = 20.0
    rate: typing.Annotated[float, cappa.Arg(long=True, help="requests per second; 0: the rate of the deployment")] = 0.0
    faults: typing.Annotated[
        str, cappa.Arg(long=True, help="e.g. 4:kill_router,7:kill_owner,10:crash_replica,13:config")
    ] = ""
    folder: typing.Annotated[str, cappa.Arg(long=True, help="output folder; a temporary folder if empty")] = ""
    seed: typing.Annotated[int, cappa.Arg(long=True, help="random seed of the load")] = 1

    def __call__(self):
        import tools.fleet_run as fleet_run  # imported only by the command that needs it

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
