"""The tools: invalid arguments give one error and a non-zero exit code; the log buffer is written to its file."""

import json
import subprocess
import sys

import pytest

import mothshed.runtime.log_buffer as log_buffer


@pytest.mark.parametrize(
    "arguments, message",
    [
        (["tools.simulate", "--day", "no-such-day"], "no day is named 'no-such-day'"),
        (["tools.simulate", "--day", "calm", "--seeds", "one"], "'one' is not first-last"),
        (["tools.measure", "pairing", "--traffic", "/no/such/file"], "/no/such/file"),
        (["mothshed.programs.operate", "fleet", "--faults", "3:kill_router,x:config,4:explode"], "x:config, 4:explode"),
        (["mothshed.programs.operate", "fleet", "--deployment", "nowhere"], "nowhere"),
        (
            ["mothshed.programs.operate", "fleet", "--faults", "3:call_later"],
            "expected seconds:name with one of kill_router",
        ),
        (["tools.simulate", "--size", "huge"], "huge"),
        (["tools.simulate", "--jobs", "0"], "--jobs"),
        (["tools.service_table", "--seeds", "x"], "x"),
        (["tools.elections", "--seeds", "x"], "x"),
        (["tools.protections", "--days", "some"], "some"),
        (["tools.proof_table", "--jobs", "0"], "--jobs"),
        (["mothshed.programs.operate", "config", "check", "/no/such/file"], "/no/such/file"),
        (
            ["mothshed.programs.operate", "config", "change", "/no/such/file", "--base", "1", "--keeper", "k:1"],
            "/no/such/file",
        ),
        (["mothshed.programs.operate", "run", "swap-keeper", "--keeper", "127.0.0.1:1", "--set", "old"], "name=value"),
    ],
)
def test_invalid_arguments_are_named_and_nothing_is_done(arguments, message):
    done = subprocess.run([sys.executable, "-m", *arguments], capture_output=True, text=True, stdin=subprocess.DEVNULL)
    assert done.returncode == 2
    assert message in " ".join((done.stdout + done.stderr).split())


def test_the_log_buffer_is_written_to_its_file_after_a_failure(tmp_path, monkeypatch):
    path = tmp_path / "ring"
    monkeypatch.setattr(log_buffer, "STATE", {"path": str(path), "last": -1e9, "name": "t", "on": True})
    log_buffer.MESSAGES.clear()
    log_buffer.handle_message({"message_type": "before"})
    assert not path.exists()
    try:
        raise ValueError("broke")
    except ValueError as e:
        log_buffer.failure("test_trouble", e)
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    assert rows[0]["message_type"] == "before" and len(log_buffer.MESSAGES) <= 1
