"""Checks of names and type hints: standard terms, no single letters, full annotations; exceptions are listed."""

import ast
import json
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
LISTS = json.loads((ROOT / "tests" / "not_yet_renamed.json").read_text())
# number of entries in not_yet_renamed.json: lower it when an entry is removed, never raise it
LISTED_AT_MOST = {"metaphors": 18, "single_letters": 0, "without_hints": 474}
SHORT_LOOP = 5  # lines; in a for loop of at most this length the loop variable may be a single letter
# figurative word -> standard term to use instead
METAPHORS = {
    "beat": "heartbeat, interval",
    "bearing": "load",
    "bounce": "reject, rejection",
    "bounced": "rejected",
    "cell": "zone",
    "desk": "event loop, mailbox, environment",
    "hear": "handle, receive",
    "heard": "received",
    "holder": "leader, lease_holder",
    "owner": "leader",
    "seat": "member, voter",
    "stand": "campaign, candidacy",
    "standing": "fence, candidacy",
    "sure": "has_quorum, lease_valid",
    "tell": "send, notify",
    "told": "sent, notified",
    "usage": "load",
}
STANDARD = ("lease_holder",)  # standard terms that contain a refused word
REFUSED = re.compile(rf"(?:^|_)({'|'.join(METAPHORS)})s?(?=_|$)")
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)
COMPREHENSIONS = (ast.ListComp, ast.SetComp, ast.DictComp, ast.GeneratorExp)


def sources(*folders):
    return [path for folder in folders for path in sorted((ROOT / folder).rglob("*.py"))]


def own_arguments(function):
    arguments = function.args
    rows = [*arguments.posonlyargs, *arguments.args, *arguments.kwonlyargs, arguments.vararg, arguments.kwarg]
    return [argument for argument in rows if argument is not None]


def defined_names(node):
    """Yield the function, class, argument, variable and attribute names that one node defines."""
    if isinstance(node, (*FUNCTIONS, ast.ClassDef)):
        yield node.name
    if isinstance(node, (*FUNCTIONS, ast.Lambda)):
        yield from (argument.arg for argument in own_arguments(node))
    if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
        yield node.id
    if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
        yield node.attr


def refused_words(name):
    words = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower()
    for term in STANDARD:
        words = words.replace(term, "")
    return REFUSED.findall(words)


def metaphors(tree):
    return {name for node in ast.walk(tree) for name in defined_names(node) if refused_words(name)}


def single_letters(tree):
    """Return single-letter names outside comprehensions, lambdas and short loops, except `_` for unused values."""
    found = set()

    def visit(node, short):
        if isinstance(node, (*COMPREHENSIONS, ast.Lambda)):
            return
        if not short:
            found.update(name for name in defined_names(node) if len(name) == 1 and name != "_")
        loop = isinstance(node, ast.For) and node.end_lineno - node.lineno < SHORT_LOOP
        for field, value in ast.iter_fields(node):
            children = value if isinstance(value, list) else [value]
            for child in children:
                if isinstance(child, ast.AST):
                    visit(child, short or (loop and field == "target"))

    visit(tree, False)
    return found


def without_hints(tree):
    """Return the functions whose signature is not fully annotated."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, FUNCTIONS):
            open_arguments = [a.arg for a in own_arguments(node) if not a.annotation and a.arg not in ("self", "cls")]
            if open_arguments or node.returns is None:
                found.add(node.name)
    return found


CHECKS = {
    "metaphors": (metaphors, ("mothshed", "tools", "platform")),
    "single_letters": (single_letters, ("mothshed", "tools", "platform")),
    "without_hints": (without_hints, ("mothshed",)),
}


def findings(check):
    """Map each file that has findings to its sorted findings."""
    function, folders = CHECKS[check]
    rows = {path.relative_to(ROOT).as_posix(): function(ast.parse(path.read_text())) for path in sources(*folders)}
    return {name: sorted(found) for name, found in rows.items() if found}


@pytest.mark.parametrize("check", CHECKS)
def test_only_listed_names_are_not_yet_standard(check):
    new = {
        name: extra
        for name, found in findings(check).items()
        if (extra := sorted(set(found) - set(LISTS[check].get(name, ()))))
    }
    assert new == {}, f"standard terms: {METAPHORS}" if check == "metaphors" else check


@pytest.mark.parametrize("check", CHECKS)
def test_the_list_names_nothing_that_is_mended(check):
    found = findings(check)
    assert {
        name: gone for name, listed in LISTS[check].items() if (gone := sorted(set(listed) - set(found.get(name, ()))))
    } == {}


@pytest.mark.parametrize("check", CHECKS)
def test_the_list_only_shrinks(check):
    assert sum(len(set(names)) for names in LISTS[check].values()) == LISTED_AT_MOST[check]


@pytest.mark.parametrize("name", ["beat", "usage_owner", "SeatList", "on_bounce", "cells", "is_sure", "order_holder"])
def test_the_old_words_are_refused(name):
    assert metaphors(ast.parse(f"def {name}(): pass")) == {name}
    assert metaphors(ast.parse(f"def f({name}): pass")) == {name}
    assert metaphors(ast.parse(f"self.{name} = 1")) == {name}


@pytest.mark.parametrize("name", ["heartbeat", "leader", "zone", "timeout", "version", "deadline", "lease_holder"])
def test_standard_terms_are_taken(name):
    assert metaphors(ast.parse(f"def {name}({name}): self.{name} = 1")) == set()


@pytest.mark.parametrize(
    "text, found",
    [
        ("def f(): pass", {"f"}),
        ("def go(m): pass", {"m"}),
        ("m = 1", {"m"}),
        ("self.m = 1", {"m"}),
        ("with a() as m: pass", {"m"}),
        ("for i in x:\n" + "    go()\n" * 5, {"i"}),
        ("for i in x:\n    m = 1", {"m"}),
        ("for i in x:\n    go()", set()),
        ("[i for i in x]", set()),
        ("go(lambda i: i)", set()),
        ("_ = 1", set()),
    ],
)
def test_single_letters_are_refused_outside_the_smallest_scopes(text, found):
    assert single_letters(ast.parse(text)) == found


@pytest.mark.parametrize(
    "text, found",
    [
        ("def go(x: int) -> int: pass", set()),
        ("def go(self) -> None: pass", set()),
        ("def go(x) -> int: pass", {"go"}),
        ("def go(x: int): pass", {"go"}),
        ("def go(*rows) -> None: pass", {"go"}),
    ],
)
def test_half_a_signature_counts_as_none(text, found):
    assert without_hints(ast.parse(text)) == found
