"""Finds outages in the printed reports of the bench, including runs that broke no rule.

    python -m tools.outages REPORT.txt...

An outage is a window of the table "from second" in which less than two fifths of the requests were served,
most of the others were refused, and the control plane was settled throughout. Each outage is printed as a line:
report, second, asked, served, refused. The exit status is 1 if there is any outage.
"""

import argparse
import dataclasses
import pathlib
import re
import sys

MIN_SERVED_RATIO = 0.4  # of the requests of a window; a lower ratio is an outage
MIN_WINDOW_REQUESTS = 8  # windows with fewer requests are ignored
WINDOW_S = 2.0  # length of a window of the table
UNSETTLED = re.compile(r"^the core was not settled: (.*)$", re.MULTILINE)
ROWS = re.compile(r"^from second .*\n((?:\d.*\n)*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Window:
    """One row of the table: its first second and the outcomes of its requests."""

    second: float
    asked: int
    served: int
    refused: int

    def is_outage(self) -> bool:
        """Return whether few requests were served, mostly because of refusals and not of failures."""
        mostly_unserved = self.asked >= MIN_WINDOW_REQUESTS and self.served < MIN_SERVED_RATIO * self.asked
        return mostly_unserved and 2 * self.refused > self.asked - self.served


def unsettled_spans(report: str) -> list[tuple[float, float]]:
    """Return the times when the control plane was not settled, as (start, end) in seconds; an open end is inf.

    >>> unsettled_spans("the core was not settled: 4.5 to 7.500, 22.0 to -")
    [(4.5, 7.5), (22.0, inf)]
    """
    found = UNSETTLED.search(report)
    pairs = [part.split(" to ") for part in found[1].split(", ")] if found else []
    return [(float(start), float("inf") if end.strip() == "-" else float(end)) for start, end in pairs]


def parse_windows(report: str) -> list[Window]:
    """Parse the rows of the table "from second"; an empty list if the report has no such table."""
    table = ROWS.search(report)
    found = []
    for row in table[1].splitlines() if table else ():
        second, asked, in_aim, late, refused = row.split()[:5]
        found.append(Window(float(second), int(asked), int(in_aim) + int(late), int(refused)))
    return found


def find_outages(report: str) -> list[Window]:
    """Return the windows with an outage while the control plane was settled."""
    unsettled = unsettled_spans(report)
    return [
        window
        for window in parse_windows(report)
        if window.is_outage()
        and not any(start < window.second + WINDOW_S and window.second < end for start, end in unsettled)
    ]


def main() -> None:
    """Print the outages of the given reports."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    found = False
    for path in parser.parse_args().reports:
        for window in find_outages(path.read_text(errors="replace")):
            found = True
            print(f"{path} {window.second:g} s: {window.asked} asked, {window.served} served, {window.refused} refused")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
