"""Measures how the cost of each role grows with size, and extrapolates it to the design size.

python -m tools.capacity                 all sweeps; writes figures and plots to docs/capacity
python -m tools.capacity --only routers  one sweep, printed only
python -m tools.capacity --show          prints the stored figures, measures nothing

Most sweeps use tools/load_model: the real code of routers and keepers, hundreds of them in one process, on an
in-memory network. Simulated seconds include delays but no processor time; processor time is measured
separately, on this machine. Sockets, threads and idle memory are measured on real processes.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import typing

import cappa

import tools.load_model.fits as fits
import tools.load_model.sweeps as sweeps

RESULTS_FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "capacity"
TRIAL_TIMEOUT_S = 900  # longer trials are stopped
MAX_JOBS = 6  # concurrent processes
PLOTTED_FIGURES = {
    "router: gossip processor",
    "keepers: configuration and agreement processor",
    "router: usage bytes got",
    "usage leader: processor a report",
    "configuration snapshot: bytes",
    "change: bytes the keepers send",
}


class TrialError(Exception):
    """The process of a trial ended without figures."""


def run_trial(module, name, arguments):
    """Run one trial in its own process and return its figures."""
    process = subprocess.run(
        [sys.executable, "-m", "tools.load_model.trial_process", module, name, json.dumps(arguments)],
        capture_output=True,
        text=True,
        timeout=TRIAL_TIMEOUT_S,
        cwd=RESULTS_FOLDER.parent.parent,
    )
    if process.returncode:
        raise TrialError(f"{module} {name} {arguments}: {process.stderr[-400:]}")
    return json.loads(process.stdout)


def run_sweeps(table, jobs, output=print):
    """Run all trials; return {sweep: [[arguments, figures], ...]}. The largest sizes of a sweep start first."""
    results = {sweep: [None] * len(rows) for sweep, (module, name, rows) in table.items()}
    trials = [
        (sweep, index, module, name, arguments)
        for sweep, (module, name, rows) in table.items()
        for index, arguments in reversed(list(enumerate(rows)))
    ]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        pending = {
            pool.submit(run_trial, module, name, arguments): (sweep, index, arguments)
            for sweep, index, module, name, arguments in trials
        }
        for future in concurrent.futures.as_completed(pending):
            sweep, index, arguments = pending[future]
            results[sweep][index] = [arguments, future.result()]
            output(f"done: {sweep} {arguments}")
    return results


def fit_slopes(results):
    """Return [(figure, sweep, unit, points, line)] for the sweeps that were measured."""
    rows = []
    for name, sweep, path, unit in sweeps.SLOPES:
        if sweep in results:
            points = sweeps.points(results, sweep, path)
            rows.append((name, sweep, unit, points, fits.line(points)))
    return rows


def print_results(results, output=print):
    for name, sweep, unit, points, line in fit_slopes(results):
        measured = "  ".join(f"{size:g}: {figure:.4g}" for size, figure in points)
        design_size = sweeps.DESIGN[sweep]
        output(
            f"{name} [{unit}] by {sweep}: at {design_size:g} {fits.value_at(line, design_size):.4g}, "
            f"slope {line['slope']:.4g}, constant {line['constant']:.4g}, "
            f"error {100 * line['error']:.1f} %, worst {100 * line['worst']:.1f} %   ({measured})"
        )
    for sweep in ("idle", "cuts"):
        for arguments, figures in results.get(sweep, []):
            rounded = {key: round(value, 3) if isinstance(value, float) else value for key, value in figures.items()}
            output(f"{sweep} {json.dumps(arguments)}: {json.dumps(rounded)}")


def plot_results(results):
    for name, sweep, unit, points, line in fit_slopes(results):
        if name in PLOTTED_FIGURES:
            stem = f"{name} by {sweep}".replace(":", "").replace(" ", "-").replace("'", "")
            fits.plot(RESULTS_FOLDER / f"{stem}.svg", name, sweep, unit, points, line)


@cappa.command(
    name="capacity", help="Measures the cost of each role by size. Example: python -m tools.capacity --jobs 4"
)
@dataclasses.dataclass
class Capacity:
    only: typing.Annotated[list[str], cappa.Arg(long=True, help=f"a sweep: {', '.join(sweeps.FULL)}")] = (
        dataclasses.field(default_factory=list)
    )
    jobs: typing.Annotated[int, cappa.Arg(long=True, help=f"concurrent processes, at most {MAX_JOBS}")] = 4
    small: typing.Annotated[bool, cappa.Arg(long=True, help="use the sizes of the test; stores nothing")] = False
    show_stored: typing.Annotated[bool, cappa.Arg(long="show", help="print the stored figures, measure nothing")] = (
        False
    )

    def __call__(self):
        table = sweeps.SMALL if self.small else sweeps.FULL
        unknown = [name for name in self.only if name not in table]
        if unknown:
            raise cappa.Exit(f"--only: no sweep is named {', '.join(unknown)}", code=2)
        if not 1 <= self.jobs <= MAX_JOBS:
            raise cappa.Exit(f"--jobs: {self.jobs} is not 1 to {MAX_JOBS}", code=2)
        if self.show_stored:
            print_results(json.loads((RESULTS_FOLDER / "figures.json").read_text()))
            return
        try:
            results = run_sweeps(
                {key: value for key, value in table.items() if not self.only or key in self.only}, self.jobs
            )
        except (TrialError, subprocess.TimeoutExpired) as error:
            raise cappa.Exit(str(error), code=1) from error
        print_results(results)
        if not self.small and not self.only:
            RESULTS_FOLDER.mkdir(exist_ok=True)
            (RESULTS_FOLDER / "figures.json").write_text(json.dumps(results, indent=1) + "\n")
            plot_results(results)


def main():
    cappa.invoke(Capacity)


if __name__ == "__main__":
    main()
