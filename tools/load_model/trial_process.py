"""Runs one trial in its own process and prints its figures as JSON.

    python -m tools.load_model.trial_process MODULE TRIAL '{"argument": 1}'

The argument "size" holds fields of design.Size; fields that are left out have the values of the design.
"""

import importlib
import json
import os
import sys


def run(module, trial, arguments):
    trials = importlib.import_module("tools.load_model." + module)
    if "size" in arguments:
        design = importlib.import_module("tools.load_model.design")
        arguments = {**arguments, "size": design.Size(**arguments["size"])}
    return getattr(trials, trial)(**arguments)


if __name__ == "__main__":
    print(json.dumps(run(sys.argv[1], sys.argv[2], json.loads(sys.argv[3]))), flush=True)
    os._exit(0)  # the threads of a front would wait for requests forever
