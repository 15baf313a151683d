"""Runs a runbook: checks first, then steps, stopping at the first that fails.

A runbook is a YAML file: its purpose, the values that it needs, the checks that
must hold before anything is done, and the steps. Each step is one of check (with
an optional time limit in seconds), do, or ask. Everything is validated before
anything runs: unknown fields, checks, actions or values are named with their place.
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

RUNBOOK_FOLDER = pathlib.Path(__file__).parent / "runbooks"
CHECK_INTERVAL_S = 0.2  # between two attempts of a check with a time limit
ARGUMENTS_SCHEMA = voluptuous.Any({}, {str: voluptuous.Any(str, int)})
STEP_SCHEMA = voluptuous.All(
    {
        voluptuous.Exclusive("check", "verb"): voluptuous.In(sorted(verbs.CHECKS)),
        voluptuous.Exclusive("do", "verb"): voluptuous.In(sorted(verbs.ACTIONS)),
        voluptuous.Exclusive("ask", "verb"): str,
        voluptuous.Optional("with", default={}): ARGUMENTS_SCHEMA,
        voluptuous.Optional("within"): voluptuous.All(int, voluptuous.Range(min=1, max=600)),
    },
    voluptuous.Length(min=1),
)
RUNBOOK_SCHEMA = voluptuous.Schema(
    {
        "purpose": str,
        "needs": voluptuous.Any({}, {str: str}),
        "before": [STEP_SCHEMA],
        "steps": voluptuous.All([STEP_SCHEMA], voluptuous.Length(min=1)),
    },
    required=True,
)


class RunbookError(Exception):
    """The runbook or its values are invalid; nothing was done."""


class StepFailed(Exception):
    """A check does not hold or an action failed; later steps were not started."""


def load(name):
    path = pathlib.Path(name) if name.endswith(".yaml") else RUNBOOK_FOLDER / f"{name}.yaml"
    try:
        runbook = yaml.safe_load(path.read_text())
    except OSError as error:
        known = ", ".join(sorted(file.stem for file in RUNBOOK_FOLDER.glob("*.yaml")))
        raise RunbookError(f"{name}: no such runbook; available: {known}") from error
    except yaml.YAMLError as error:
        raise RunbookError(f"{path}: {' '.join(str(error).split())}") from error
    try:
        runbook = RUNBOOK_SCHEMA(runbook)
    except voluptuous.MultipleInvalid as invalid:
        raise RunbookError(
            "; ".join(
                f"{path.name}: {configuration.error_path(error)}: {error.error_message}" for error in invalid.errors
            )
        ) from invalid
    for section in ("before", "steps"):
        for number, step in enumerate(runbook[section]):
            validate_step(path.name, f"{section}.{number}", step, runbook["needs"])
    return runbook


def validate_step(file, place, step, needs):
    kinds = [kind for kind in ("check", "do", "ask") if kind in step]
    if len(kinds) != 1:
        raise RunbookError(f"{file}: {place}: expected one of check, do, ask")
    if place.startswith("before") and kinds != ["check"]:
        raise RunbookError(f"{file}: {place}: only checks are allowed before the steps")
    texts = list(map(str, step["with"].values())) + ([step["ask"]] if "ask" in step else [])
    for name in re.findall(r"\{(\w*)\}", " ".join(texts)):
        if name not in needs:
            raise RunbookError(f"{file}: {place}: {{{name}}} is not among the needs {sorted(needs)}")
    if "ask" not in step:
        function = (verbs.CHECKS | verbs.ACTIONS)[step[kinds[0]]]
        parameters = list(inspect.signature(function).parameters)[1:]
        if sorted(parameters) != sorted(step["with"]):
            raise RunbookError(f"{file}: {place}: {step[kinds[0]]} takes {parameters}, given {sorted(step['with'])}")


class Run:
    """One execution of a runbook."""

    def __init__(self, runbook, values, keepers, routers, ask_person, out=print):
        missing = [f"{name} ({purpose})" for name, purpose in runbook["needs"].items() if name not in values]
        extra = [name for name in values if name not in runbook["needs"]]
        if missing or extra:
            raise RunbookError(
                "; ".join([f"needs {need}" for need in missing] + [f"unknown name {name}" for name in extra])
            )
        self.runbook, self.values, self.ask_person, self.out = runbook, values, ask_person, out
        self.keepers, self.routers, self.facts = list(keepers), list(routers), {}

    def new_request_id(self):
        return secrets.token_hex(8)

    def fill_in(self, text):
        return re.sub(r"\{(\w+)\}", lambda match: str(self.values[match.group(1)]), str(text))

    def describe(self, step):
        if "ask" in step:
            return "ask    " + self.fill_in(step["ask"])
        kind = "check" if "check" in step else "do"
        arguments = ", ".join(f"{name}={self.fill_in(value)}" for name, value in step["with"].items())
        timeout = f" (within {step['within']} s)" if "within" in step else ""
        return f"{kind:6} {step[kind]} {arguments}{timeout}".rstrip()

    def execute(self, dry_run=False):
        self.out(self.runbook["purpose"].strip())
        for step in self.runbook["before"]:
            self.run_step(step)
        for step in self.runbook["steps"]:
            if dry_run:
                self.out("would  " + self.describe(step))
            else:
                self.run_step(step)

    def run_step(self, step):
        self.out(self.describe(step))
        arguments = {name: self.fill_in(value) for name, value in step["with"].items()}
        if "ask" in step:
            self.ask_person(self.fill_in(step["ask"]))
        elif "do" in step:
            try:
                self.out("       " + verbs.ACTIONS[step["do"]](self, **arguments).replace("\n", "\n       "))
            except Exception as error:
                raise StepFailed(f"{step['do']}: {error}") from error
        else:
            self.wait_for_check(step, arguments)

    def wait_for_check(self, step, arguments):
        deadline = time.monotonic() + step.get("within", 0)
        while True:
            problem = verbs.CHECKS[step["check"]](self, **arguments)
            if not problem:
                return
            if time.monotonic() >= deadline:
                raise StepFailed(f"{step['check']}: {problem}")
            time.sleep(CHECK_INTERVAL_S)
