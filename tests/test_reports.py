"""Rare state changes are written at once, within a rate limit, and counters while they change."""

import json

import pytest

import mothshed.runtime.counters as counters
import mothshed.runtime.journal as journal
import mothshed.runtime.log_buffer as log_buffer


@pytest.fixture
def written(tmp_path, monkeypatch):
    """Return a function that reads the rows written so far."""
    path = tmp_path / "ring"
    path.touch()
    monkeypatch.setattr(log_buffer, "STATE", {"path": str(path), "last": -1e9, "name": "keep-1", "on": True})
    monkeypatch.setattr(log_buffer, "JOURNALS", [])
    monkeypatch.setattr(log_buffer, "REPORT_LIMITER", log_buffer.RateLimiter(2, 0.0))
    monkeypatch.setattr(
        log_buffer, "note", lambda kind, **fields: log_buffer.handle_message({"message_type": kind, **fields})
    )
    log_buffer.MESSAGES.clear()
    yield lambda: [json.loads(line) for line in path.read_text().splitlines()]
    log_buffer.MESSAGES.clear()


def test_a_report_is_written_at_once_and_a_note_is_not(written):
    log_buffer.note("list", reason="timeout")
    log_buffer.report("part_led", part=2)
    assert written() == [{"message_type": "part_led", "part": 2, "process": "keep-1"}]


def test_reports_beyond_the_rate_limit_stay_in_memory_until_a_failure(written):
    for part in range(4):
        log_buffer.report("part_led", part=part)
    assert [row["part"] for row in written()] == [0, 1]
    log_buffer.write()
    assert [row["part"] for row in written()] == [0, 1, 2, 3]


class Timers:
    """Keeps the last scheduled callback, to be called by hand."""

    def call_later(self, delay, call):
        self.delay, self.call = delay, call


def test_counters_are_reported_only_while_they_change(written):
    events, timers = journal.Journal(), Timers()
    report = counters.CountersReport(timers, events.view(journal.Totals()))
    report.run()
    timers.call()
    assert written() == []
    events.add("refusal", outcome="no_lease")
    events.add("refusal", outcome="no_lease")
    timers.call()
    timers.call()
    events.add("refusal", outcome="no_lease")
    timers.call()
    assert [(row["refusal"], row["refusal_no_lease"]) for row in written()] == [(2, 2), (1, 1)]
