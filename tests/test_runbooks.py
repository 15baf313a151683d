"""Runbooks: invalid ones do nothing, and each shipped one runs on a real fleet."""

import json
import re
import shutil
import signal

import pytest

import tests.fleets as fleets
import tools.fleet as fleet_module
import tools.runbook as runbook

VALID_RUNBOOK = """
purpose: test
needs: {name: a keeper}
before: [{check: keepers_agree}]
steps: [{check: keeper_is_member, with: {name: "{name}"}}]
"""


@pytest.mark.parametrize(
    "old, new, place",
    [
        ("purpose: test", "purpose: [", "line"),
        ("purpose: test", "purpse: test", "purpse"),
        ("check: keepers_agree", "check: keepers_argue", "before.0"),
        ("check: keepers_agree", "do: count_bounces", "before.0"),
        ("check: keeper_is_member", "do: fly", "steps.0"),
        ('"{name}"', '"{nome}"', "steps.0"),
        ("with: {name", "with: {title", "steps.0"),
        ("steps: [", "steps: [] # [", "steps"),
        ("check: keeper_is_member, with", "check: keeper_is_member, ask: x, with", "steps.0"),
    ],
)
def test_an_invalid_runbook_gives_one_error_with_its_place(tmp_path, old, new, place):
    path = tmp_path / "b.yaml"
    path.write_text(VALID_RUNBOOK)
    runbook.load(str(path))
    path.write_text(VALID_RUNBOOK.replace(old, new))
    with pytest.raises(runbook.RunbookError, match=re.escape(place)):
        runbook.load(str(path))


def test_unknown_runbook_and_wrong_values_are_errors():
    with pytest.raises(runbook.RunbookError, match="swap-keeper"):
        runbook.load("no-such-book")
    book = runbook.load("swap-keeper")
    with pytest.raises(runbook.RunbookError, match="needs new"):
        runbook.Run(book, {"old": "x"}, ["127.0.0.1:1"], [], None)
    with pytest.raises(runbook.RunbookError, match="unknown name odd"):
        runbook.Run(book, {"old": "x", "new": "y", "odd": "z"}, ["127.0.0.1:1"], [], None)


class ManualSteps:
    """Performs, on the fleet of a test, the steps that a runbook asks of a person."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.actions = [
            (r"start mothshed-keep for (\S+)", self.new_keeper),
            (r"stop (keep-\d) politely", self.stop),
            (r"wipe the data folder of (\S+)", self.wipe),
            (r"stop the router at (\S+)", self.stop_router),
            (r"start the router at (\S+)", self.start_router),
            (r"start the replica (\S+)", lambda name: fleet.add_replica(name, 9)),
            (r"list (\S+) as leaving", lambda name: fleet.set_listed({"name": name, "state": "leaving"})),
            (r"stop (replica-\d)", self.fleet.kill),
        ]

    def __call__(self, text):
        for pattern, action in self.actions:
            match = re.search(pattern, text)
            if match:
                action(match.group(1))
                return
        raise AssertionError(f"no action for the step: {text}")

    def new_keeper(self, name):
        seeds = self.fleet.settings["keep-1"]["seeds"]
        self.fleet.add_keeper(name, self.fleet.free_address(40), "mx-a", seeds)

    def stop(self, name):
        self.fleet.signal(name, signal.SIGTERM)
        assert self.fleet.processes[name].wait(30) == 0

    def wipe(self, name):
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.settings[name]["data"])
        self.fleet.relaunch(name)

    def router_name(self, address):
        return next(name for name, settings in self.fleet.settings.items() if settings["http"] == address)

    def stop_router(self, address):
        self.stop(self.router_name(address))

    def start_router(self, address):
        self.fleet.relaunch(self.router_name(address))


def test_every_shipped_runbook_runs_on_a_fleet(tmp_path):
    with fleets.serving(tmp_path, 3, 3) as fleet:
        routers = [settings["http"] for name, settings in fleet.settings.items() if name.startswith("route")]
        lines = []

        def execute(title, dry_run=False, **values):
            runbook.Run(
                runbook.load(title), values, fleet.keepers(), routers, ManualSteps(fleet), lines.append
            ).execute(dry_run)

        new = tmp_path / "new.json"
        new.write_text(json.dumps(fleet_module.document("patinetes", note="second")))
        execute("roll-out", dry_run=True, file=str(new))
        assert fleet.config()["latest"] == 1 and any(line.startswith("would  do     apply_document") for line in lines)
        execute("roll-out", file=str(new))
        assert fleet.config()["document"]["note"] == "second"
        execute("roll-back", sequence=1)
        assert (fleet.config()["active"], "note" in fleet.config()["document"]) == (3, False)
        with pytest.raises(runbook.StepFailed, match="sequence 99"):
            execute("roll-back", sequence=99)
        execute("diagnose-bounces")
        execute("replace-replica", old="replica-3", new="replica-9")
        with pytest.raises(runbook.StepFailed, match="replica-3"):
            execute("replace-replica", old="replica-3", new="replica-10")
        assert "replica-10" not in fleet.processes  # stopped before the first step
        execute("drain-router", address=routers[1])
        execute("recover-disk-machine", name="keep-2")
        execute("swap-keeper", old=fleet.leader(), new="keep-4")
        assert fleet.config()["active"] == 3
