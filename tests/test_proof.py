"""The proof's own books: the table is whole and current, clocks are only boot clocks."""

import ast
import pathlib
import time
import unittest.mock

import mothshed.common.world as world
import tools.proof_table as proof_table
import tools.simulate as simulate

ROOT = pathlib.Path(__file__).parent.parent
WALL = {("time", "time"), ("time", "time_ns"), ("datetime", "now"), ("datetime", "utcnow"), ("time", "localtime")}


def test_the_table_names_real_days_and_the_page_is_current():
    assert proof_table.unknown() == []
    assert proof_table.table() in (ROOT / "docs" / "proof.md").read_text()


def test_clocks_no_decision_reads_wall_time():
    """Wall time appears once, as the `created` field of an answer; leases count on the boot clock."""
    found = []
    for path in sorted((ROOT / "mothshed").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and (node.value.id, node.attr) in WALL:
                found.append(path.name)
    assert sorted(set(found)) == ["router_front.py"] and len(found) == 2
    assert abs(world.now() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 60


def test_clocks_a_day_is_the_same_whatever_the_wall_clock_does():
    plain = simulate.one("kill_owner", 3)[1]
    jumps = iter(range(10 ** 9))
    with unittest.mock.patch("time.time", lambda: (-1) ** next(jumps) * 1e6):
        jumped = simulate.one("kill_owner", 3)[1]
    assert (plain.rows, plain.ledger) == (jumped.rows, jumped.ledger)


def test_no_file_is_over_250_lines():
    files = [p for d in ("mothshed", "tools", "tests") for p in (ROOT / d).rglob("*.py")]
    assert [p.name for p in files if len(p.read_text().splitlines()) > 250] == []
