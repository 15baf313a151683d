"""The first start of a system: one group comes of it whatever is killed meanwhile, and a lost disk forms none.

More seeds: MOTHSHED_FIRST_START_SEEDS=2000 python -m pytest tests/test_first_start.py
"""

import os
import random

import pytest

import mothshed.constants as constants
import mothshed.control_plane.first_start as first_start
import mothshed.control_plane.reconfiguration as reconfiguration
import tests.all_orders as all_orders
import tests.first_start_group as first_start_group
import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site

SEEDS = int(os.environ.get("MOTHSHED_FIRST_START_SEEDS", "150"))
STEPS = 120
STEP_S = 0.05
MAX_FORMING_STEPS = 40  # deliveries and ticks within which an undisturbed group is on all disks


def advance(group):
    """Run one step of an undisturbed start: time passes, keepers tick, one message arrives."""
    group.pool.time += STEP_S
    for name in sorted(group.members):
        group.tick(name)
    for _message in range(3):
        group.deliver(0)
        group.check()


def started_group(steps):
    """Return a group after so many steps of its first start."""
    group = first_start_group.FirstStartGroup()
    for _step in range(steps):
        advance(group)
    return group


# Incident review/3 (CONFIG): keepers that were killed in their first start never formed their groups.
@pytest.mark.parametrize("power_loss", [False, True])
@pytest.mark.parametrize("killed", ["A", "B", "C", "AB", "AC", "BC", "ABC"])
@pytest.mark.parametrize("step", range(MAX_FORMING_STEPS))
def test_keepers_killed_at_any_step_of_their_first_start_form_their_group(step, killed, power_loss):
    group = started_group(step)
    for name in killed:
        (group.crash if power_loss else group.kill)(name)
    for _step in range(3):
        advance(group)
    group.converge()
    assert not any(disk.read(first_start.FILE_NAME) for disk in group.disks.values())


@pytest.mark.parametrize("later", range(1, 8, 2))
@pytest.mark.parametrize("step", range(0, 24, 3))
def test_keepers_killed_again_and_again_in_their_first_start_form_their_group(step, later):
    group = started_group(step)
    for names in ("AB", "BC", "ABC", "A"):
        for name in names:
            group.kill(name)
        for _step in range(later):
            advance(group)
        for name in sorted(group.down)[:-1]:  # the next kill comes before all are back
            group.boot(name)
        advance(group)
    group.converge()


def run_walk(seed, with_wipes):
    """Run a random walk of kills, losses of power and of messages, and of late and doubled messages."""
    rng, group = random.Random(seed), first_start_group.FirstStartGroup()
    for _step in range(STEPS):
        group.pool.time += rng.choice([0.0, STEP_S, 0.3])
        kind, name = rng.random(), rng.choice(group.names)
        if kind < 0.35:
            group.tick(name)
        elif kind < 0.75:
            group.deliver(rng.randrange(1000))
        elif kind < 0.80:
            group.duplicate(rng.randrange(1000))
        elif kind < 0.85:
            group.lose(rng.randrange(1000))
        elif kind < 0.90:
            for other in rng.sample(group.names, rng.randrange(1, 4)):
                (group.crash if rng.random() < 0.5 else group.kill)(other)
        elif kind < 0.92 and with_wipes:
            group.wipe(name)
        elif group.down:
            group.boot(rng.choice(sorted(group.down)))
        group.check()
    return group


@pytest.mark.parametrize("seed", range(SEEDS))
def test_one_group_is_formed_in_a_random_walk_of_kills(seed):
    run_walk(seed, with_wipes=False).finish()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_second_group_is_formed_in_a_random_walk_of_kills_and_lost_disks(seed):
    group = run_walk(seed, with_wipes=True)
    for name in sorted(group.down):
        group.boot(name)
    for _step in range(60):
        advance(group)


@pytest.mark.parametrize("step", range(0, MAX_FORMING_STEPS, 2))
def test_a_keeper_that_lost_its_disk_takes_no_part_in_forming_a_group(step):
    group = started_group(step)
    group.wipe("A")
    group.boot("A")
    while any(message[1] == group.address("A") for message in group.pool.waiting):  # what it said before
        advance(group)
    founders = set(group.founders)
    for _step in range(40):
        advance(group)
    assert group.founders == founders and not any("A/2" in members for members in group.founders)


