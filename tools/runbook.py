"""Runs a runbook: checks first, then steps, stopping at the first that fails.

A runbook is a YAML file: what it is for, what it needs to be told, the checks that
must hold before anything is done, and the steps. Each step is one of check (with
an optional patience in seconds), do, or ask. Everything is validated before
anything runs: unknown words, checks, deeds or needs are named with their place.
A dry run evaluates the preconditions and shows the steps without doing them.
"""

import inspect
import pathlib
import re
import secrets
import time

import voluptuous
import yaml

import mothshed.configuration.document as configuration
import tools.runbook_verbs as verbs

FOLDER = pathlib.Path(__file__).parent / "runbooks"
PAUSE = 0.2  # s between two tries of a check with patience
WITH = voluptuous.Any({}, {str: voluptuous.Any(str, int)})
STEP = voluptuous.All(
    {
        voluptuous.Exclusive("check", "verb"): voluptuous.In(sorted(verbs.CHECKS)),
        voluptuous.Exclusive("do", "verb"): voluptuous.In(sorted(verbs.DEEDS)),
        voluptuous.Exclusive("ask", "verb"): str,
        voluptuous.Optional("with", default={}): WITH,
        voluptuous.Optional("within"): voluptuous.All(int, voluptuous.Range(min=1, max=600)),
    },
    voluptuous.Length(min=1),
)
BOOK = voluptuous.Schema(
    {
        "purpose": str,
        "needs": voluptuous.Any({}, {str: str}),
        "before": [STEP],
        "steps": voluptuous.All([STEP], voluptuous.Length(min=1)),
    },
    required=True,
)


class BookFault(Exception):
    """A runbook that cannot be run as given; nothing was done."""


class StepFailed(Exception):
    """A check that does not hold or a deed that was not done; later steps were not begun."""


def load(name):
    path = pathlib.Path(name) if name.endswith(".yaml") else FOLDER / f"{name}.yaml"
    try:
        book = yaml.safe_load(path.read_text())
    except OSError as e:
        known = ", ".join(sorted(p.stem for p in FOLDER.glob("*.yaml")))
        raise BookFault(f"{name}: no such runbook; there are {known}") from e
    except yaml.YAMLError as e:
        raise BookFault(f"{path}: {' '.join(str(e).split())}") from e
    try:
        book = BOOK(book)
    except voluptuous.MultipleInvalid as many:
        raise BookFault(
            "; ".join(f"{path.name}: {configuration.error_path(e)}: {e.error_message}" for e in many.errors)
        ) from many
    for place in ("before", "steps"):
        for at, step in enumerate(book[place]):
            inspect_step(path.name, f"{place}.{at}", step, book["needs"])
    return book


def inspect_step(file, place, step, needs):
    kinds = [k for k in ("check", "do", "ask") if k in step]
    if len(kinds) != 1:
        raise BookFault(f"{file}: {place}: expected one of check, do, ask")
    if place.startswith("before") and kinds != ["check"]:
        raise BookFault(f"{file}: {place}: only checks stand before the steps")
    texts = list(map(str, step["with"].values())) + ([step["ask"]] if "ask" in step else [])
    for word in re.findall(r"\{(\w*)\}", " ".join(texts)):
        if word not in needs:
            raise BookFault(f"{file}: {place}: {{{word}}} is not among the needs {sorted(needs)}")
    if "ask" not in step:
        call = (verbs.CHECKS | verbs.DEEDS)[step[kinds[0]]]
        wants = list(inspect.signature(call).parameters)[1:]
        if sorted(wants) != sorted(step["with"]):
            raise BookFault(f"{file}: {place}: {step[kinds[0]]} takes {wants}, given {sorted(step['with'])}")


class Run:
    """One carrying-out of a runbook."""

    def __init__(self, book, given, keepers, routers, hands, out=print):
        missing = [f"{n} ({why})" for n, why in book["needs"].items() if n not in given]
        extra = [n for n in given if n not in book["needs"]]
        if missing or extra:
            raise BookFault("; ".join([f"needs {m}" for m in missing] + [f"does not know {n}" for n in extra]))
        self.book, self.given, self.hands, self.out = book, given, hands, out
        self.keepers, self.routers, self.facts = list(keepers), list(routers), {}

    def mark(self):
        return secrets.token_hex(8)

    def fill(self, text):
        return re.sub(r"\{(\w+)\}", lambda m: str(self.given[m.group(1)]), str(text))

    def line(self, step):
        if "ask" in step:
            return "ask    " + self.fill(step["ask"])
        kind = "check" if "check" in step else "do"
        words = ", ".join(f"{k}={self.fill(v)}" for k, v in step["with"].items())
        patience = f" (within {step['within']} s)" if "within" in step else ""
        return f"{kind:6} {step[kind]} {words}{patience}".rstrip()

    def go(self, dry=False):
        self.out(self.book["purpose"].strip())
        for step in self.book["before"]:
            self.step(step)
        for step in self.book["steps"]:
            if dry:
                self.out("would  " + self.line(step))
            else:
                self.step(step)

    def step(self, step):
        self.out(self.line(step))
        words = {k: self.fill(v) for k, v in step["with"].items()}
        if "ask" in step:
            self.hands(self.fill(step["ask"]))
        elif "do" in step:
            try:
                self.out("       " + verbs.DEEDS[step["do"]](self, **words).replace("\n", "\n       "))
            except Exception as e:
                raise StepFailed(f"{step['do']}: {e}") from e
        else:
            self.check(step, words)

    def check(self, step, words):
        until = time.monotonic() + step.get("within", 0)
        while True:
            wrong = verbs.CHECKS[step["check"]](self, **words)
            if not wrong:
                return
            if time.monotonic() >= until:
                raise StepFailed(f"{step['check']}: {wrong}")
            time.sleep(PAUSE)
