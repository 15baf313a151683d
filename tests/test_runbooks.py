"""Runbooks: bad ones do nothing, and each shipped one is carried out on a real fleet."""

import json
import re
import shutil
import signal

import pytest

import tests.fleets as fleets
import tools.fleet as fleet_module
import tools.runbook as runbook

GOOD = """
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
def test_a_bad_runbook_is_one_error_with_its_place(tmp_path, old, new, place):
    path = tmp_path / "b.yaml"
    path.write_text(GOOD)
    runbook.load(str(path))
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(runbook.BookFault, match=re.escape(place)):
        runbook.load(str(path))


def test_unknown_book_and_wrong_needs():
    with pytest.raises(runbook.BookFault, match="swap-keeper"):
        runbook.load("no-such-book")
    book = runbook.load("swap-keeper")
    with pytest.raises(runbook.BookFault, match="needs new"):
        runbook.Run(book, {"old": "x"}, ["127.0.0.1:1"], [], None)
    with pytest.raises(runbook.BookFault, match="does not know odd"):
        runbook.Run(book, {"old": "x", "new": "y", "odd": "z"}, ["127.0.0.1:1"], [], None)


class Hands:
    """Does what a runbook asks a person to do, on a fleet of this test."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.table = [
            (r"start mothshed-keep for (\S+)", self.new_keeper),
            (r"stop (keep-\d) politely", self.stop),
            (r"wipe the data folder of (\S+)", self.wipe),
            (r"stop the router at (\S+)", self.stop_router),
            (r"start the router at (\S+)", self.start_router),
            (r"start the replica (\S+)", lambda n: fleet.add_replica(n, 9)),
            (r"list (\S+) as leaving", lambda n: fleet.set_listed({"name": n, "state": "leaving"})),
            (r"stop (replica-\d)", self.fleet.kill),
        ]

    def __call__(self, text):
        for pattern, act in self.table:
            found = re.search(pattern, text)
            if found:
                act(found.group(1))
                return
        raise AssertionError(f"nobody knows how to: {text}")

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

    def router(self, address):
        return next(n for n, s in self.fleet.settings.items() if s["http"] == address)

    def stop_router(self, address):
        self.stop(self.router(address))

    def start_router(self, address):
        self.fleet.relaunch(self.router(address))


def test_every_shipped_runbook_on_a_fleet(tmp_path):
    with fleets.serving(tmp_path, 3, 3) as fleet:
        routers = [s["http"] for n, s in fleet.settings.items() if n.startswith("route")]
        lines = []

        def go(title, dry=False, **given):
            runbook.Run(runbook.load(title), given, fleet.keepers(), routers, Hands(fleet), lines.append).go(dry)

        new = tmp_path / "new.json"
        new.write_text(json.dumps(fleet_module.document("patinetes", note="second")))
        go("roll-out", dry=True, file=str(new))
        assert fleet.config()["latest"] == 1 and any(line.startswith("would  do     apply_document") for line in lines)
        go("roll-out", file=str(new))
        assert fleet.config()["document"]["note"] == "second"
        go("roll-back", sequence=1)
        assert (fleet.config()["active"], "note" in fleet.config()["document"]) == (3, False)
        with pytest.raises(runbook.StepFailed, match="sequence 99"):
            go("roll-back", sequence=99)
        go("diagnose-bounces")
        go("replace-replica", old="replica-3", new="replica-9")
        with pytest.raises(runbook.StepFailed, match="replica-3"):
            go("replace-replica", old="replica-3", new="replica-10")
        assert "replica-10" not in fleet.processes  # stopped before the first step
        go("drain-router", address=routers[1])
        go("recover-disk-machine", name="keep-2")
        go("swap-keeper", old=fleet.leader(), new="keep-4")
        assert fleet.config()["active"] == 3
