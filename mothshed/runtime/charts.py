"""State charts: read from files and interpreted here.

A chart file names its states, the first one, and for each event the states it
may come in and the state it leads to. Code holds a Chart and steps it; an event
that the file does not allow in the current state raises, so a wrong order of
steps fails loudly instead of passing by.

>>> chart = load("request")
>>> chart.step("admit"); chart.state
'admitted'
>>> chart.step("relay")
Traceback (most recent call last):
...
mothshed.runtime.charts.ChartError: request: no 'relay' in state 'admitted'
"""

import functools
import json
import pathlib


class ChartError(Exception):
    """An event that the chart does not allow."""


@functools.lru_cache
def load_definition(name):
    path = pathlib.Path(__file__).parent / "charts" / f"{name}.json"
    definition = json.loads(path.read_text())
    for event, transitions in definition["events"].items():
        for source, target in transitions.items():
            if source not in definition["states"] or target not in definition["states"]:
                raise ChartError(f"{name}: {event} names an unknown state")
    return definition


class Chart:
    def __init__(self, name):
        self.name = name
        self.definition = load_definition(name)
        self.state = self.definition["first"]

    def step(self, event):
        transitions = self.definition["events"].get(event, {})
        if self.state not in transitions:
            raise ChartError(f"{self.name}: no {event!r} in state {self.state!r}")
        self.state = transitions[self.state]


def load(name):
    return Chart(name)
