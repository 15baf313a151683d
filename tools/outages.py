"""Finds seconds without service in the bench's printed reports of played days, also where no rule broke.

    python -m tools.outages REPORT.txt...

An outage is a window of the table "from second" in which under two fifths of the requests were served,
most of the others were refused, and the core was settled all the while. Each is a line: report, second,
asked, served, refused. Exit status 1 if there is one: a day may keep every rule and still have one.
"""

import argparse
import dataclasses
import pathlib
import re
import sys

MIN_SERVED_RATIO = 0.4  # share of a window's requests; below it the window is an outage
MIN_WINDOW_REQUESTS = 8  # requests; a window with fewer says nothing
WINDOW_S = 2.0  # s; how long a window of the table is
UNSETTLED = re.compile(r"^the core was not settled: (.*)$", re.MULTILINE)
ROWS = re.compile(r"^from second .*\n((?:\d.*\n)*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Window:
    """One row of the table: its first second and how its requests ended."""

    second: float
    asked: int
    served: int
    refused: int

    def is_outage(self) -> bool:
        """Whether hardly anybody was served, by refusals and not by lateness or failures."""
        mostly_unserved = self.asked >= MIN_WINDOW_REQUESTS and self.served < MIN_SERVED_RATIO * self.asked
        return mostly_unserved and 2 * self.refused > self.asked - self.served


def unsettled_spans(report: str) -> list[tuple[float, float]]:
    """When the core was not settled, as (from, to) in seconds; an open end is infinity.

    >>> unsettled_spans("the core was not settled: 4.5 to 7.500, 22.0 to -")
    [(4.5, 7.5), (22.0, inf)]
    """
    found = UNSETTLED.search(report)
    pairs = [part.split(" to ") for part in found[1].split(", ")] if found else []
    return [(float(start), float("inf") if end.strip() == "-" else float(end)) for start, end in pairs]


def parse_windows(report: str) -> list[Window]:
    """The rows of the table by seconds; none if the report has no such table."""
    table = ROWS.search(report)
    found = []
    for row in table[1].splitlines() if table else ():
        second, asked, in_aim, late, refused = row.split()[:5]
        found.append(Window(float(second), int(asked), int(in_aim) + int(late), int(refused)))
    return found


def find_outages(report: str) -> list[Window]:
    """The windows without service while the core was settled."""
    unsettled = unsettled_spans(report)
    return [
        window
        for window in parse_windows(report)
        if window.is_outage()
        and not any(start < window.second + WINDOW_S and window.second < end for start, end in unsettled)
    ]


def main() -> None:
    """Print the outages of all the reports that are named."""
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
