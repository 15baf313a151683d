"""A stop that fails or hangs somewhere, or is asked for by signals at one moment, still ends the process."""

import signal
import subprocess
import sys
import time

import pytest

PROGRAM = """
import collections, functools, os, signal, sys, threading, time, types
import mothshed.http.http_server as http_server
import mothshed.programs.daemon_signals as daemon_signals
import mothshed.programs.daemon_stop as daemon_stop
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
    counters_report=types.SimpleNamespace(report_now=lambda: None), begin_stop=lambda *_arguments: None,
)
reload = lambda: None
INJECT
daemon_signals.DAEMON_SIGNALS.install_stop(functools.partial(daemon_stop.begin, daemon))
SEND
threading.Thread(target=time.sleep, args=(600,)).start()
serving.serve(server, daemon, reload)
"""

OWN_SIGNALS = """
for name in (signal.SIGHUP, signal.SIGTERM):
    os.kill(os.getpid(), name)
"""
PROCESSES = 16
ROUNDS = 6


def program(inject, signals):
    return PROGRAM.replace("INJECT", inject).replace("SEND", signals)


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
        ("reload = hang", 0),
        ("daemon.begin_stop = fail", 0),
        ("server.prepare = hang", 1),
        ("sys.stdout.close()", 0),
    ],
)
def test_a_stop_ends_the_process_whatever_fails_in_it(inject, code):
    process = subprocess.Popen([sys.executable, "-c", program(inject, OWN_SIGNALS)], stderr=subprocess.PIPE)
    try:
        assert process.wait(30) == code
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


# Guards against a signal that is lost because the main thread was not the one that received it.
@pytest.mark.parametrize("names", [("SIGHUP", "SIGTERM"), ("SIGTERM", "SIGINT"), ("SIGINT", "SIGTERM")], ids="-".join)
def test_signals_at_one_moment_are_all_acted_on(names):
    for _ in range(ROUNDS):
        command = [sys.executable, "-c", program("pass", "print(flush=True)")]
        processes = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(PROCESSES)]
        try:
            for process in processes:
                process.stdout.readline()  # its handlers are installed
            time.sleep(0.2)
            for process in processes:
                for name in names:
                    process.send_signal(getattr(signal, name))
            assert [process.wait(30) for process in processes] == [0] * PROCESSES
        finally:
            for process in processes:
                process.kill()
                process.wait()
                process.stdout.close()
