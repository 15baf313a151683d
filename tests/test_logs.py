"""The log buffer writes each journal event once, and `mothshed logs` merges log files by time."""

import functools
import json
import subprocess
import sys
import types

import pytest

import mothshed.programs.logs as logs
import mothshed.runtime.journal as journal_module
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.mailbox as mailbox


@pytest.fixture
def buffered(tmp_path, monkeypatch):
    """Return (path of the log file, a journal attached to the log buffer, its clock)."""
    clock = [100.0]
    journal = journal_module.Journal(lambda: clock[0])
    monkeypatch.setattr(
        log_buffer, "STATE", {"path": str(tmp_path / "ring"), "last": -1e9, "name": "route-1", "on": True}
    )
    monkeypatch.setattr(log_buffer, "JOURNALS", [])
    monkeypatch.setattr(
        log_buffer,
        "note",
        lambda kind, **fields: log_buffer.handle_message(
            {"timestamp": 5000.0 + clock[0], "message_type": kind, **fields}
        ),
    )
    log_buffer.MESSAGES.clear()
    log_buffer.attach_journal(journal)
    yield tmp_path / "ring", journal, clock
    log_buffer.MESSAGES.clear()


def rows(path):
    """Return the written events, without the message that carries their time."""
    found = [json.loads(text) for text in path.read_text().splitlines()]
    return [row for row in found if row["message_type"] != "journal_written"]


def test_events_and_messages_are_written_and_read_in_order_of_time(buffered):
    path, journal, clock = buffered
    journal.add("send_failed", replica="r1", request="a1")
    clock[0] = 102.0
    journal.add("free", outcome="done")
    log_buffer.handle_message({"timestamp": 5101.0, "message_type": "disk_fault"})
    assert not path.exists()
    clock[0] = 103.0
    log_buffer.write()
    assert rows(path) == [
        {"message_type": "disk_fault", "timestamp": 5101.0, "process": "route-1"},
        {"message_type": "send_failed", "at": 100.0, "replica": "r1", "request": "a1", "process": "route-1"},
        {"message_type": "free", "at": 102.0, "outcome": "done", "process": "route-1"},
    ]
    found, skipped = logs.read([path])
    assert [(row["timestamp"], row["message_type"]) for row in found] == [
        (5100.0, "send_failed"),
        (5101.0, "disk_fault"),
        (5102.0, "free"),
        (5103.0, "journal_written"),
    ]
    assert skipped == 0 and found[0] == {
        "timestamp": 5100.0,
        "message_type": "send_failed",
        "replica": "r1",
        "request": "a1",
        "process": "route-1",
    }


def test_event_times_start_anew_after_a_restart_of_the_machine(buffered):
    path, journal, clock = buffered
    journal.add("free", number=0)
    log_buffer.write()
    clock[0] = 7.0  # the boot clock restarts; the test's wall clock follows it
    journal.add("free", number=1)
    log_buffer.write()
    assert [(row["timestamp"], row["number"]) for row in logs.read([path])[0] if "number" in row] == [
        (5007.0, 1),
        (5100.0, 0),
    ]


def test_an_event_without_a_known_time_is_skipped(tmp_path):
    path = tmp_path / "ring"
    path.write_text(
        '{"message_type": "free", "at": 3.0, "process": "route-1"}\n'
        '{"message_type": "journal_written", "timestamp": 9.0, "at": 4.0, "process": "route-2"}\n'
        '{"message_type": "free", "at": 3.0, "process": "route-1"}\n'
    )
    found, skipped = logs.read([path])
    assert [row["message_type"] for row in found] == ["journal_written"] and skipped == 2


def test_an_event_is_written_once(buffered):
    path, journal, clock = buffered
    for number in range(3):
        journal.add("free", number=number)
        log_buffer.write()
        log_buffer.write()
    assert [row["number"] for row in rows(path)] == [0, 1, 2]


