"""Rules of the tree that a parser can check: imports, coroutines, constants, docstrings."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
FILES = sorted((ROOT / "mothshed").rglob("*.py"))
CONSTANTS = sorted((ROOT / "mothshed").rglob("constants.py"))
ALL = sorted(p for d in ("mothshed", "tools", "tests") for p in (ROOT / d).rglob("*.py"))


def trees(files):
    return [(p.name, ast.parse(p.read_text())) for p in files]


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


def test_no_constant_stands_in_two_files():
    names = [name for path in CONSTANTS for name in re.findall(r"^([A-Z_]+) = ", path.read_text(), re.M)]
    assert len(CONSTANTS) == 2 and len(names) == len(set(names)) > 200


def test_every_constant_has_unit_and_reason():
    lines = [line for path in CONSTANTS for line in path.read_text().splitlines()]
    assert [line for line in lines if re.match(r"[A-Z_]+ = ", line) and len(line.partition("#")[2].split()) < 4] == []


def test_every_file_begins_with_a_paragraph():
    assert [n for n, t in trees(ALL) if t.body and not ast.get_docstring(t)] == []
