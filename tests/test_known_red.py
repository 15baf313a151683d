"""The known_red plugin deselects and prints exactly the tests in KNOWN-RED.txt; other failures still fail the run."""

import os
import pathlib
import subprocess
import sys

import pytest

CI = pathlib.Path(__file__).parent.parent / ".ci"
TEST_FILE = """
import pytest

def test_red():
    assert False

def test_red_too():
    assert {other}

@pytest.mark.parametrize("n", ["a", "b, c"])
def test_each(n):
    assert n == "a"
"""
TWO_ENTRIES = "test_it.py::test_red, broken, by a fault, issue 7\ntest_it.py::test_each[b, c], late, issue 8\n"


def run_pytest(folder, listed=None, other="True"):
    (folder / "test_it.py").write_text(TEST_FILE.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(CI)},
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_listed_tests_are_deselected_and_printed(tmp_path):
    exit_code, output = run_pytest(tmp_path, TWO_ENTRIES)
    assert exit_code == 0 and "2 passed, 2 deselected" in output
    assert "passed over: test_it.py::test_red (broken, by a fault; issue 7)" in output
    assert "passed over: test_it.py::test_each[b, c] (late; issue 8)" in output


def test_a_test_with_a_listed_id_as_prefix_still_runs(tmp_path):
    exit_code, output = run_pytest(tmp_path, TWO_ENTRIES, other="False")
    assert (
        exit_code == 1 and "FAILED test_it.py::test_red_too" in output and "1 failed, 1 passed, 2 deselected" in output
    )


def test_an_id_without_parameters_covers_all_parameter_sets(tmp_path):
    exit_code, output = run_pytest(tmp_path, "test_it.py::test_red, x, 1\ntest_it.py::test_each, x, 2\n")
    assert exit_code == 0 and "1 passed, 3 deselected" in output


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_without_a_list_nothing_changes(tmp_path, listed):
    exit_code, output = run_pytest(tmp_path, listed)
    assert (
        exit_code == 1 and "2 failed, 2 passed" in output and "deselected" not in output and "KNOWN RED" not in output
    )


@pytest.mark.parametrize(
    "listed, expected_message",
    [
        ("test_it.py::test_red\n", "KNOWN-RED.txt:1"),
        ("test_it.py, x, 1\n", "KNOWN-RED.txt:1"),
        (", x, 1\n", "KNOWN-RED.txt:1"),
        (TWO_ENTRIES + TWO_ENTRIES, "KNOWN-RED.txt:3"),
        (TWO_ENTRIES + "test_it.py::test_gone, x, 1\n", "no test of ours: test_it.py::test_gone"),
        (TWO_ENTRIES + "test_gone.py::test_x, x, 1\n", "no test of ours: test_gone.py::test_x"),
    ],
)
def test_an_invalid_list_ends_the_run(tmp_path, listed, expected_message):
    exit_code, output = run_pytest(tmp_path, listed)
    assert exit_code not in (0, 1, 5) and expected_message in output
