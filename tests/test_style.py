"""The house style's mechanical entries, checked against the product's code."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
FILES = sorted((ROOT / "mothshed").rglob("*.py"))
ALL = sorted(p for d in ("mothshed", "tools", "tests") for p in (ROOT / d).rglob("*.py"))
# usual terms that have a word of ours; in strings and comments they may stand
USUAL = ("attempt", "forward", "version", "timer", "health", "answer", "zone", "refuse", "choose", "deadline", "client")
LOAD = {"load", "loads"}  # reading a file or a text; what machines bear is "usage"


def trees(files):
    return [(p.name, ast.parse(p.read_text())) for p in files]


def names(tree):
    for node in ast.walk(tree):
        if isinstance(node, (ast.FunctionDef, ast.ClassDef)):
            yield node.name
        elif isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            yield node.id
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            yield node.attr


def test_no_from_imports():
    assert [n for n, t in trees(ALL) for node in ast.walk(t) if isinstance(node, ast.ImportFrom)] == []


def test_no_coroutines():
    kinds = (ast.AsyncFunctionDef, ast.Await, ast.AsyncFor, ast.AsyncWith)
    assert [n for n, t in trees(FILES) for node in ast.walk(t) if isinstance(node, kinds)] == []


def test_constants_stand_in_one_place():
    found = []
    for name, tree in trees(FILES):
        for node in tree.body:
            if (
                isinstance(node, ast.Assign)
                and isinstance(node.value, ast.Constant)
                and isinstance(node.value.value, (int, float))
                and name != "constants.py"
            ):
                found.append((name, node.targets[0].id))
    assert found == []


def test_every_constant_has_unit_and_reason():
    lines = (ROOT / "mothshed" / "common" / "constants.py").read_text().splitlines()
    assert [line for line in lines if re.match(r"[A-Z_]+ = ", line) and len(line.partition("#")[2].split()) < 4] == []


@pytest.mark.parametrize("word", USUAL)
def test_our_words(word):
    parts = re.compile(rf"(^|_){word}(s|d|ed|ing)?(_|$)|{word.title()}")
    assert [(n, name) for n, t in trees(FILES) for name in names(t) if parts.search(name)] == []


def test_load_is_only_for_reading():
    assert [
        (n, name)
        for n, t in trees(FILES)
        for name in names(t)
        if "load" in name.lower().split("_") and name not in LOAD
    ] == []


def test_every_file_begins_with_a_paragraph():
    assert [n for n, t in trees(ALL) if t.body and not ast.get_docstring(t)] == []


def test_hints_stand_at_the_seams_only():
    """Data classes and the command line carry hints; functions within do not."""
    found = [
        (n, node.name)
        for n, t in trees(FILES)
        for node in ast.walk(t)
        if isinstance(node, ast.FunctionDef) and (node.returns or any(a.annotation for a in node.args.args))
    ]
    assert found == []
