"""One trial in a process of its own: `python -m tools.hollow.one MODULE TRIAL '{"words": 1}'`, its figures as JSON.

A "size" among the words is a hollow fleet's; what is left out of it is the design's.
"""

import importlib
import json
import os
import sys


def play(module, trial, words):
    found = importlib.import_module("tools.hollow." + module)
    if "size" in words:
        design = importlib.import_module("tools.hollow.design")
        words = {**words, "size": design.Size(**words["size"])}
    return getattr(found, trial)(**words)


if __name__ == "__main__":
    print(json.dumps(play(sys.argv[1], sys.argv[2], json.loads(sys.argv[3]))), flush=True)
    os._exit(0)  # a front's threads would wait for requests that never come
