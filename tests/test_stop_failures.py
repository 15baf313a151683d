"""A stop that fails or hangs somewhere still ends the process."""

import subprocess
import sys

import pytest

PROGRAM = """
import collections, os, signal, sys, threading, time, types
import mothshed.http.http_server as http_server
import mothshed.programs.daemon_signals as daemon_signals
import mothshed.programs.serving as serving

def fail(*_arguments):
    raise RuntimeError("injected")

def hang(*_arguments):
    time.sleep(600)

def complete(*_arguments):
    return True

server = http_server.Server("127.0.0.1:0", lambda environ, start: [], 2)
daemon = types.SimpleNamespace(
    settings={"grace_s": 2}, totals=types.SimpleNamespace(counts=collections.Counter()), drain=complete,
    counters_report=types.SimpleNamespace(report_now=lambda: None),
)
reload = lambda: None
INJECT
daemon_signals.DAEMON_SIGNALS.install_stop()
for name in (signal.SIGHUP, signal.SIGTERM):
    os.kill(os.getpid(), name)
threading.Thread(target=time.sleep, args=(600,)).start()
serving.serve(server, daemon, reload)
"""


# Guards against a process that lives on without being stoppable because a step of its stop failed.
@pytest.mark.parametrize(
    "inject, code",
    [
        ("pass", 0),
        ("daemon.drain = fail", 1),
        ("daemon.drain = hang", 1),
        ("server.stop = hang", 0),
        ("server.stop = fail", 0),
        ("daemon.counters_report.report_now = fail", 1),
        ("daemon.counters_report.report_now = hang", 1),
        ("threading.Timer.start = fail", 0),
        ("reload = fail", 0),
        ("sys.stdout.close()", 0),
    ],
)
def test_a_stop_ends_the_process_whatever_fails_in_it(inject, code):
    process = subprocess.Popen([sys.executable, "-c", PROGRAM.replace("INJECT", inject)], stderr=subprocess.PIPE)
    try:
        assert process.wait(30) == code
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
