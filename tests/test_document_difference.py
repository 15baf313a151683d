"""The difference between two documents, applied to the older one, yields exactly the newer one."""

import copy
import json

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.configuration.document_difference as document_difference

STEADY = hypothesis.settings(derandomize=True, max_examples=400, deadline=None, database=None)
NAMES = strategies.sampled_from(["a", "b", "c", "d", "e", ""])
SCALARS = (
    strategies.none() | strategies.booleans() | strategies.integers(0, 2) | strategies.sampled_from([0.0, 1.0, ""])
)
ITEMS = strategies.dictionaries(
    strategies.sampled_from(["share", "keys"]), SCALARS | strategies.lists(SCALARS, max_size=2)
)
OBJECTS = strategies.dictionaries(NAMES, ITEMS | SCALARS, max_size=5)
NAMED_ROWS = strategies.builds(lambda name, item: {"name": name, **item}, NAMES, ITEMS)
LISTS = strategies.lists(NAMED_ROWS, max_size=5, unique_by=lambda row: row["name"])
UNNAMED = strategies.lists(NAMED_ROWS | SCALARS, max_size=3)
SECTION_NAMES = strategies.permutations(["tenants", "pools", "routes", "kinds", "model", "limits"])
SECTIONS = OBJECTS | LISTS | UNNAMED | SCALARS
DOCUMENTS = strategies.builds(
    lambda names, count, values: dict(zip(names[:count], values, strict=False)),
    SECTION_NAMES,
    strategies.integers(0, 6),
    strategies.lists(SECTIONS, min_size=6, max_size=6),
)


@STEADY
@hypothesis.given(DOCUMENTS, DOCUMENTS)
def test_applying_the_difference_yields_exactly_the_newer_document(base, newer):
    before = json.dumps([base, newer])
    change = json.loads(json.dumps(document_difference.difference(base, newer)))
    assert json.dumps(document_difference.apply_difference(base, change)) == json.dumps(newer)
    assert json.dumps([base, newer]) == before


@STEADY
@hypothesis.given(DOCUMENTS, strategies.data())
def test_unchanged_sections_are_the_same_objects(base, data):
    newer = copy.deepcopy(base)
    touched = data.draw(strategies.sampled_from([None, *base]))
    if touched:
        newer[touched] = data.draw(SECTIONS)
    result = document_difference.apply_difference(base, document_difference.difference(base, newer))
    assert all(result[section] is base[section] for section in base if section != touched)


def test_difference_contains_only_changed_items():
    tenants = {f"t{n}": {"share": 1, "keys": ["0" * 32]} for n in range(80)}
    routes = [{"name": f"r{n}", "prefix": "/"} for n in range(30)]
    base = {"tenants": tenants, "routes": routes}
    newer = {"tenants": {**tenants, "t7": {"share": 2}}, "routes": [*routes[:5], *routes[6:], {"name": "new"}]}
    assert document_difference.difference(base, newer) == {
        "put": {"tenants": {"t7": {"share": 2}}, "routes": [{"name": "new"}]},
        "removed": {"routes": ["r5"]},
    }


def test_reordered_items_are_sent_as_a_whole_section():
    base = {"routes": [{"name": "a"}, {"name": "b"}]}
    newer = {"routes": [{"name": "b"}, {"name": "a"}]}
    assert document_difference.difference(base, newer) == {"whole": newer}


@pytest.mark.parametrize(
    "change",
    [
        {"removed": {"pools": ["unknown"]}},
        {"put": {"model": {"a": {}}}},
        {"put": {"routes": [{}]}},
        {"put": ["routes"]},
        {"gone": ["unknown"]},
        {"order": ["unknown"]},
    ],
)
def test_inapplicable_difference_is_rejected_and_changes_nothing(change):
    base = {"model": "a", "pools": {"main": {}}, "routes": []}
    before = copy.deepcopy(base)
    with pytest.raises(document_difference.DifferenceError):
        document_difference.apply_difference(base, change)
    assert base == before
