"""Real processes under network cuts and disk faults: every rule holds, and the faults really took effect."""

import pathlib

import tools.fleet_faults as fleet_faults
import tools.fleet_run as fleet_run

FAULTS = "1:cut_owner,7:cut_core,13:disk_full,20:cut_owner_one_way"


def test_rules_hold_under_network_cuts_and_a_full_disk(tmp_path):
    lines = []
    rules, rows, ledger = fleet_run.run(
        tmp_path, "patinetes", 26.0, 6.0, FAULTS, 2, machines=4, replicas=3, out=lines.append
    )
    assert {rule: found for rule, found in rules.items() if found} == {}
    assert sum(r["end"] == "whole" for r in rows) > 50
    for _at, name in fleet_faults.parse(FAULTS):
        assert any(line.endswith(name) for line in lines), name
    assert sum("exit 0" in line for line in lines) >= 3  # the configuration changed during the faults
    logged = "".join(p.read_text() for p in pathlib.Path(tmp_path).glob("*.ring"))
    assert "no space left" in logged  # the disk really refused writes
