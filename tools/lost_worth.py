"""Shows where a run lost worth: by kind of request, time, reason and price, from the report of the bench.

    python -m tools.lost_worth REPORT.json [--log LOG.txt] [--picture DAY.svg]

REPORT.json is what `fleetbench run ... --report` writes. With --log, the output of the same run under `--log all`,
the counters of the routers are summed: refusals by reason, late answers by the slowest stage, failed sends by
cause. The picture shows how the requests of every two seconds ended.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import re
import typing

COUNTERS = re.compile(r'\{.*"message_type": ?"counters".*\}')
REASONS = ("refusal_", "late_", "send_failed_", "delivery_")  # prefixes of the counters that give a reason
MIN_LISTED_PRICE = 0.002  # worth; lower prices are not listed
WIDTH, HEIGHT, MARGIN = 720, 220, 40  # pixels of the picture
COLOURS = {"in aim": "#4c9a5f", "late": "#e0b040", "refused": "#c96a3b", "failed": "#a03040"}

Report = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Group:
    """Outcomes of the requests of one kind or of one time window."""

    name: str
    request_count: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float

    def lost(self) -> float:
        """Return the lost worth; each request is worth at most 1."""
        return self.request_count * (1 - self.worth)

    def outcome_counts(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        return {"in aim": self.in_aim, "late": self.late, "refused": self.refused, "failed": self.failed}


def parse_groups(rows: list[dict[str, typing.Any]]) -> list[Group]:
    """Parse the rows of a table of the report; rows without requests are left out."""
    return [
        Group(row["name"], row["n"], row["in_aim"], row["late"], row["refused"], row["failed"], row["worth"])
        for row in rows
        if row["n"]
    ]


def sum_counters(log: str) -> collections.Counter[str]:
    """Sum the counters that give a reason over all processes and log lines."""
    total: collections.Counter[str] = collections.Counter()
    for line in COUNTERS.findall(log):
        try:
            record = json.loads(line)
        except ValueError:
            continue
        total.update(
            {name: count for name, count in record.items() if name.startswith(REASONS) and isinstance(count, int)}
        )
    return total


def format_table(title: str, rows: list[Group]) -> list[str]:
    """Return the lines of a table, the group with the largest loss first."""
    total_loss = sum(row.lost() for row in rows) or 1.0
    lines = [f"{title:<18} asked  in aim    late refused  failed   worth  share of loss"]
    for row in sorted(rows, key=lambda row: -row.lost()):
        lines.append(
            f"{row.name:<18} {row.request_count:5} {row.in_aim:7} {row.late:7} {row.refused:7} {row.failed:7} "
            f"{row.worth:7.3f}  {row.lost() / total_loss:6.1%}"
        )
    return lines


def format_account(report: Report, log: str = "") -> list[str]:
    """Return all lines of the account of one run."""
    lines = [f"worth {report['G']:.3f}: " + ", ".join(f"{name} {worth:.3f}" for name, _, worth in report["parts"])]
    lines += ["", *format_table("kind", parse_groups(report["classes"]))]
    lines += ["", *format_table("from second", parse_groups(report["windows"]))[:9], "", "not served, by the last try:"]
    lines += [f"  {count:6} {reason}" for reason, count, _example in report["unserved_by"]]
    prices = sorted(report["prices"], key=lambda row: -row[2])
    lines += ["", "prices:"] + [f"  {price:.4f} {name}" for name, _, price in prices if price >= MIN_LISTED_PRICE]
    totals = sum_counters(log)
    if totals:
        lines += ["", "the routers' own counters:"] + [f"  {count:6} {name}" for name, count in totals.most_common()]
    return lines


def render_svg(report: Report) -> str:
    """Return an SVG with one bar of outcomes for each time window."""
    rows = parse_groups(report["windows"])
    largest = max((row.request_count for row in rows), default=1)
    step = (WIDTH - 2 * MARGIN) / max(1, len(rows))
    shapes = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-size="11">']
    for index, row in enumerate(rows):
        left, bottom = MARGIN + index * step, float(HEIGHT - MARGIN)
        for outcome, count in row.outcome_counts().items():
            height = count / largest * (HEIGHT - 2 * MARGIN)
            bottom -= height
            shapes.append(
                f'<rect x="{left:.1f}" y="{bottom:.1f}" width="{step * 0.85:.1f}" height="{height:.1f}" '
                f'fill="{COLOURS[outcome]}"/>'
            )
        if index % 5 == 0:
            shapes.append(f'<text x="{left:.1f}" y="{HEIGHT - MARGIN + 14}">{row.name} s</text>')
    for index, (outcome, colour) in enumerate(COLOURS.items()):
        shapes.append(f'<rect x="{MARGIN + index * 90}" y="8" width="10" height="10" fill="{colour}"/>')
        shapes.append(f'<text x="{MARGIN + index * 90 + 14}" y="17">{outcome}</text>')
    return "\n".join([*shapes, "</svg>"]) + "\n"


def main() -> None:
    """Print the account of the report and write the picture."""
    parser = argparse.ArgumentParser(description="show where a run lost worth")
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("--log", type=pathlib.Path, help="output of the run under --log all")
    parser.add_argument("--picture", type=pathlib.Path, help="where to write an SVG")
    args = parser.parse_args()
    try:
        report = json.loads(args.report.read_text())
        log = args.log.read_text() if args.log else ""
    except (OSError, ValueError) as error:
        parser.error(str(error))
    print("\n".join(format_account(report, log)))
    if args.picture:
        args.picture.write_text(render_svg(report))


if __name__ == "__main__":
    main()