def test_a_full_journal_returns_its_latest_events_once(buffered):
    path, journal, clock = buffered
    journal.add("free", number=-1)
    log_buffer.write()
    for number in range(journal.events.maxlen + 10):
        journal.add("free", number=number)
    assert [e["number"] for k, e in journal.unwritten_events()] == list(range(10, journal.events.maxlen + 10))
    assert journal.unwritten_events() == []


def put(path, *found):
    path.write_text("".join(json.dumps(row) + "\n" for row in found))
    return str(path)


@pytest.fixture
def files(tmp_path):
    one = put(
        tmp_path / "route-1",
        {"timestamp": 3.0, "message_type": "delivery", "process": "route-1", "request": "a1"},
        {
            "timestamp": 1.0,
            "message_type": "send_failed",
            "process": "route-1",
            "request": "a1",
            "reason": "no route = x",
        },
    )
    two = put(tmp_path / "keep-1", {"timestamp": 2.0, "message_type": "order", "process": "keep-1", "request": "b2"})
    return one, two


def run(*words):
    return subprocess.run(
        [sys.executable, "-m", "mothshed.programs.operate", "logs", *words], capture_output=True, text=True
    )


def test_files_are_merged_by_time(files):
    done = run(*files)
    assert (done.returncode, done.stderr) == (0, "")
    assert done.stdout.splitlines() == [
        '1970-01-01T00:00:01.000Z route-1 send_failed request=a1 reason="no route = x"',
        "1970-01-01T00:00:02.000Z keep-1 order request=b2",
        "1970-01-01T00:00:03.000Z route-1 delivery request=a1",
    ]


def test_the_log_of_one_request(files):
    done = run(*files, "--request", "b2")
    assert done.stdout.splitlines() == ["1970-01-01T00:00:02.000Z keep-1 order request=b2"]
    assert run(*files, "--request", "b").stdout == ""


def test_invalid_log_lines_are_skipped_and_counted(files, tmp_path):
    torn = tmp_path / "torn"
    torn.write_bytes(
        b'Traceback (most recent call last):\n\n[1]\n{"timestamp": 4.0}\n\xff\xfe\n'
        b'{"timestamp": 5.0, "message_type": "late"}\n{"timestamp": 6.0, "mess\n'
        b'{"timestamp": NaN, "message_type": "x"}\n{"timestamp": 1e300, "message_type": "x"}\n{"message_type": "x"}'
    )
    done = run(str(torn))
    assert done.stdout.splitlines() == ["1970-01-01T00:00:05.000Z - late"]
    assert done.returncode == 0 and "8 lines were not log rows and were skipped" in done.stderr


def test_a_missing_file_is_named(files):
    done = run(files[0], "/no/such/file")
    assert done.returncode == 2 and "/no/such/file" in done.stdout + done.stderr
    assert "delivery" not in done.stdout
    assert run().returncode == 2


def test_a_field_of_several_lines_stays_on_one():
    row = {"timestamp": 0.0, "message_type": "x", "process": "p", "error": "a\nb", "n": 3, "none": None, "empty": ""}
    assert logs.format_row(row) == '1970-01-01T00:00:00.000Z p x error="a\\nb" n=3 none=null empty=""'


def test_a_callback_that_holds_its_mailbox_is_reported(monkeypatch):
    """Guards against heartbeats that wait behind work of their own mailbox without a trace in the log."""
    rows = []
    monkeypatch.setattr(
        mailbox.log_buffer, "report_limited", lambda limiter, kind, **fields: rows.append((kind, fields))
    )
    times = iter([1.0, 1.1, 2.0, 2.5])
    monkeypatch.setattr(mailbox, "time", types.SimpleNamespace(monotonic=lambda: next(times)))
    for _ in range(2):
        mailbox.Mailbox.on_receive(None, functools.partial(json.dumps, 1))
    assert rows == [("mailbox_held", {"held_s": 0.5, "callback": "dumps"})]
