"""Runs a small fleet of real processes for the duration of a with block."""

import contextlib

import tools.fleet as fleet_module


@contextlib.contextmanager
def serving(folder, machines, replicas):
    fleet = fleet_module.Fleet(folder, "patinetes", machines=machines, replicas=replicas)
    try:
        fleet.start()
        assert fleet.apply(0, fleet_module.document("patinetes"), "first")[0] == 0
        fleet.wait_serving()
        yield fleet
    finally:
        fleet.stop()
