"""State charts: read from files and interpreted here.

A chart file names its states, the first one, and for each event the states it
may come in and the state it leads to. Code holds a Chart and steps it; an event
that the file does not allow in the current state raises, so a wrong order of
steps fails loudly instead of passing by.

>>> c = load("request")
>>> c.step("admit"); c.state
'admitted'
>>> c.step("relay")
Traceback (most recent call last):
...
mothshed.runtime.charts.ChartFault: request: no 'relay' in state 'admitted'
"""

import functools
import json
import pathlib


class ChartFault(Exception):
    """An event that the chart does not allow."""


@functools.lru_cache
def table(name):
    path = pathlib.Path(__file__).parent / "charts" / f"{name}.json"
    data = json.loads(path.read_text())
    for event, moves in data["events"].items():
        for here, there in moves.items():
            if here not in data["states"] or there not in data["states"]:
                raise ChartFault(f"{name}: {event} names an unknown state")
    return data


class Chart:
    def __init__(self, name):
        self.name = name
        self.data = table(name)
        self.state = self.data["first"]

    def step(self, event):
        moves = self.data["events"].get(event, {})
        if self.state not in moves:
            raise ChartFault(f"{self.name}: no {event!r} in state {self.state!r}")
        self.state = moves[self.state]


def load(name):
    return Chart(name)
