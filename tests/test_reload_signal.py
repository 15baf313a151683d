"""SIGHUP while a daemon starts: it ends nothing, and the settings are read again once the daemon serves."""

import os
import pathlib
import signal
import subprocess
import sys
import threading

import pytest

import mothshed.programs.daemon_signals as daemon_signals
import mothshed.runtime.clock as clock
import tests.platform_site as platform_site

ROOT = pathlib.Path(__file__).parent.parent


# Guards against a daemon that is ended by a change of its settings because it has not started yet.
@pytest.mark.parametrize("role", ["route", "keep"])
def test_a_signal_before_the_settings_are_read_ends_nothing(tmp_path, role):
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "start.py"), role],
        env={**os.environ, "MOTHSHED_SETTINGS": str(path)},
        stderr=subprocess.PIPE,
    )
    try:
        with open(path, "w") as settings:  # opened once the process reads its settings
            process.send_signal(signal.SIGHUP)
            with pytest.raises(subprocess.TimeoutExpired):
                process.wait(0.3)
            settings.write("{}")
        assert process.wait(10) == 2 and b"settings are not valid" in process.stderr.read()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_a_signal_before_the_daemon_serves_is_acted_on_then():
    found, calls, counted, begun = daemon_signals.DaemonSignals(), [], [], []

    def signal_the_waiting_daemon():
        for number in (signal.SIGHUP, signal.SIGTERM):
            platform_site.wait_until(lambda: len(calls) > len(counted))
            counted.append(list(calls))
            os.kill(os.getpid(), number)

    usual = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)}
    try:
        found.install_reload()
        os.kill(os.getpid(), signal.SIGHUP)
        found.install_stop(begun.append)
        threading.Timer(0.2, signal_the_waiting_daemon).start()
        requested_at = found.wait_for_stop(lambda: calls.append("reload"))
        assert (
            counted == [["reload"], ["reload", "reload"]] == [calls[:1], calls] and 0 <= clock.now() - requested_at < 60
        )
        assert begun == [requested_at]
    finally:
        for number, handler in usual.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(-1)
