"""Slopes of each role, measured on this machine, and what they come to at the size to design for.

python -m tools.capacity                 all sweeps; figures and plots go to docs/capacity
python -m tools.capacity --only routers  one sweep, shown only
python -m tools.capacity --show          the kept figures again, nothing measured

Most of it is hollow: the product's own routers and keepers, hundreds in one process, on
a network in memory. Simulated seconds hold delays, not processor time; processor time
is this machine's, measured apart. Sockets, threads and idle memory are real processes'.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import typing

import cappa

import tools.hollow.fits as fits
import tools.hollow.sweeps as sweeps

FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "capacity"
LONGEST = 900  # s; a trial that takes longer is ended
JOBS_MOST = 6  # processes at once
PLOTTED = {
    "router: gossip processor",
    "keepers: configuration and agreement processor",
    "router: usage bytes got",
    "usage leader: processor a report",
    "configuration snapshot: bytes",
    "change: bytes the keepers send",
}


class TrialFailed(Exception):
    """A trial's process ended without figures."""


def trial(module, name, words):
    """One trial in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "tools.hollow.one", module, name, json.dumps(words)],
        capture_output=True,
        text=True,
        timeout=LONGEST,
        cwd=FOLDER.parent.parent,
    )
    if done.returncode:
        raise TrialFailed(f"{module} {name} {words}: {done.stderr[-400:]}")
    return json.loads(done.stdout)


def measure(table, jobs, out=print):
    """Map each sweep to its [[words, figures], ...]; the dearest trials begin first."""
    found = {sweep: [None] * len(rows) for sweep, (module, name, rows) in table.items()}
    todo = [
        (sweep, at, module, name, words)
        for sweep, (module, name, rows) in table.items()
        for at, words in reversed(list(enumerate(rows)))
    ]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        due = {pool.submit(trial, module, name, words): (sweep, at, words) for sweep, at, module, name, words in todo}
        for one in concurrent.futures.as_completed(due):
            sweep, at, words = due[one]
            found[sweep][at] = [words, one.result()]
            out(f"done: {sweep} {words}")
    return found


def slopes(found):
    """[(figure, sweep, unit, points, line)] for the sweeps that were measured."""
    rows = []
    for name, sweep, path, unit in sweeps.SLOPES:
        if sweep in found:
            points = sweeps.points(found, sweep, path)
            rows.append((name, sweep, unit, points, fits.line(points)))
    return rows


def show(found, out=print):
    for name, sweep, unit, points, line in slopes(found):
        said = "  ".join(f"{x:g}: {y:.4g}" for x, y in points)
        due = sweeps.DESIGN[sweep]
        out(
            f"{name} [{unit}] by {sweep}: at {due:g} {fits.at(line, due):.4g}, "
            f"slope {line['slope']:.4g}, constant {line['constant']:.4g}, "
            f"error {100 * line['error']:.1f} %, worst {100 * line['worst']:.1f} %   ({said})"
        )
    for sweep in ("idle", "cuts"):
        for words, said in found.get(sweep, []):
            rounded = {k: round(v, 3) if isinstance(v, float) else v for k, v in said.items()}
            out(f"{sweep} {json.dumps(words)}: {json.dumps(rounded)}")


def draw(found):
    for name, sweep, unit, points, line in slopes(found):
        if name in PLOTTED:
            stem = f"{name} by {sweep}".replace(":", "").replace(" ", "-").replace("'", "")
            fits.plot(FOLDER / f"{stem}.svg", name, sweep, unit, points, line)


@cappa.command(
    name="capacity", help="Measures what each role spends by size. Example: python -m tools.capacity --jobs 4"
)
@dataclasses.dataclass
class Capacity:
    only: typing.Annotated[list[str], cappa.Arg(long=True, help=f"a sweep: {', '.join(sweeps.FULL)}")] = (
        dataclasses.field(default_factory=list)
    )
    jobs: typing.Annotated[int, cappa.Arg(long=True, help=f"processes at once, at most {JOBS_MOST}")] = 4
    small: typing.Annotated[bool, cappa.Arg(long=True, help="the sizes of the test; nothing is kept")] = False
    kept: typing.Annotated[bool, cappa.Arg(long="show", help="shows the kept figures, measures nothing")] = False

    def __call__(self):
        table = sweeps.SMALL if self.small else sweeps.FULL
        unknown = [name for name in self.only if name not in table]
        if unknown:
            raise cappa.Exit(f"--only: no sweep is named {', '.join(unknown)}", code=2)
        if not 1 <= self.jobs <= JOBS_MOST:
            raise cappa.Exit(f"--jobs: {self.jobs} is not 1 to {JOBS_MOST}", code=2)
        if self.kept:
            show(json.loads((FOLDER / "figures.json").read_text()))
            return
        try:
            found = measure({k: v for k, v in table.items() if not self.only or k in self.only}, self.jobs)
        except (TrialFailed, subprocess.TimeoutExpired) as e:
            raise cappa.Exit(str(e), code=1) from e
        show(found)
        if not self.small and not self.only:
            FOLDER.mkdir(exist_ok=True)
            (FOLDER / "figures.json").write_text(json.dumps(found, indent=1) + "\n")
            draw(found)


def main():
    cappa.invoke(Capacity)


if __name__ == "__main__":
    main()
