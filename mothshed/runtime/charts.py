"""State machines that are defined in JSON files (state charts).

A chart file lists the states, the initial state and, for each event, the states in
which it is allowed and the state it leads to. Code creates a Chart and steps it. An
event that is not allowed in the current state raises ChartError, so that steps in a
wrong order are not missed.

>>> chart = load("request")
>>> chart.step("admit"); chart.state
'admitted'
>>> chart.step("relay")
Traceback (most recent call last):
...
mothshed.runtime.charts.ChartError: request: event 'relay' is not allowed in state 'admitted'
"""

import functools
import json
import pathlib


class ChartError(Exception):
    """An event that the chart does not allow in its current state."""


@functools.lru_cache
def load_definition(name):
    path = pathlib.Path(__file__).parent / "charts" / f"{name}.json"
    definition = json.loads(path.read_text())
    for event, transitions in definition["events"].items():
        for source, target in transitions.items():
            if source not in definition["states"] or target not in definition["states"]:
                raise ChartError(f"{name}: event {event!r} refers to an unknown state")
    return definition


class Chart:
    def __init__(self, name):
        self.name = name
        self.definition = load_definition(name)
        self.state = self.definition["first"]

    def step(self, event):
        transitions = self.definition["events"].get(event, {})
        if self.state not in transitions:
            raise ChartError(f"{self.name}: event {event!r} is not allowed in state {self.state!r}")
        self.state = transitions[self.state]


def load(name):
    return Chart(name)
