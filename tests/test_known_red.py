"""KNOWN-RED.txt: CI passes over just the tests it names and prints them, and fails on all else."""

import os
import pathlib
import subprocess
import sys

import pytest

CI = pathlib.Path(__file__).parent.parent / ".ci"
TESTS = """
import pytest

def test_red():
    assert False

def test_red_too():
    assert {other}

@pytest.mark.parametrize("n", ["a", "b, c"])
def test_each(n):
    assert n == "a"
"""
BOTH = "test_it.py::test_red, broken, by a fault, issue 7\ntest_it.py::test_each[b, c], late, issue 8\n"


def play(folder, listed=None, other="True"):
    (folder / "test_it.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(CI)},
    )
    return done.returncode, done.stdout + done.stderr


def test_listed_tests_are_passed_over_and_printed(tmp_path):
    code, said = play(tmp_path, BOTH)
    assert code == 0 and "2 passed, 2 deselected" in said
    assert "passed over: test_it.py::test_red (broken, by a fault; issue 7)" in said
    assert "passed over: test_it.py::test_each[b, c] (late; issue 8)" in said


def test_a_test_whose_name_only_begins_alike_still_counts(tmp_path):
    code, said = play(tmp_path, BOTH, other="False")
    assert code == 1 and "FAILED test_it.py::test_red_too" in said and "1 failed, 1 passed, 2 deselected" in said


def test_a_name_without_parameters_stands_for_all_of_them(tmp_path):
    code, said = play(tmp_path, "test_it.py::test_red, x, 1\ntest_it.py::test_each, x, 2\n")
    assert code == 0 and "1 passed, 3 deselected" in said


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_without_a_list_nothing_changes(tmp_path, listed):
    code, said = play(tmp_path, listed)
    assert code == 1 and "2 failed, 2 passed" in said and "deselected" not in said and "KNOWN RED" not in said


@pytest.mark.parametrize(
    "listed, told",
    [
        ("test_it.py::test_red\n", "KNOWN-RED.txt:1"),
        ("test_it.py, x, 1\n", "KNOWN-RED.txt:1"),
        (", x, 1\n", "KNOWN-RED.txt:1"),
        (BOTH + BOTH, "KNOWN-RED.txt:3"),
        (BOTH + "test_it.py::test_gone, x, 1\n", "no test of ours: test_it.py::test_gone"),
        (BOTH + "test_gone.py::test_x, x, 1\n", "no test of ours: test_gone.py::test_x"),
    ],
)
def test_a_list_that_cannot_be_believed_ends_the_run(tmp_path, listed, told):
    code, said = play(tmp_path, listed)
    assert code not in (0, 1, 5) and told in said
