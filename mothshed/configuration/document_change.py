"""Changes of a configuration document by named items.

A change puts items into sections of a document and removes others by name; everything else stays as it
is. A section is either a list of objects with a `name`, or an object that maps names to items. A change
is applied completely or not at all, and always to a copy.

>>> document = {"routes": [{"name": "a", "n": 1}, {"name": "b"}], "pools": {"main": {}}}
>>> change = parse_change({"routes": [{"name": "a", "n": 2}, {"name": "c"}]}, {"routes": ["b"]})
>>> apply_change(document, change)["routes"]
[{'name': 'a', 'n': 2}, {'name': 'c'}]
>>> apply_change(document, parse_change({"pools": {"spare": {}}}, {}))["pools"]
{'main': {}, 'spare': {}}
"""

import collections.abc
import dataclasses
import typing

Item = typing.Any
Document = dict[str, typing.Any]


class ChangeError(Exception):
    """A change that can't be applied; `errors` lists everything that is wrong, as 'path: message'."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclasses.dataclass(frozen=True)
class PutSection:
    """The items to put into one section, by name."""

    items: dict[str, Item]
    as_list: bool  # given as a list of objects with names


EMPTY_SECTION = PutSection({}, False)


@dataclasses.dataclass(frozen=True)
class Change:
    """A well-formed change: the items to put and the names to remove, by section."""

    put: dict[str, PutSection]
    remove: dict[str, list[str]]


def parse_change(put: typing.Any, remove: typing.Any) -> Change:
    """Parse a change from the two objects that an operator sent; raises ChangeError if they are malformed."""
    errors: list[str] = []
    sections = _put_sections(put, errors)
    names = _names_to_remove(remove, errors)
    for section in sections.keys() & names.keys():
        both = sorted(sections[section].items.keys() & set(names[section]))
        errors += [f"{section}: {name!r} is both put and removed" for name in both]
    if not errors and not any(row.items for row in sections.values()) and not any(names.values()):
        errors.append("change: it neither puts nor removes anything")
    if errors:
        raise ChangeError(errors)
    return Change(sections, names)


def _put_sections(put: typing.Any, errors: list[str]) -> dict[str, PutSection]:
    if not isinstance(put, dict):
        errors.append("put: expected an object of sections")
        return {}
    return {
        section: PutSection(_items_by_name(section, rows, errors), isinstance(rows, list))
        for section, rows in put.items()
    }


def _items_by_name(section: str, rows: typing.Any, errors: list[str]) -> dict[str, Item]:
    if isinstance(rows, dict):
        return dict(rows)
    if not isinstance(rows, list):
        errors.append(f"put.{section}: expected a list of items")
        return {}
    items: dict[str, Item] = {}
    for position, row in enumerate(rows):
        name = _name_of(row)
        if not name:
            errors.append(f"put.{section}.{position}: expected an object with a name")
        elif name in items:
            errors.append(f"put.{section}.{position}: {name!r} appears twice")
        else:
            items[name] = row
    return items


def _names_to_remove(remove: typing.Any, errors: list[str]) -> dict[str, list[str]]:
    if not isinstance(remove, dict):
        errors.append("remove: expected an object of sections")
        return {}
    names_by_section: dict[str, list[str]] = {}
    for section, names in remove.items():
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            errors.append(f"remove.{section}: expected a list of names")
        elif len(set(names)) < len(names):
            errors.append(f"remove.{section}: a name appears twice")
        else:
            names_by_section[section] = names
    return names_by_section


def apply_change(document: Document, change: Change) -> Document:
    """Return a copy of the document with the change applied; raises ChangeError if it can't be applied.

    An item that is put replaces the item of the same name, or is appended.
    """
    errors: list[str] = []
    result = dict(document)
    for section in [*change.put, *(s for s in change.remove if s not in change.put)]:
        put, names = change.put.get(section, EMPTY_SECTION), change.remove.get(section, [])
        previous = document.get(section, [] if put.as_list else {})
        if isinstance(previous, list) and (put.as_list or not put.items):
            result[section] = _apply_to_list(section, previous, put.items, names, errors)
        elif isinstance(previous, dict) and not put.as_list:
            result[section] = _apply_to_object(section, previous, put.items, names, errors)
        elif isinstance(previous, list):
            errors.append(f"put.{section}: expected a list of items")
        else:
            errors.append(f"{section}: this section has no list of named items")
    if errors:
        raise ChangeError(errors)
    return result


def _apply_to_list(
    section: str, previous: list[Item], items: dict[str, Item], names: list[str], errors: list[str]
) -> list[Item]:
    present = [_name_of(row) for row in previous]
    errors += _unknown_names(section, names, present)
    kept = [items.get(name, row) for name, row in zip(present, previous, strict=True) if name not in names]
    return kept + [row for name, row in items.items() if name not in present]


def _name_of(row: Item) -> str:
    """The name of a list item, or "" if it has none."""
    name = row.get("name") if isinstance(row, dict) else None
    return name if isinstance(name, str) else ""


def _apply_to_object(
    section: str, previous: dict[str, Item], items: dict[str, Item], names: list[str], errors: list[str]
) -> dict[str, Item]:
    errors += _unknown_names(section, names, previous)
    return {name: item for name, item in {**previous, **items}.items() if name not in names}


def _unknown_names(section: str, names: list[str], present: collections.abc.Collection[typing.Any]) -> list[str]:
    return [f"remove.{section}: there is no {name!r}" for name in names if name not in present]
