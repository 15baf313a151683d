"""Tests for finding outages in printed reports; windows with an unsettled control plane do not count."""

import subprocess
import sys

import pytest

import tools.outages as outages

REPORT = """\
from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
112                     50      40      5       5      0        0  0.900    118.0    338.3
114                     54       0      0      54      0        0  0.000      0.0      0.0
116                     30       4      6      20      0        0  0.200      0.0      0.0
118                     30       0      0       2     28        0  0.000      0.0      0.0
120                      7       0      0       7      0        0  0.000      0.0      0.0

how tries ended: 200: 7; 503: 88
the core was not settled: {unsettled}
"""


@pytest.mark.parametrize(
    "unsettled, seconds",
    [
        ("1.0 to 4.0", [114, 116]),
        ("1.0 to 113.9", [114, 116]),
        ("1.0 to 114.1", [116]),
        ("117.9 to 120.0", [114]),
        ("115.0 to -", []),
    ],
)
def test_only_refusals_with_a_settled_control_plane_are_outages(unsettled, seconds):
    found = outages.find_outages(REPORT.format(unsettled=unsettled))
    assert [window.second for window in found] == seconds


def test_a_report_without_a_table_has_no_outages():
    assert outages.find_outages("built in 0.3 s\n") == []
    settled = REPORT.format(unsettled="").replace("the core was not settled: \n", "")
    assert [window.second for window in outages.find_outages(settled)] == [114, 116]


def test_the_command_prints_outages_and_exits_with_1(tmp_path):
    bad, good = tmp_path / "bad.txt", tmp_path / "good.txt"
    bad.write_text(REPORT.format(unsettled="1.0 to 4.0"))
    good.write_text(REPORT.format(unsettled="1.0 to -"))
    done = subprocess.run([sys.executable, "-m", "tools.outages", bad, good], capture_output=True, text=True)
    assert done.returncode == 1 and done.stdout.splitlines()[0] == f"{bad} 114 s: 54 asked, 0 served, 54 refused"
    assert str(good) not in done.stdout
    done = subprocess.run([sys.executable, "-m", "tools.outages", good], capture_output=True, text=True)
    assert (done.returncode, done.stdout) == (0, "")
