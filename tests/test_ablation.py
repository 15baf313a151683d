"""Tests for the changes that disable mechanisms, the ablation table, and the report of lost worth."""

import pathlib
import shutil

import pytest

import tools.ablation as ablation
import tools.lost_worth as lost_worth
import tools.mechanisms as mechanisms

ROOT = pathlib.Path(__file__).resolve().parent.parent


def sources(root):
    return {path: path.read_text() for path in (root / "mothshed").rglob("*.py")}


@pytest.mark.parametrize("name", mechanisms.MECHANISMS)
def test_each_switch_matches_the_source_and_leaves_it_compilable(name, tmp_path):
    shutil.copytree(ROOT / "mothshed", tmp_path / "mothshed", ignore=shutil.ignore_patterns("__pycache__"))
    before = sources(tmp_path)
    mechanisms.MECHANISMS[name].switch_off(tmp_path)
    changed = {path: text for path, text in sources(tmp_path).items() if text != before[path]}
    assert changed
    for path, text in changed.items():
        compile(text, str(path), "exec")


def test_a_stale_switch_is_rejected(tmp_path):
    shutil.copytree(ROOT / "mothshed", tmp_path / "mothshed", ignore=shutil.ignore_patterns("__pycache__"))
    for change in (
        mechanisms.ConstantChange("NO_SUCH", "1"),
        mechanisms.TextReplacement(mechanisms.PLACEMENT, "no such line", ""),
    ):
        with pytest.raises(mechanisms.StaleSwitchError):
            change.apply(tmp_path)


def test_differences_are_averaged_over_the_runs_with_results():
    runs = ablation.parse_runs("site.toml=quiet-1,trouble-1:7")
    first, second = (run.label() for run in runs)
    full = {(ablation.BASELINE, first): 0.8, (ablation.BASELINE, second): 0.5}
    worths = {**full, ("good", first): 0.7, ("good", second): 0.2, ("bad", first): 0.9, ("bad", second): None}
    rows = ablation.summarize(worths, runs)
    assert [row.name for row in rows] == ["good", "bad"]
    assert rows[0].mean() == pytest.approx(0.2) and rows[0].spread() == pytest.approx(0.2)
    assert rows[1].mean() == pytest.approx(-0.1)
    text = ablation.format_table(rows, worths, runs)
    assert "| good | +0.200 | 0.200 | +0.100 | +0.300 |" in text and "| bad | -0.100 | 0.000 | -0.100 | - |" in text
    assert ablation.render_svg(rows).count("<rect") == 2


@pytest.mark.parametrize("text", ["", "site.toml", "=quiet-1", "site.toml="])
def test_an_incomplete_run_argument_is_rejected(text):
    with pytest.raises(ValueError):
        ablation.parse_runs(text)


def row(name, asked, in_aim, late=0, refused=0, failed=0):
    ends = {"n": asked, "in_aim": in_aim, "late": late, "refused": refused, "failed": failed}
    return {"name": name, "worth": in_aim / asked if asked else None, **ends}


REPORT = {
    "G": 0.5,
    "parts": [["whole day", 0.7, 0.6]],
    "classes": [row("long", 10, 9, late=1), row("short", 10, 2, refused=6, failed=2), row("none", 0, 0)],
    "windows": [row("0", 10, 10), row("2", 10, 1, refused=6, late=1, failed=2)],
    "unserved_by": [["503", 6, ["an example"]]],
    "prices": [["machines", 1.0, 0.05], ["nothing", 0.0, 0.0]],
}
LOG = """   5.01 counter-1 {"late": 3, "late_reading": 3, "request": 9, "message_type": "counters"}
   5.02 counter-2 {"late_reading": 1, "refusal_no_lease": 2, "message_type": "counters"}
   5.03 counter-2 {"late_reading": 100, "message_type": "other"}
   5.04 counter-2 {"late_reading": broken "message_type": "counters"}
"""


def test_the_account_lists_the_largest_loss_first():
    text = "\n".join(lost_worth.format_account(REPORT, LOG))
    assert text.index("short ") < text.index("long ") and "none" not in text
    assert "machines" in text and "nothing" not in text and "6 503" in text
    assert lost_worth.sum_counters(LOG) == {"late_reading": 4, "refusal_no_lease": 2}


def test_the_picture_has_a_bar_for_each_outcome():
    assert lost_worth.render_svg(REPORT).count("<rect") == 2 * 4 + 4
