"""Splitting of event streams, and configuration sequences that are not consecutive; without sockets."""

import itertools
import types

import pytest

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import mothshed.control_plane.config_leader_task as config_leader_task
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.leaseholder as leaseholder
import mothshed.control_plane.member as member_module
import mothshed.http.events as events
import tests.all_orders as all_orders

TEXTS = {
    "lf": b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid: 30\ndata: \n\n",
    "crlf": b"id: 1\r\ndata: a\r\n\r\nevent: x\r\nid:2\r\ndata: id: 9\r\n\r\nid: 30 \r\n\r\n",
    "cr": b"id: 1\rdata: a\r\rid: 2\rdata: b\r\rid: 30\r\r",
    "a rest": b"id: 1\ndata: a\n\nid: 2\nda",
    "weights": b"weight-versions: 3\nid: 1\n\nid: 2\ndata: x\n\nid: 30\n\n",
}
IDS = {"lf": [1, 2, None, 30], "crlf": [1, 2, 30], "cr": [1, 2, 30], "a rest": [1, None], "weights": [1, 2, 30]}


@pytest.mark.parametrize("name", TEXTS)
def test_events_do_not_depend_on_how_the_bytes_are_split(name):
    text = TEXTS[name]
    whole = list(events.split_events([text]))
    assert [number for event, number in whole] == IDS[name] and b"".join(event for event, _number in whole) == text
    for first_cut, second_cut in itertools.combinations_with_replacement(range(len(text) + 1), 2):
        assert list(events.split_events([text[:first_cut], text[first_cut:second_cut], text[second_cut:]])) == whole
    assert list(events.split_events([bytes([b]) for b in text])) == whole


def test_no_event_is_returned_before_it_is_complete():
    text = TEXTS["crlf"]
    for end in range(len(text)):
        complete = list(events.split_events([text[:end]]))
        assert all(event.endswith(b"\r\n\r\n") for event, number in complete[:-1])
    assert list(events.split_events([])) == list(events.split_events([b""])) == []


# --- sequences that are not consecutive --------------------------------------


def stage(base, sequence, order_id, doc=None):
    return {"op": "stage", "base": base, "sequence": sequence, "doc": doc or {"n": sequence}, "by": "", "id": order_id}


def test_only_increasing_sequences_are_staged():
    machine = config_machine.ConfigMachine()
    assert machine.apply(1, stage(0, 5, "a")) == {"sequence": 5}
    assert machine.apply(2, stage(5, 40, "b")) == {"sequence": 40}
    assert machine.apply(3, stage(5, 41, "c")) == {"conflict": 40}  # another change came first
    assert machine.apply(4, stage(40, 40, "d")) == {"low": 40} and machine.apply(5, stage(40, 7, "e")) == {"low": 40}
    assert machine.apply(6, stage(0, 5, "a")) == {"sequence": 5}  # sent again: the same result
    assert machine.apply(7, {"op": "stage", "base": 40, "doc": {}, "by": "", "id": "f"}) == {"sequence": 41}
    assert sorted(machine.docs) == [5, 40, 41] and (machine.latest, machine.active) == (41, 0)


def test_a_rejected_change_may_be_sent_again_on_the_current_base():
    machine = config_machine.ConfigMachine()
    machine.apply(1, stage(0, 5, "a"))
    assert machine.apply(2, stage(0, 9, "b")) == {"conflict": 5}
    assert machine.apply(3, stage(5, 9, "c")) == {"sequence": 9}
    assert machine.apply(4, stage(0, 9, "b")) == {"conflict": 9}  # it was never staged, so it is rejected again


@pytest.mark.parametrize("order", list(itertools.permutations([5, 6, 40, 41])))
def test_only_a_staged_sequence_is_activated_and_never_an_older_one(order):
    machine = config_machine.ConfigMachine()
    machine.apply(1, stage(0, 5, "a"))
    machine.apply(2, stage(5, 40, "b"))
    active = 0
    for sequence in order:
        machine.apply(3, {"op": "activate", "sequence": sequence})
        active = max(active, sequence) if sequence in (5, 40) else active
        assert machine.active == active


def test_a_state_machine_is_restored_from_its_dump():
    machine, restored = config_machine.ConfigMachine(), config_machine.ConfigMachine()
    for base, sequence in ((0, 3), (3, 90), (90, 91)):
        machine.apply(1, stage(base, sequence, f"m{sequence}"))
    machine.apply(2, {"op": "activate", "sequence": 90})
    restored.restore(machine.dump())
    assert restored.dump() == machine.dump() and restored.apply(3, stage(3, 90, "m90")) == {"sequence": 90}
    assert restored.apply(4, stage(91, 91, "x")) == {"low": 91}


