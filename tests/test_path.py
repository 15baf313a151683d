"""End-to-end test: a small fleet in separate processes serves a short load, and every rule is checked."""

import tools.callers as callers
import tools.fleet_run as fleet_run


def test_a_small_fleet_serves_all_requests_and_violates_no_rule(tmp_path):
    rules, rows, ledger = fleet_run.run(
        tmp_path, "patinetes", 4.0, 6.0, "", 1, machines=3, replicas=3, out=lambda line: None
    )
    assert {rule: violations for rule, violations in rules.items() if violations} == {}
    whole = {r["id"] for r in rows if r["end"] == "whole"}
    assert whole == {r["id"] for r in rows} and len(whole) > 5
    decoded = {r["request"] for r in ledger if r["kind"] == "run" and r["role"] == "decode"}
    assert whole <= decoded
    pulled = {r["request"]: r["at"] for r in ledger if r["kind"] == "pull"}
    released = {r["request"]: r["at"] for r in ledger if r["kind"] == "free"}
    # each handle is released, and only after the pull
    assert all(pulled[request] < released[request] for request in whole)
    assert not any("discard-me" in r["text"] for r in rows)
    assert {r["kind"] for r in rows} == set(callers.KINDS)
