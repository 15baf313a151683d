"""The difference between two configuration documents, and its application.

A process that holds a document is sent the difference to a newer one instead of the whole. Documents are JSON
objects of sections. In the sections that map names to items, and in the list of routes, single items are put and
removed; any other section that changed is sent whole. Applying a difference to its base gives exactly the newer
document, the order of names included: a section for which items alone would not do that is sent whole too. What
did not change is the same object in both documents, so that whatever was made from it still holds.

>>> base = {"model": "a", "pools": {"main": {"shift": True}, "old": {}}, "routes": [{"name": "r"}]}
>>> newer = {"model": "b", "pools": {"main": {"shift": True}, "new": {}}, "routes": [{"name": "r"}]}
>>> change = difference(base, newer)
>>> change
{'put': {'pools': {'new': {}}}, 'removed': {'pools': ['old']}, 'whole': {'model': 'b'}}
>>> apply_difference(base, change) == newer, apply_difference(base, change)["routes"] is base["routes"]
(True, True)
"""

import json
import typing

import mothshed.configuration.document_change as document_change

Section = typing.Any
Document = dict[str, Section]
Difference = dict[str, typing.Any]  # as it is sent: "put", "removed", "whole", "gone", "order", each only if needed

NAMED_SECTIONS = frozenset({"tenants", "pools", "routes"})


class DifferenceError(Exception):
    """A difference that does not fit the document it is applied to."""


def difference(base: Document, newer: Document) -> Difference:
    """What `apply_difference` needs to make the newer document of the base."""
    put: dict[str, Section] = {}
    removed: dict[str, list[str]] = {}
    whole: dict[str, Section] = {}
    for section, value in newer.items():
        if section in base and same_json(base[section], value):
            continue
        items = _items_changed(section, base.get(section), value)
        if items is None:
            whole[section] = value
            continue
        if items[0]:
            put[section] = items[0]
        if items[1]:
            removed[section] = items[1]
    change: Difference = {
        "put": put,
        "removed": removed,
        "whole": whole,
        "gone": [section for section in base if section not in newer],
    }
    change = {part: value for part, value in change.items() if value}
    if list(apply_difference(base, change)) != list(newer):
        change["order"] = list(newer)
    return change


def apply_difference(base: Document, change: Difference) -> Document:
    """The newer document; the base stays as it is. Raises DifferenceError if the difference does not fit."""
    result = dict(base)
    try:
        named_changes = document_change.Change(
            {section: _put_section(rows) for section, rows in change.get("put", {}).items()},
            change.get("removed", {}),
        )
        result = document_change.apply_change(result, named_changes)
        result.update(change.get("whole", {}))
        for section in change.get("gone", ()):
            del result[section]
        return {section: result[section] for section in change.get("order", result)}
    except (document_change.ChangeError, AttributeError, KeyError, TypeError) as error:
        raise DifferenceError(f"it does not fit: {error!r}") from error


def same_json(one: Section, other: Section) -> bool:
    """Whether two JSON values are the same, down to the order of names and the kind of each number."""
    return one is other or json.dumps(one) == json.dumps(other)


def _put_section(rows: Section) -> document_change.PutSection:
    if isinstance(rows, list):
        return document_change.PutSection({row["name"]: row for row in rows}, True)
    return document_change.PutSection(rows, False)


def _items_changed(section: str, previous: Section, value: Section) -> tuple[Section, list[str]] | None:
    """The items to put and the names to remove; None if the section has to be sent whole."""
    if section not in NAMED_SECTIONS or type(previous) is not type(value):
        return None
    old, new = _by_name(previous), _by_name(value)
    if old is None or new is None:
        return None
    put = {name: item for name, item in new.items() if name not in old or not same_json(old[name], item)}
    removed = [name for name in old if name not in new]
    if list(new) != _order_after(old, put, removed):
        return None
    return (list(put.values()) if isinstance(value, list) else put), removed


def _by_name(value: Section) -> dict[str, Section] | None:
    """A section's items by name, in their order; None if it does not consist of items with names of their own."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    names = [row.get("name") if isinstance(row, dict) else None for row in value]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        return None
    return dict(zip(typing.cast(list[str], names), value, strict=True))


def _order_after(old: dict[str, Section], put: dict[str, Section], removed: list[str]) -> list[str]:
    """The order of names that putting and removing leaves: changed items stay in place, new ones come last."""
    return [name for name in {**old, **put} if name not in removed]
