"""Reads a configuration document from a file given on the command line."""

import json
import pathlib
import typing

import cappa


def read(path: str) -> typing.Any:
    """Parse the JSON in the file; end the command with exit code 2 if the file can't be read or parsed."""
    try:
        return json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise cappa.Exit(f"{path}: {error}", code=2) from error
