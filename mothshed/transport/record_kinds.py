"""Schema of the records between the system's own processes, and its compatibility rules.

Each kind has a unique number and fields in a fixed order. A field is `name:code`;
codes: q integer, d float, ? boolean, s string, j a JSON value (documents and lists).

A fleet is upgraded process by process, so two releases exchange records. Therefore:

- a number is never reused, and no field is renamed, moved or removed;
- a new field is appended as `name:code@RELEASE=DEFAULT`, with the default in JSON: a receiver uses it for
  records of older releases, and older receivers skip the field;
- a new kind names the release that added it; older receivers skip such records.

Each release that adds a field or a kind raises RECORD_FORMAT_VERSION. tests/test_releases.py compares this
table with records written by earlier releases.
"""

import collections.abc
import dataclasses
import json
import typing


@dataclasses.dataclass(frozen=True)
class Field:
    """One field. since: the release that added it; default: its value in records that lack it."""

    name: str
    code: str
    since: int = 0
    default: typing.Any = None


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of record. since: the release that added it."""

    number: int
    name: str
    fields: tuple[Field, ...]
    since: int = 0


def field(text: str) -> Field:
    """Parse the definition of a field.

    >>> field("term:q")
    Field(name='term', code='q', since=0, default=None)
    >>> field("release:q@1=0")
    Field(name='release', code='q', since=1, default=0)
    """
    name, _, rest = text.partition(":")
    code, _, added = rest.partition("@")
    if not added:
        return Field(name, code)
    since, _, default = added.partition("=")
    return Field(name, code, int(since), json.loads(default))


def kind(number: int, name: str, text: str, since: int = 0) -> Kind:
    """Define a kind; text holds the definitions of its fields."""
    return Kind(number, name, tuple(field(word) for word in text.split()), since)


def schema_violations(
    earlier: collections.abc.Iterable[Kind], later: collections.abc.Iterable[Kind], release: int
) -> list[str]:
    """The changes from the kinds of an earlier release to those of a later one that break the rules above.

    >>> before = [kind(1, "hand", "part:q")]
    >>> schema_violations(before, [kind(1, "hand", "part:q why:s@2=null"), kind(2, "fold", "part:q", 2)], 2)
    []
    >>> schema_violations(before, [kind(1, "hand", "why:s part:q"), kind(2, "fold", "part:q")], 2)
    ['hand: existing fields changed', 'hand: part added without its release', 'fold: added without its release']
    """
    violations = []
    earlier_kinds = {row.number: row for row in earlier}
    later_kinds = {row.number: row for row in later}
    for number, row in later_kinds.items():
        old = earlier_kinds.get(number)
        if old is None:
            violations += [] if row.since == release else [f"{row.name}: added without its release"]
            continue
        count = len(old.fields)
        if row.name != old.name or row.fields[:count] != old.fields:
            violations.append(f"{old.name}: existing fields changed")
        violations += [
            f"{row.name}: {new.name} added without its release" for new in row.fields[count:] if new.since != release
        ]
    violations += [f"{row.name}: removed" for number, row in earlier_kinds.items() if number not in later_kinds]
    return violations


KINDS = (
    kind(1, "hello", "address:s release:q@1=0"),
    kind(2, "shuffle", "view:j hints:j reply:?"),
    kind(3, "owe", "request:s replica:s url:s engine:s left:d"),
    kind(4, "paid", "request:s replica:s"),
    kind(5, "borrow", "mark:q need:d"),
    kind(6, "lend", "mark:q amount:d"),
    kind(7, "list_ask", "part:q number:q"),
    kind(8, "list_news", "part:q number:q held:q age:d whole:? rows:j gone:j"),
    kind(9, "usage", "part:q mark:q rows:j"),
    kind(10, "usages", "part:q mark:q rows:j"),
    # consensus
    kind(11, "born_ask", "part:q who:s address:s http:s"),
    kind(12, "born_say", "part:q who:s address:s http:s empty:? members:j"),
    kind(13, "join_ask", "part:q who:s address:s http:s"),
    kind(14, "vote_ask", "part:q term:q who:s last:q last_term:q trial:? handed:?"),
    kind(15, "vote_say", "part:q term:q who:s granted:? trial:?"),
    kind(
        16,
        "append",
        "part:q term:q who:s prev:q prev_term:q commit:q round:q echoed:q confirmed:q entries:j",
    ),
    kind(17, "append_say", "part:q term:q who:s good:? match:q round:q"),
    kind(
        18,
        "snap",
        "part:q term:q who:s index:q index_term:q offset:q total:q checksum:q piece:s",
    ),
    kind(19, "snap_say", "part:q term:q who:s index:q offset:q done:?"),
    kind(20, "leave", "part:q who:s"),
    kind(21, "leave_say", "part:q who:s finished:?"),
    kind(22, "hand", "part:q term:q who:s"),
    # configuration and leases
    kind(23, "ask", "part:q mark:q held:q staged:q takes_changes:?@2=false takes_pieces:?@3=false"),
    kind(24, "grant", "part:q mark:q length:d number:q active:q docs:j leader:s changes:j@2=[] large:j@3=[]"),
    kind(25, "news", "part:q number:q active:q docs:j changes:j@2=[] large:j@3=[]"),
    kind(26, "news_ack", "part:q number:q staged:q"),
    kind(27, "look_elsewhere", "part:q mark:q leader:s"),
    # rate limits of tenants
    kind(28, "permit_ask", "part:q mark:q sequence:q counts:j", 2),
    kind(29, "permits", "part:q mark:q sequence:q grants:j", 2),
    # large documents in pieces, for leaseholders and for members
    kind(30, "document_ask", "part:q digest:s first:q start:q end:q", 3),
    kind(31, "document_piece", "part:q digest:s first:q start:q piece:s", 3),
    kind(32, "member_document_ask", "part:q digest:s first:q start:q end:q", 3),
    kind(33, "member_document_piece", "part:q digest:s first:q start:q piece:s", 3),
)
