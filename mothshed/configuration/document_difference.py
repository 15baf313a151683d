"""Computes and applies the difference between two configuration documents.

A process that holds a document is sent the difference to a newer one instead of the whole document. Documents are
JSON objects of sections. In sections that map names to items, and in the list of routes, single items are put and
removed; any other changed section is sent whole. Applying a difference to its base yields exactly the newer
document, including the order of names; a section whose order items alone would not reproduce is sent whole too.
Unchanged sections are the same objects in both documents, so data derived from them remains valid.

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
Difference = dict[str, typing.Any]  # wire format: "put", "removed", "whole", "gone", "order", each only if needed

NAMED_SECTIONS = frozenset({"tenants", "pools", "routes"})


class DifferenceError(Exception):
    """A difference that can't be applied to its document."""


def difference(base: Document, newer: Document) -> Difference:
    """The difference with which `apply_difference` turns the base into the newer document."""
    put: dict[str, Section] = {}
    removed: dict[str, list[str]] = {}
    whole: dict[str, Section] = {}
    for section, value in newer.items():
        if section in base and same_json(base[section], value):
            continue
        items = _changed_items(section, base.get(section), value)
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
    """The newer document; the base is not modified. Raises DifferenceError if the difference can't be applied."""
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
        raise DifferenceError(f"difference can't be applied to its base: {error!r}") from error


def same_json(one: Section, other: Section) -> bool:
    """Whether two JSON values are identical, including the order of names and the type of each number."""
    return one is other or json.dumps(one) == json.dumps(other)


def _put_section(rows: Section) -> document_change.PutSection:
    if isinstance(rows, list):
        return document_change.PutSection({row["name"]: row for row in rows}, True)
    return document_change.PutSection(rows, False)


def _changed_items(section: str, previous: Section, value: Section) -> tuple[Section, list[str]] | None:
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
    """The items of a section by name, in order; None unless all items have distinct names."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    names = [row.get("name") if isinstance(row, dict) else None for row in value]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        return None
    return dict(zip(typing.cast(list[str], names), value, strict=True))


def _order_after(old: dict[str, Section], put: dict[str, Section], removed: list[str]) -> list[str]:
    """The order of names after putting and removing: changed items keep their position, new ones are last."""
    return [name for name in {**old, **put} if name not in removed]
