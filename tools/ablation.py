"""Measures what each mechanism adds to the worth, by running the code with that mechanism disabled.

Each mechanism is disabled alone, in a scratch copy, and compared with the full code on the same runs.

    python -m tools.ablation --bench FLEETBENCH --scratch FOLDER --play SITE.toml=DAY[:SEED],... [--small]
        [--only NAME ...] [--jobs N] [--table ABLATION.md] [--picture ABLATION.svg]

The scratch folder must not be under /tmp, because the processes of a run have a /tmp of their own. Every run adds
an entry to the journal/ of its copy. What a mechanism adds is the worth of the full code minus the worth without
the mechanism, averaged over the runs; the spread is the largest of these differences minus the smallest.
A difference below 0.03 is noise.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import shutil
import statistics
import subprocess
import sys

import tools.mechanisms as mechanisms

ROOT = pathlib.Path(__file__).resolve().parent.parent
BASELINE = "the full code"
BAR_HEIGHT, LEFT, WIDTH = 18, 300, 760  # pixels of the picture


@dataclasses.dataclass(frozen=True)
class Run:
    """One scenario of one deployment, with one seed."""

    deployment: pathlib.Path
    day: str
    seed: str  # "" for the default seed of the scenario

    def label(self) -> str:
        """Return a short name for tables and file names."""
        return f"{self.deployment.stem} {self.day}" + (f" {self.seed}" if self.seed else "")


@dataclasses.dataclass(frozen=True)
class Options:
    """Options that all runs share."""

    bench: pathlib.Path
    scratch: pathlib.Path
    small: bool


def parse_runs(text: str) -> list[Run]:
    """Parse SITE=DAY[:SEED],... from a command-line argument; raises ValueError.

    >>> [(run.day, run.seed) for run in parse_runs("a.toml=quiet-1,trouble-1:7")]
    [('quiet-1', ''), ('trouble-1', '7')]
    """
    deployment, equals, days = text.partition("=")
    if not (deployment and equals and days):
        raise ValueError(f"{text!r} is not SITE=DAY[:SEED],...")
    return [Run(pathlib.Path(deployment).resolve(), *day.partition(":")[::2]) for day in days.split(",")]


def copy_tree(target: pathlib.Path) -> None:
    """Copy the tracked files except the journal, and the dependencies of an earlier build in target/deps."""
    tracked = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True, text=True).stdout
    for name in tracked.split("\0"):
        if name and not name.startswith("journal/") and (ROOT / name).is_file():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, target / name)
    (target / "journal").mkdir(exist_ok=True)
    if (ROOT / "target" / "deps").is_dir():
        shutil.copytree(ROOT / "target" / "deps", target / "target" / "deps", dirs_exist_ok=True)


def prepare(name: str, options: Options) -> pathlib.Path:
    """Build a copy of the code, with the named mechanism disabled unless name is BASELINE; return its folder."""
    target = options.scratch / name.replace(" ", "-")
    copy_tree(target)
    if name != BASELINE:
        mechanisms.MECHANISMS[name].switch_off(target)
    for arguments in (
        ["init", "-q"],
        ["add", "-A"],
        ["-c", "user.name=a", "-c", "user.email=a@b", "commit", "-qm", name],
    ):
        subprocess.run(["git", *arguments], cwd=target, check=False, capture_output=True)
    subprocess.run([options.bench, "build"], cwd=target, check=True, capture_output=True)
    return target


def run_once(name: str, folder: pathlib.Path, run: Run, options: Options) -> float | None:
    """Return the worth of one run: None if it wrote no report, 0 if it broke a rule."""
    report = folder / f"report {run.label()}.json"
    arguments = [str(options.bench), "run", str(run.deployment), run.day, "--report", str(report)]
    arguments += ["--seed", run.seed] if run.seed else []
    arguments += ["--small"] if options.small else []
    arguments += ["--why", f"ablation, without: {name}" if name != BASELINE else f"ablation: {BASELINE}"]
    subprocess.run(arguments, cwd=folder, check=False, capture_output=True)
    try:
        result = json.loads(report.read_text())
    except (OSError, ValueError):
        return None
    return 0.0 if result["breaks"] else float(result["G"])


@dataclasses.dataclass(frozen=True)
class Row:
    """What one mechanism adds in each run that has a result both with and without it."""

    name: str
    differences: dict[str, float]  # by the label of the run

    def mean(self) -> float:
        """Return the mean difference over the runs; 0 if there is none."""
        return statistics.fmean(self.differences.values()) if self.differences else 0.0

    def spread(self) -> float:
        """Return the largest difference minus the smallest."""
        return max(self.differences.values()) - min(self.differences.values()) if self.differences else 0.0


def summarize(worths: dict[tuple[str, str], float | None], runs: list[Run]) -> list[Row]:
    """Return a row for each mechanism, the largest mean difference first."""
    rows = []
    for name in sorted({name for name, _label in worths} - {BASELINE}):
        differences = {}
        for label in (run.label() for run in runs):
            baseline, without = worths.get((BASELINE, label)), worths.get((name, label))
            if baseline is not None and without is not None:
                differences[label] = baseline - without
        rows.append(Row(name, differences))
    return sorted(rows, key=lambda row: -row.mean())


def format_table(rows: list[Row], worths: dict[tuple[str, str], float | None], runs: list[Run]) -> str:
    """Return a Markdown table: the worth of the full code, then what each mechanism adds to it."""
    labels = [run.label() for run in runs]
    lines = [f"| switched off | mean | spread | {' | '.join(labels)} |", "|---" * (len(labels) + 3) + "|"]
    baseline = [worths.get((BASELINE, label)) for label in labels]
    lines.append(
        f"| ({BASELINE}: worth) | | | "
        + " | ".join("-" if worth is None else f"{worth:.3f}" for worth in baseline)
        + " |"
    )
    for row in rows:
        values = [f"{row.differences[label]:+.3f}" if label in row.differences else "-" for label in labels]
        lines.append(f"| {row.name} | {row.mean():+.3f} | {row.spread():.3f} | {' | '.join(values)} |")
    return "\n".join(lines) + "\n"


def render_svg(rows: list[Row]) -> str:
    """Return an SVG with a bar for each mechanism: green if it adds worth, red if it costs worth."""
    peak = max([abs(row.mean()) for row in rows] + [0.01])
    middle, reach = LEFT + 120, WIDTH - LEFT - 180
    height = BAR_HEIGHT * (len(rows) + 1)
    shapes = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" font-size="12">']
    for index, row in enumerate(rows):
        top, length = index * BAR_HEIGHT + 4, abs(row.mean()) / peak * reach
        start = middle if row.mean() >= 0 else middle - min(length, 110)
        colour = "#4c9a5f" if row.mean() >= 0 else "#a03040"
        shapes.append(f'<text x="4" y="{top + 12}">{row.name}</text>')
        shapes.append(
            f'<rect x="{start:.1f}" y="{top}" width="{length:.1f}" height="{BAR_HEIGHT - 4}" fill="{colour}"/>'
        )
        shapes.append(
            f'<text x="{middle + max(0.0, row.mean()) / peak * reach + 4:.1f}" y="{top + 12}">{row.mean():+.3f}</text>'
        )
    return "\n".join([*shapes, "</svg>"]) + "\n"


def measure_all(names: list[str], runs: list[Run], options: Options, jobs: int) -> dict[tuple[str, str], float | None]:
    """Return the worth of every run by variant and run label."""
    folders = {name: prepare(name, options) for name in names}
    worths: dict[tuple[str, str], float | None] = {}
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        pending = {
            pool.submit(run_once, name, folders[name], run, options): (name, run.label())
            for run in runs
            for name in names
        }
        for future in concurrent.futures.as_completed(pending):
            worths[pending[future]] = future.result()
            print(*pending[future], worths[pending[future]], flush=True)
    return worths


def main() -> int:
    """Run all variants and write the table; return 1 if a run gave no result."""
    parser = argparse.ArgumentParser(description="measure what each mechanism adds to the worth")
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument("--scratch", type=pathlib.Path, required=True)
    parser.add_argument("--play", action="append", required=True, help="SITE.toml=DAY[:SEED],...")
    parser.add_argument("--small", action="store_true", help="run the small versions of large scenarios")
    parser.add_argument("--only", action="append", choices=list(mechanisms.MECHANISMS))
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--table", type=pathlib.Path)
    parser.add_argument("--picture", type=pathlib.Path)
    args = parser.parse_args()
    try:
        runs = [run for text in args.play for run in parse_runs(text)]
    except ValueError as error:
        parser.error(str(error))
    if args.jobs < 1:
        parser.error("--jobs: expected at least one")
    options = Options(args.bench.resolve(), args.scratch.resolve(), args.small)
    worths = measure_all([BASELINE, *(args.only or mechanisms.MECHANISMS)], runs, options, args.jobs)
    rows = summarize(worths, runs)
    text = format_table(rows, worths, runs)
    print(text)
    if args.table:
        args.table.write_text(text)
    if args.picture:
        args.picture.write_text(render_svg(rows))
    return int(None in worths.values())


if __name__ == "__main__":
    sys.exit(main())