@pytest.mark.parametrize("step", range(0, MAX_FORMING_STEPS, 2))
def test_a_keeper_back_at_another_address_forms_no_second_group(step):
    group = started_group(step)
    group.move("A")
    for _step in range(3):
        advance(group)
    group.boot("A")
    for _step in range(60):
        advance(group)
    if all(not group.members[name].log.is_empty for name in "BC"):  # the group stood: it gets in
        group.converge()


def test_the_record_is_written_before_the_id_and_kept_until_the_group_stands():
    disk = all_orders.disk()
    assert first_start.FirstStart(disk, ["a:1", "b:1"]).addresses == ["a:1", "b:1"]
    disk.crash()
    again = first_start.FirstStart(disk, [])
    assert again.addresses == ["a:1", "b:1"]
    again.forget()
    again.forget()
    disk.crash()
    assert first_start.FirstStart(disk, []).addresses == []


def test_a_record_that_can_not_be_removed_does_no_harm():
    disk = all_orders.disk()
    remembered = first_start.FirstStart(disk, ["a:1"])
    disk.full = True
    remembered.forget()
    disk.full = False
    remembered.forget()
    assert first_start.FirstStart(disk, []).addresses == []


def breaks_a_rule(seeds, with_wipes):
    """Return whether a walk of these seeds fails."""
    for seed in seeds:
        try:
            group = run_walk(seed, with_wipes)
            if not with_wipes:
                group.finish()
        except AssertionError:
            return True
    return False


def test_the_walks_detect_a_keeper_that_forgets_its_first_start(monkeypatch):
    monkeypatch.setattr(first_start.FirstStart, "__init__", forget_at_once)
    assert breaks_a_rule(range(20), with_wipes=False)


def forget_at_once(self, disk, configured_addresses):
    self.disk, self.addresses, self.is_recorded = disk, configured_addresses, False
    self.lock = first_start.threading.Lock()


def form_at_one_keeper_then_lose_a_disk(group):
    """C forms the group; A has not heard of B yet, which loses its disk and is asked by A again."""
    for name in group.names:
        group.tick(name)
    deliver(group, kinds=("born_ask",))
    lose(group, sender="B", to="A")
    deliver(group, kinds=("born_say",), to=("A", "C"))
    assert [name for name in group.names if not group.members[name].log.is_empty] == ["C"]
    group.pool.waiting.clear()
    group.wipe("B")
    group.boot("B")
    group.pool.time += constants.JOIN_REQUEST_INTERVAL_S
    group.tick("A")
    lose(group, to="C")
    deliver(group, kinds=("born_ask", "born_say"))


def deliver(group, kinds, to=("A", "B", "C")):
    """Deliver the waiting messages of these kinds to these keepers, in order."""
    addresses = [group.address(name) for name in to]
    while indexes := [n for n, row in enumerate(group.pool.waiting) if row[2] in kinds and row[0] in addresses]:
        group.pool.deliver(indexes[0])
        group.check()


def lose(group, to, sender=None):
    """Lose the waiting messages to a keeper, all or those of one sender."""
    group.pool.waiting[:] = [
        row
        for row in group.pool.waiting
        if row[0] != group.address(to) or sender is not None and row[1] != group.address(sender)
    ]


def test_a_keeper_that_lost_its_disk_while_others_form_the_group_forms_no_second_one():
    group = first_start_group.FirstStartGroup()
    form_at_one_keeper_then_lose_a_disk(group)
    assert group.members["A"].log.is_empty
    for _step in range(40):
        advance(group)
    group.converge()  # C has the group: A gets it, and the new B joins


def test_a_second_group_is_formed_if_a_lost_disk_counts_as_empty(monkeypatch):
    monkeypatch.setattr(reconfiguration.Reconfiguration, "is_initial", True)
    with pytest.raises(AssertionError, match="two groups were bootstrapped"):
        form_at_one_keeper_then_lose_a_disk(first_start_group.FirstStartGroup())


def test_a_keeper_forgets_its_first_start_once_all_its_groups_are_on_its_disk(tmp_path):
    nodes = platform_nodes.Nodes(tmp_path)  # waits until the keeper leads
    try:
        platform_site.wait_until(lambda: not (tmp_path / first_start.FILE_NAME).exists())
        assert not any(member.log.is_empty for member in nodes.keeper.members)
    finally:
        nodes.stop()
