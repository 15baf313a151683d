"""Checks of the documentation: the example document is valid, relative links resolve, named constants exist."""

import json
import pathlib
import re

import pytest

import mothshed.configuration.document as configuration

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


def test_the_example_document_is_valid():
    examples = re.findall(r"```json\n(.*?)```", (ROOT / "docs" / "operate.md").read_text(), re.S)
    assert len(examples) == 1 and configuration.validation_errors(json.loads(examples[0])) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda p: p.name)
def test_relative_links_resolve(page):
    links = re.findall(r"\]\((?!https?:)([^)#]+)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []


def test_constants_named_in_the_documentation_exist():
    files = (ROOT / "mothshed").rglob("constants.py")
    defined = {name for path in files for name in re.findall(r"^([A-Z_]+) = ", path.read_text(), re.M)}
    for page in ("platform.md", "operate.md"):
        named = set(re.findall(r"`([A-Z]+_[A-Z_]+)`", (ROOT / "docs" / page).read_text()))
        assert named - defined == set()
