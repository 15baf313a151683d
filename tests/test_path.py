"""The whole path in separate processes: a small fleet, a short load, every rule judged."""

import tools.callers as callers
import tools.fleet_run as fleet_run


def test_a_small_fleet_serves_and_keeps_every_rule(tmp_path):
    rules, rows, ledger = fleet_run.run(
        tmp_path, "patinetes", 4.0, 6.0, "", 1, machines=3, replicas=3, out=lambda line: None
    )
    assert {rule: found for rule, found in rules.items() if found} == {}
    whole = {r["id"] for r in rows if r["end"] == "whole"}
    assert whole == {r["id"] for r in rows} and len(whole) > 5
    done = {r["request"] for r in ledger if r["kind"] == "run" and r["role"] == "decode"}
    assert whole <= done
    first = {r["request"]: r["at"] for r in ledger if r["kind"] == "pull"}
    freed = {r["request"]: r["at"] for r in ledger if r["kind"] == "free"}
    assert all(first[name] < freed[name] for name in whole)  # freed, and only after the pull
    assert not any("discard-me" in r["text"] for r in rows)
    assert {r["kind"] for r in rows} == set(callers.KINDS)
