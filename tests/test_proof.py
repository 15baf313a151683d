"""The table of the proof is complete and current; decisions read only the boot clock."""

import ast
import pathlib
import time
import unittest.mock

import mothshed.runtime.clock as clock
import tools.proof_table as proof_table
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios

ROOT = pathlib.Path(__file__).parent.parent
WALL = {("time", "time"), ("time", "time_ns"), ("datetime", "now"), ("datetime", "utcnow"), ("time", "localtime")}


def test_the_page_has_a_row_for_every_scenario_in_which_every_rule_judged_some_event():
    assert proof_table.unmatched_names() == []
    page = (ROOT / "docs" / "proof.md").read_text().splitlines()
    assert [line for line in proof_table.table_header() + proof_table.protection_rows() if line not in page] == []
    for day in scenarios.SCENARIOS:
        cells = [
            line.strip("| ").split(" | ") for line in page if line.split(" | ")[1:2] == [day] and line.count(" | ") > 5
        ]
        assert len(cells) == 1, day
        zero = [
            rule for rule, n in zip(proof_table.RULES_BY_COLUMN.values(), cells[0][2:], strict=False) if int(n) == 0
        ]
        assert zero == [] or zero == ["service returns"] and day in proof_table.FINAL_FAULT_SCENARIOS


def test_clocks_no_decision_reads_wall_time():
    """Only the `created` field of a response reads wall time; leases are timed by the boot clock."""
    found = []
    for path in sorted((ROOT / "mothshed").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and (node.value.id, node.attr) in WALL
            ):
                found.append(path.name)
    assert sorted(set(found)) == ["router_front.py"] and len(found) == 2
    assert abs(clock.now() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 60


def test_clocks_a_run_does_not_depend_on_the_wall_clock():
    plain = simulate.run_scenario("kill_owner", 3)[1]
    jumps = iter(range(10**9))
    with unittest.mock.patch("time.time", lambda: (-1) ** next(jumps) * 1e6):
        jumped = simulate.run_scenario("kill_owner", 3)[1]
    assert (plain.rows, plain.ledger) == (jumped.rows, jumped.ledger)


def test_no_file_is_over_250_lines():
    files = [p for d in ("mothshed", "tools", "tests") for p in (ROOT / d).rglob("*.py")]
    assert [p.name for p in files if len(p.read_text().splitlines()) > 250] == []
