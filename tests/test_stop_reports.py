"""What a daemon logs about its own stop."""

import json

import pytest

import tests.stop_fleet as stop_fleet


@pytest.fixture
def fleet(tmp_path):
    made = stop_fleet.Fleet(tmp_path, 1, 1, 8.0, stop_fleet.ROOT)
    try:
        made.start()
        yield made
    finally:
        made.close()


def log_rows(node):
    return [json.loads(line) for line in node.log.read_text().splitlines() if line.startswith("{")]


# Guards against a stop of which nothing can be told afterwards.
def test_a_stop_logs_its_begin_its_end_and_the_last_counters(fleet):
    router = fleet.routers[0]
    kinds = ["counters", "stop_begun", "stop_ended"]
    before = [row for row in log_rows(router) if row["message_type"] in kinds]
    headers = [("Host", stop_fleet.HOST), ("Try-Id", "last"), ("Model", "m"), ("Tokens", "30,2")]
    assert fleet.status(router, "counter", "POST", "/p/x", b"prompt", [*headers, ("Prompt-Prefix", "5c:30")]) == 200
    fleet.stop_node(router, [(0.0, "SIGTERM")])
    rows = [row for row in log_rows(router) if row["message_type"] in kinds][len(before) :]
    assert [row["message_type"] for row in rows if row["message_type"] != "counters"] == ["stop_begun", "stop_ended"]
    assert rows[-1]["completed"] is True and rows[-1]["lasted_s"] > 0
    assert sum(row.get("delivery_done", 0) for row in rows) == 1
    assert {name: rows[-1][name] for name in ("served", "rejected", "cut", "freed")} == dict.fromkeys(
        ("served", "rejected", "cut", "freed"), 0
    )
    assert not fleet.stop_node(fleet.keepers[0], [(0.0, "SIGTERM")]).was_killed  # nobody can take over from it
    assert [row["message_type"] for row in log_rows(fleet.keepers[0])][-1] == "stop_ended"
