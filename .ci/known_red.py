"""Passes over the tests that KNOWN-RED.txt names, and prints them; a pytest plugin.

A line reads `test id, cause, issue`. A test id is one as pytest prints it; without its
[parameters] it stands for all of that test's. --deselect would take every id that only
begins alike, so ids are compared whole here. A line that is not in three parts, or whose
test is not among those collected from its file, ends the run: such a list is mended, not
believed. A missing or empty file changes nothing.
"""

import pathlib
import re

import pytest

LINE = re.compile(r"(?P<test>[^,\[]+::[^,\[]+(?:\[.*?\])?),\s*(?P<cause>.*\S)\s*,\s*(?P<issue>[^,]*\S)\s*")


class ListFault(Exception):
    """A list of known red tests that can't be read."""


def rows(text):
    r"""Map each test id to its cause and issue.

    >>> rows("tests/a.py::test_x[1, 2], late, by 3 s, issue 4\n\n")
    {'tests/a.py::test_x[1, 2]': ('late, by 3 s', 'issue 4')}
    """
    found = {}
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            match = LINE.fullmatch(line.strip())
            if not match or match["test"] in found:
                raise ListFault(f"KNOWN-RED.txt:{number}: expected one `test id, cause, issue`, got {line!r}")
            found[match["test"]] = (match["cause"], match["issue"])
    return found


def listed(config):
    """Read the list at the root, if there is one."""
    path = pathlib.Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        return rows(path.read_text() if path.exists() else "")
    except ListFault as e:
        raise pytest.UsageError(str(e)) from e


def pytest_collection_modifyitems(config, items):
    """Take the listed tests out of the run; end it where the list names none of ours."""
    known, seen, rest, out = listed(config), set(), [], []
    for item in items:
        names = {item.nodeid, item.nodeid.partition("[")[0]} & set(known)
        seen |= names
        (out if names else rest).append(item)
    files = {item.nodeid.partition("::")[0] for item in items}
    unknown = [
        test
        for test in known
        if test not in seen
        and (test.partition("::")[0] in files or not (config.rootpath / test.partition("::")[0]).exists())
    ]
    if unknown:
        raise pytest.UsageError("KNOWN-RED.txt names no test of ours: " + ", ".join(unknown))
    if out:
        config.hook.pytest_deselected(items=out)
        items[:] = rest
    config.stash[PASSED_OVER] = [
        (item.nodeid, known.get(item.nodeid) or known[item.nodeid.partition("[")[0]]) for item in out
    ]


PASSED_OVER = pytest.StashKey()


def pytest_terminal_summary(terminalreporter, config):
    """Print each test that was passed over, with its cause and issue."""
    for test, (cause, issue) in config.stash.get(PASSED_OVER, []):
        terminalreporter.write_line(f"KNOWN RED, passed over: {test} ({cause}; {issue})")
