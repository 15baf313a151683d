"""Pytest plugin that deselects the tests listed in KNOWN-RED.txt and prints them after the run.

Each line has the form `test id, cause, issue`. The test id is the one that pytest prints; without
[parameters] it covers every parameter set of that test. The plugin compares whole ids, because
--deselect matches by prefix. The run ends with a usage error if a line does not have three parts, an
id occurs twice, a test is not among those collected from its file, or its test file does not exist. A
missing or empty list has no effect.
"""

import pathlib
import re

import pytest

LINE = re.compile(r"(?P<test>[^,\[]+::[^,\[]+(?:\[.*?\])?),\s*(?P<cause>.*\S)\s*,\s*(?P<issue>[^,]*\S)\s*")


class KnownRedFormatError(Exception):
    """KNOWN-RED.txt has a malformed line or a duplicate test id."""


def parse_entries(text):
    r"""Map each test id to its cause and issue.

    >>> parse_entries("tests/a.py::test_x[1, 2], late, by 3 s, issue 4\n\n")
    {'tests/a.py::test_x[1, 2]': ('late, by 3 s', 'issue 4')}
    """
    entries = {}
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            match = LINE.fullmatch(line.strip())
            if not match or match["test"] in entries:
                raise KnownRedFormatError(f"KNOWN-RED.txt:{number}: expected one `test id, cause, issue`, got {line!r}")
            entries[match["test"]] = (match["cause"], match["issue"])
    return entries


def read_known_red(config):
    """Read KNOWN-RED.txt from the root folder of the test run; a missing file counts as empty."""
    path = pathlib.Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        return parse_entries(path.read_text() if path.exists() else "")
    except KnownRedFormatError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(config, items):
    """Deselect the listed tests; raise a usage error if a listed test does not exist."""
    known, matched, selected, deselected = read_known_red(config), set(), [], []
    for item in items:
        names = {item.nodeid, item.nodeid.partition("[")[0]} & set(known)
        matched |= names
        (deselected if names else selected).append(item)
    files = {item.nodeid.partition("::")[0] for item in items}
    unknown = [
        test
        for test in known
        if test not in matched
        and (test.partition("::")[0] in files or not (config.rootpath / test.partition("::")[0]).exists())
    ]
    if unknown:
        raise pytest.UsageError("KNOWN-RED.txt names no test of ours: " + ", ".join(unknown))
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = selected
    config.stash[DESELECTED_TESTS] = [
        (item.nodeid, known.get(item.nodeid) or known[item.nodeid.partition("[")[0]]) for item in deselected
    ]


DESELECTED_TESTS = pytest.StashKey()


def pytest_terminal_summary(terminalreporter, config):
    """Print each deselected test with its cause and issue."""
    for test, (cause, issue) in config.stash.get(DESELECTED_TESTS, []):
        terminalreporter.write_line(f"KNOWN RED, passed over: {test} ({cause}; {issue})")
