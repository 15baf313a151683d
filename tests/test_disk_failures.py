"""A keeper whose disk fails stays up, and reopens its parts once the disk accepts writes."""

import types

import pytest

import mothshed.constants as constants
import mothshed.control_plane.keeper as keeper
import mothshed.storage.disk as disk
import tools.simulator.fleet as simulate_fleet


class FailedKeeper:
    """A keeper with a stopped part and a disk that refuses some writes; records what the keeper does."""

    def __init__(self, refusals):
        self.refusals, self.log = refusals, []
        self.waiting_for_disk = False
        self.members = [types.SimpleNamespace(stopped_by_disk_fault=part == 1) for part in range(3)]
        self.environment = types.SimpleNamespace(sleep=lambda span: self.log.append("pause"), spawn=self.log.append)
        self.disk = types.SimpleNamespace(put=self.put)

    def put(self, name, data):
        if self.refusals:
            self.refusals -= 1
            raise disk.DiskError("no space")

    def reopen_parts(self):
        self.log.append("opened")
        for part in self.members:
            part.stopped_by_disk_fault = False

    def wait_for_disk(self):
        keeper.Keeper.wait_for_disk(self)

    def disk_failed(self):
        keeper.Keeper.disk_failed(self)


def test_a_keeper_whose_disk_failed_reopens_its_parts_once_the_disk_accepts_writes():
    failed = FailedKeeper(refusals=3)
    failed.disk_failed()
    failed.disk_failed()  # a second member on the same disk
    assert len(failed.log) == 1
    failed.log.pop()()
    assert failed.log == ["pause"] * 4 + ["opened"] and not failed.waiting_for_disk


def test_a_part_that_fails_while_the_others_are_reopened_is_reopened_too():
    failed = FailedKeeper(refusals=0)

    def reopen_some(once=[True]):  # noqa: B006
        failed.log.append("opened")
        failed.members[1].stopped_by_disk_fault = False
        failed.members[2].stopped_by_disk_fault = bool(once and once.pop())

    failed.reopen_parts = reopen_some
    failed.disk_failed()
    failed.log.pop()()
    assert failed.log == ["pause", "opened", "pause", "opened"]


@pytest.mark.parametrize("part", [0, 1])
def test_a_keeper_survives_a_full_disk_and_serves_again_with_its_state(part):
    """The process continues with its votes and entries, and no other keeper replaces it."""
    f = simulate_fleet.SimFleet(f"full-{part}")
    f.ready()
    name = f.leader(part)
    one, member_id = f.processes[name], f.processes[name].member_id
    f.disks[name].full = True
    f.operator(lambda: f.apply("while-full"))
    f.run(3)
    stopped = [number for number, member in enumerate(one.members) if member.chart.state == "stopped"]
    assert stopped and f.leader(0) not in (None, name if 0 in stopped else None)
    f.disks[name].full = False
    f.run(5)
    assert f.processes[name] is one and one.condition()["serving"]
    assert [member.member_id for member in one.members] == [member_id] * constants.PART_COUNT
    assert {m.machine.latest for m in (f.processes[n].members[0] for n in f.names("keep"))} == {len(f.writes)}
