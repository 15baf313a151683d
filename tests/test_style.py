"""Source rules checked on the syntax tree: imports, coroutines, constants, docstrings."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
FILES = sorted((ROOT / "mothshed").rglob("*.py"))
CONSTANTS = sorted((ROOT / "mothshed").rglob("constants.py"))
ALL = sorted(p for d in ("mothshed", "tools", "tests") for p in (ROOT / d).rglob("*.py"))

# Units allowed as the suffix of a constant's name; a plural names the items counted.
NAMED_UNITS = (
    *("PER_S", "S", "BYTES", "CHARS", "TOKENS", "RATIO", "COUNT", "SLOTS", "HALF_LIVES", "LINES", "MESSAGES"),
    *("ENTRIES", "ROUNDS", "PROOFS", "FAILURES", "MEMBERS", "DOCUMENTS", "ORDERS", "REQUESTS", "CHECKS", "CHANGES"),
    *("PROBES", "THREADS", "KEYS", "ATTEMPTS", "ROUTERS", "LENDERS", "CONNECTIONS", "POOLS", "EVENTS", "PARTS"),
    *("RELEASES", "PROCESSES", "NEIGHBOURS", "SHUFFLES", "HINTS", "REDIALS", "ADDRESSES", "RECORDS"),
)
# Units that a comment states first, followed by a semicolon, where the name has no unit suffix.
COMMENTED_UNITS = ("number", "part number", "rank", "requests squared")


def parse_files(files):
    return [(p.name, ast.parse(p.read_text())) for p in files]


def test_no_from_imports():
    assert [n for n, t in parse_files(ALL) for node in ast.walk(t) if isinstance(node, ast.ImportFrom)] == []


def test_no_coroutines():
    kinds = (ast.AsyncFunctionDef, ast.Await, ast.AsyncFor, ast.AsyncWith)
    assert [n for n, t in parse_files(FILES) for node in ast.walk(t) if isinstance(node, kinds)] == []


def test_numeric_constants_are_defined_in_constants_files_only():
    found = []
    for name, tree in parse_files(FILES):
        for node in tree.body:
            if (
                isinstance(node, ast.Assign)
                and isinstance(node.value, ast.Constant)
                and isinstance(node.value.value, (int, float))
                and name != "constants.py"
            ):
                found.append((name, node.targets[0].id))
    assert found == []


def test_no_constant_is_defined_twice():
    names = [name for path in CONSTANTS for name in re.findall(r"^([A-Z_]+) = ", path.read_text(), re.M)]
    assert len(CONSTANTS) == 6 and len(names) == len(set(names)) > 200


def unit_of(line):
    """Return the unit of a constant, from the suffix of its name or the first words of its comment, or None."""
    name, comment = line.partition(" = ")[0], line.partition("#")[2].strip()
    return next((unit for unit in NAMED_UNITS if name.endswith("_" + unit)), None) or next(
        (unit for unit in COMMENTED_UNITS if comment.startswith(unit + "; ")), None
    )


def test_every_constant_states_its_unit():
    lines = [line for path in CONSTANTS for line in path.read_text().splitlines() if re.match(r"[A-Z_0-9]+ = ", line)]
    assert len(lines) > 200 and [line for line in lines if unit_of(line) is None] == []


def test_a_constant_without_a_listed_unit_is_reported():
    assert unit_of("IDLE_TIMEOUT = 4.0  # idle time of a connection that is used again") is None
    assert unit_of("IDLE_TIMEOUT = 4.0  # s") is None and unit_of("S = 4.0") is None
    assert unit_of("IDLE_TIMEOUT_S = 4.0") == "S" and unit_of("FIRST_RANK = 0  # rank; the first") == "rank"


def test_every_file_has_a_docstring():
    assert [n for n, t in parse_files(ALL) if t.body and not ast.get_docstring(t)] == []
