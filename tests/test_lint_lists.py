"""Checks of the per-file linter exceptions: each one has a violation, and their number does not grow."""

import json
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
LISTED_AT_MOST = 130  # (file, rule) entries in per-file-ignores; lower it when an entry is removed, never raise it
TYPED_AT_LEAST = 74


def listed():
    """Return the (file, rule) pairs ignored in pyproject.toml, without patterns for whole folders."""
    lint = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    return {(name, rule) for name, rules in lint["per-file-ignores"].items() if "*" not in name for rule in rules}


def violations():
    """Return the (file, rule) violations that the linter reports without the exceptions for single files."""
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
    folders = {name: rules for name, rules in settings.items() if "*" in name}
    override = "lint.per-file-ignores = {" + ", ".join(f'"{n}" = {json.dumps(r)}' for n, r in folders.items()) + "}"
    command = [
        sys.executable,
        "-m",
        "ruff",
        "check",
        "--no-cache",
        "--output-format",
        "json",
        "--config",
        override,
        ".",
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode in (0, 1), done.stderr
    rows = json.loads(done.stdout)
    return {(pathlib.Path(row["filename"]).relative_to(ROOT).as_posix(), row["code"]) for row in rows}


def test_the_list_names_exactly_what_is_not_clean_yet():
    assert listed() - violations() == set()
    assert violations() - listed() == set()


def test_the_list_only_shrinks():
    assert len(listed()) == LISTED_AT_MOST


def test_the_type_checker_reads_no_fewer_files_than_before():
    files = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["mypy"]["files"]
    assert len(set(files)) == TYPED_AT_LEAST and all((ROOT / name).is_file() for name in files)


def test_the_type_checker_is_strict_and_makes_no_exceptions():
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["mypy"]
    assert settings == {"strict": True, "follow_imports": "silent", "files": settings["files"]}