class SingleMemberLeader:
    """A leader that always has a quorum and commits immediately."""

    def __init__(self, environment):
        self.environment, self.machine, self.leader_tasks = environment, config_machine.ConfigMachine(), []
        self.is_leader, self.member_id, self.log = True, "A/1", types.SimpleNamespace(term=1)

    def confirm_leadership(self, call):
        call(True)

    def propose(self, command, call):
        call(self.machine.apply(0, command))

    def former_leases_end(self, lease_s):
        return self.environment.now() + lease_s + constants.LEASE_CLOCK_MARGIN_S

    def not_committed_before(self, index):
        return None  # no earlier leader is known


def make_duty(pool, *sequences):
    """A configuration task with the first of these sequences active, after its start delay."""
    task = config_leader_task.ConfigLeaderTask(SingleMemberLeader(all_orders.ManualEnvironment(pool, "a:1")))
    base = 0
    for sequence in sequences[:1]:
        task.machine.apply(0, stage(base, sequence, f"m{sequence}"))
        task.machine.active = base = sequence
    task.start()
    task.activation_allowed_at -= 10
    return task


def deliver_all(pool):
    while pool.waiting:
        pool.deliver(0)


def test_a_write_that_is_activated_immediately_is_answered():
    """In a group of one member an entry commits as it is proposed, so activation begins before staging returns."""
    pool = all_orders.Pool()
    member = member_module.Member(
        all_orders.ManualEnvironment(pool, "a:1"),
        all_orders.disk(),
        0,
        "A/1",
        "",
        ["a:1"],
        config_machine.ConfigMachine(),
    )
    task = config_leader_task.ConfigLeaderTask(member)
    member.start()
    member.bootstrap({"A/1": {"address": "a:1", "http": ""}})
    pool.time += 10
    member.start_election(pre_vote=True)
    assert member.is_leader and member.ready
    pool.time += constants.LONG_LEASE_S + constants.LEASE_CLOCK_MARGIN_S + 0.01
    replies = []
    for base, sequence in ((0, 5), (5, 40)):
        member.propose(stage(base, sequence, f"m{sequence}"), replies.append)
        assert task.machine.active == sequence
    assert replies == [{"sequence": 5}, {"sequence": 40}]


def test_the_lease_length_depends_on_what_is_staged():
    pool = all_orders.Pool()
    task = make_duty(pool, 5)
    assert task.lease_length() == constants.LONG_LEASE_S
    # this lease holder never acknowledges the new document
    task.leaseholders["r:1"] = leaseholder.Leaseholder(lease_end=pool.time + 100, staged=5)
    task.machine.apply(0, stage(5, 40, "b"))
    assert task.machine.active == 5 and task.lease_length() == constants.SHORT_LEASE_S
    pool.time += task.bounds.older_lease_window_s + 0.01
    assert task.lease_length() == 0.0
    task.leaseholders.clear()
    task.try_activate()
    assert task.machine.active == 40 and task.lease_length() == constants.LONG_LEASE_S


def test_a_new_leader_grants_no_older_lease_while_a_document_is_staged():
    pool = all_orders.Pool()
    task = make_duty(pool, 5)
    task.leaseholders["r:1"] = leaseholder.Leaseholder(lease_end=pool.time + 100, staged=5)
    task.machine.apply(0, stage(5, 40, "b"))
    task.start()  # a new leader does not know when it was staged
    assert task.lease_length() == 0.0 and task.machine.active == 5
    pool.time += constants.LONG_LEASE_S + constants.LEASE_CLOCK_MARGIN_S + 0.01
    task.try_activate()
    assert task.machine.active == 40


def test_a_lease_holder_receives_non_consecutive_sequences_in_order():
    pool = all_orders.Pool()
    task = make_duty(pool, 5)
    lease = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:1"), lambda: ["a:1"])
    lease.request_lease()
    deliver_all(pool)
    assert lease.sequence() == 5 and lease.document() == {"n": 5}
    for base, sequence in ((5, 40), (40, 41), (41, 1000)):
        task.machine.apply(0, stage(base, sequence, f"m{sequence}"))
        assert task.machine.active == base  # the lease holder has not acknowledged it
        deliver_all(pool)
        assert task.machine.active == sequence == lease.sequence() and lease.document() == {"n": sequence}


def test_the_newest_staged_document_that_all_lease_holders_have_is_activated():
    pool = all_orders.Pool()
    task = make_duty(pool, 5)
    for name, staged in (("r:1", 5), ("r:2", 5)):
        task.leaseholders[name] = leaseholder.Leaseholder(lease_end=pool.time + 1, staged=staged)
    for base, sequence in ((5, 40), (40, 77)):
        task.machine.apply(0, stage(base, sequence, f"m{sequence}"))
    task.on_news_ack("r:1", {"number": task.news_number, "staged": 77})
    assert task.machine.active == 5
    task.on_news_ack("r:2", {"number": task.news_number, "staged": 40})
    assert task.machine.active == 40
    task.on_news_ack("r:2", {"number": task.news_number, "staged": 77})
    assert task.machine.active == 77
