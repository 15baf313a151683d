"""Changes of a configuration document by named items.

A change puts items into sections of a document and removes others by name; what it does not name stays as it
is. A section is either a list of objects that carry a `name`, or an object that maps names to items. A change
is applied whole or not at all, always to a copy.

>>> document = {"routes": [{"name": "a", "n": 1}, {"name": "b"}], "pools": {"main": {}}}
>>> applied(document, read({"routes": [{"name": "a", "n": 2}, {"name": "c"}]}, {"routes": ["b"]}))["routes"]
[{'name': 'a', 'n': 2}, {'name': 'c'}]
>>> applied(document, read({"pools": {"spare": {}}}, {}))["pools"]
{'main': {}, 'spare': {}}
"""

import collections.abc
import dataclasses
import typing

Item = typing.Any
Document = dict[str, typing.Any]


class ChangeFault(Exception):
    """A change that can't be applied; `faults` lists everything that is wrong, as 'path: what is wrong'."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclasses.dataclass(frozen=True)
class PutSection:
    """The items to put into one section, by name."""

    items: dict[str, Item]
    as_list: bool  # they came as a list of objects that carry their names


NOTHING = PutSection({}, False)


@dataclasses.dataclass(frozen=True)
class Change:
    """A change whose form is right: per section the items to put, and the names to remove."""

    put: dict[str, PutSection]
    remove: dict[str, list[str]]


def read(put: typing.Any, remove: typing.Any) -> Change:
    """A change from its two objects as an operator sent them; raises ChangeFault if their form is wrong."""
    faults: list[str] = []
    sections = _put_sections(put, faults)
    names = _names(remove, faults)
    for section in sections.keys() & names.keys():
        both = sorted(sections[section].items.keys() & set(names[section]))
        faults += [f"{section}: {name!r} is both put and removed" for name in both]
    if not faults and not any(row.items for row in sections.values()) and not any(names.values()):
        faults.append("change: it neither puts nor removes anything")
    if faults:
        raise ChangeFault(faults)
    return Change(sections, names)


def _put_sections(put: typing.Any, faults: list[str]) -> dict[str, PutSection]:
    if not isinstance(put, dict):
        faults.append("put: expected an object of sections")
        return {}
    return {
        section: PutSection(_items_of(section, rows, faults), isinstance(rows, list)) for section, rows in put.items()
    }


def _items_of(section: str, rows: typing.Any, faults: list[str]) -> dict[str, Item]:
    if isinstance(rows, dict):
        return dict(rows)
    if not isinstance(rows, list):
        faults.append(f"put.{section}: expected a list of items")
        return {}
    found: dict[str, Item] = {}
    for position, row in enumerate(rows):
        name = _name_of(row)
        if not name:
            faults.append(f"put.{section}.{position}: expected an object with a name")
        elif name in found:
            faults.append(f"put.{section}.{position}: {name!r} stands twice")
        else:
            found[name] = row
    return found


def _names(remove: typing.Any, faults: list[str]) -> dict[str, list[str]]:
    if not isinstance(remove, dict):
        faults.append("remove: expected an object of sections")
        return {}
    found: dict[str, list[str]] = {}
    for section, names in remove.items():
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            faults.append(f"remove.{section}: expected a list of names")
        elif len(set(names)) < len(names):
            faults.append(f"remove.{section}: a name stands twice")
        else:
            found[section] = names
    return found


def applied(document: Document, change: Change) -> Document:
    """A copy of the document with the change in it; raises ChangeFault, and changes nothing, if it does not fit.

    An item that is put takes the place of the one of its name, or comes last.
    """
    faults: list[str] = []
    result = dict(document)
    for section in [*change.put, *(s for s in change.remove if s not in change.put)]:
        put, names = change.put.get(section, NOTHING), change.remove.get(section, [])
        former = document.get(section, [] if put.as_list else {})
        if isinstance(former, list) and (put.as_list or not put.items):
            result[section] = _changed_list(section, former, put.items, names, faults)
        elif isinstance(former, dict) and not put.as_list:
            result[section] = _changed_object(section, former, put.items, names, faults)
        elif isinstance(former, list):
            faults.append(f"put.{section}: expected a list of items")
        else:
            faults.append(f"{section}: this section has no list of named items")
    if faults:
        raise ChangeFault(faults)
    return result


def _changed_list(
    section: str, former: list[Item], items: dict[str, Item], names: list[str], faults: list[str]
) -> list[Item]:
    present = [_name_of(row) for row in former]
    faults += _unknown(section, names, present)
    kept = [items.get(name, row) for name, row in zip(present, former, strict=True) if name not in names]
    return kept + [row for name, row in items.items() if name not in present]


def _name_of(row: Item) -> str:
    """The name of an item of a list, "" if it has none."""
    name = row.get("name") if isinstance(row, dict) else None
    return name if isinstance(name, str) else ""


def _changed_object(
    section: str, former: dict[str, Item], items: dict[str, Item], names: list[str], faults: list[str]
) -> dict[str, Item]:
    faults += _unknown(section, names, former)
    return {name: item for name, item in {**former, **items}.items() if name not in names}


def _unknown(section: str, names: list[str], present: collections.abc.Collection[typing.Any]) -> list[str]:
    return [f"remove.{section}: there is no {name!r}" for name in names if name not in present]
