#!/bin/sh
# Builds the stand-ins of the scripts of the second review: modules of the standard library alone, compiled in place.
cd "$(dirname "$0")" || exit 1
python3 -m compileall -q harness_2.py [4-8]/*.py
