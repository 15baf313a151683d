"""What the pages show works: example documents are valid, links and named files are there."""

import json
import pathlib
import re

import pytest

import mothshed.configuration.document as configuration

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


def test_the_example_of_routes_is_valid():
    found = re.findall(r"```json\n(.*?)```", (ROOT / "docs" / "operate.md").read_text(), re.S)
    assert len(found) == 1 and configuration.validation_errors(json.loads(found[0])) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda p: p.name)
def test_links_lead_somewhere(page):
    links = re.findall(r"\]\((?!https?:)([^)#]+)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []


def test_constants_named_on_the_pages_exist():
    files = (ROOT / "mothshed").rglob("constants.py")
    said = {name for path in files for name in re.findall(r"^([A-Z_]+) = ", path.read_text(), re.M)}
    for page in ("platform.md", "operate.md"):
        named = set(re.findall(r"`([A-Z]+_[A-Z_]+)`", (ROOT / "docs" / page).read_text()))
        assert named - said == set()
