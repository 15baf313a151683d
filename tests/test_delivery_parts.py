"""Parts of the delivery of routes, without sockets: events, and configuration sequences that rise unevenly."""

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
def test_events_are_the_same_however_the_bytes_come(name):
    text = TEXTS[name]
    whole = list(events.split([text]))
    assert [number for event, number in whole] == IDS[name] and b"".join(e for e, n in whole) == text
    for one, two in itertools.combinations_with_replacement(range(len(text) + 1), 2):
        assert list(events.split([text[:one], text[one:two], text[two:]])) == whole
    assert list(events.split([bytes([b]) for b in text])) == whole


def test_no_event_is_given_out_before_it_is_whole():
    text = TEXTS["crlf"]
    for end in range(len(text)):
        given = list(events.split([text[:end]]))
        assert all(event.endswith(b"\r\n\r\n") for event, number in given[:-1])
    assert list(events.split([])) == list(events.split([b""])) == []


# --- sequences that rise unevenly -------------------------------------------


def stage(base, sequence, mark, doc=None):
    return {"op": "stage", "base": base, "sequence": sequence, "doc": doc or {"n": sequence}, "by": "", "id": mark}


def test_a_machine_takes_sequences_that_rise_and_no_others():
    m = config_machine.ConfigMachine()
    assert m.apply(1, stage(0, 5, "a")) == {"sequence": 5}
    assert m.apply(2, stage(5, 40, "b")) == {"sequence": 40}
    assert m.apply(3, stage(5, 41, "c")) == {"conflict": 40}  # lost its race
    assert m.apply(4, stage(40, 40, "d")) == {"low": 40} and m.apply(5, stage(40, 7, "e")) == {"low": 40}
    assert m.apply(6, stage(0, 5, "a")) == {"sequence": 5}  # sent again: as it was taken
    assert m.apply(7, {"op": "stage", "base": 40, "doc": {}, "by": "", "id": "f"}) == {"sequence": 41}
    assert sorted(m.docs) == [5, 40, 41] and (m.latest, m.active) == (41, 0)


def test_one_that_was_turned_away_may_be_sent_again_on_what_is_in_place():
    m = config_machine.ConfigMachine()
    m.apply(1, stage(0, 5, "a"))
    assert m.apply(2, stage(0, 9, "b")) == {"conflict": 5}
    assert m.apply(3, stage(5, 9, "c")) == {"sequence": 9}
    assert m.apply(4, stage(0, 9, "b")) == {"conflict": 9}  # never taken: it stays so


@pytest.mark.parametrize("order", list(itertools.permutations([5, 6, 40, 41])))
def test_only_what_is_staged_is_activated_and_never_an_older_one(order):
    m = config_machine.ConfigMachine()
    m.apply(1, stage(0, 5, "a"))
    m.apply(2, stage(5, 40, "b"))
    at = 0
    for sequence in order:
        m.apply(3, {"op": "activate", "sequence": sequence})
        at = max(at, sequence) if sequence in (5, 40) else at
        assert m.active == at


def test_a_machine_is_the_same_after_its_state_was_kept_and_read():
    m, other = config_machine.ConfigMachine(), config_machine.ConfigMachine()
    for base, sequence in ((0, 3), (3, 90), (90, 91)):
        m.apply(1, stage(base, sequence, f"m{sequence}"))
    m.apply(2, {"op": "activate", "sequence": 90})
    other.restore(m.dump())
    assert other.dump() == m.dump() and other.apply(3, stage(3, 90, "m90")) == {"sequence": 90}
    assert other.apply(4, stage(91, 91, "x")) == {"low": 91}


class Seat:
    """The duty's leader, always sure: commits at once."""

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
        return None  # nothing is known of another leader's time


def duty_of(pool, *sequences):
    """A duty whose machine has these, the first of them active; it has waited out its start."""
    duty = config_leader_task.ConfigLeaderTask(Seat(all_orders.ManualEnvironment(pool, "a:1")))
    base = 0
    for sequence in sequences[:1]:
        duty.machine.apply(0, stage(base, sequence, f"m{sequence}"))
        duty.machine.active = base = sequence
    duty.start()
    duty.activation_allowed_at -= 10
    return duty


def deliver(pool):
    while pool.waiting:
        pool.deliver(0)


def test_a_write_is_answered_though_it_is_activated_at_once():
    """In a group of one an entry is committed as it is proposed, so staging leads to activating before it ends."""
    pool = all_orders.Pool()
    seat = member_module.Member(
        all_orders.ManualEnvironment(pool, "a:1"),
        all_orders.disk(),
        0,
        "A/1",
        "",
        ["a:1"],
        config_machine.ConfigMachine(),
    )
    duty = config_leader_task.ConfigLeaderTask(seat)
    seat.start()
    seat.bootstrap({"A/1": {"address": "a:1", "http": ""}})
    pool.time += 10
    seat.start_election(pre_vote=True)
    assert seat.is_leader and seat.ready
    pool.time += constants.LONG_LEASE_S + constants.LEASE_CLOCK_MARGIN_S + 0.01
    said = []
    for base, sequence in ((0, 5), (5, 40)):
        seat.propose(stage(base, sequence, f"m{sequence}"), said.append)
        assert duty.machine.active == sequence
    assert said == [{"sequence": 5}, {"sequence": 40}]


def test_a_lease_is_long_short_or_none_by_what_is_staged():
    pool = all_orders.Pool()
    duty = duty_of(pool, 5)
    assert duty.lease_length() == constants.LONG_LEASE_S
    # this leaseholder never acknowledges the staged document
    duty.leaseholders["r:1"] = leaseholder.Leaseholder(lease_end=pool.time + 100, staged=5)
    duty.machine.apply(0, stage(5, 40, "b"))
    assert duty.machine.active == 5 and duty.lease_length() == constants.SHORT_LEASE_S
    pool.time += duty.bounds.older_lease_window_s + 0.01
    assert duty.lease_length() == 0.0
    duty.leaseholders.clear()
    duty.try_activate()
    assert duty.machine.active == 40 and duty.lease_length() == constants.LONG_LEASE_S


def test_a_new_owner_grants_nothing_old_while_something_is_staged():
    pool = all_orders.Pool()
    duty = duty_of(pool, 5)
    duty.leaseholders["r:1"] = leaseholder.Leaseholder(lease_end=pool.time + 100, staged=5)
    duty.machine.apply(0, stage(5, 40, "b"))
    duty.start()  # it does not know since when
    assert duty.lease_length() == 0.0 and duty.machine.active == 5
    pool.time += constants.LONG_LEASE_S + constants.LEASE_CLOCK_MARGIN_S + 0.01
    duty.try_activate()
    assert duty.machine.active == 40


def test_uneven_sequences_reach_a_holder_one_after_another():
    pool = all_orders.Pool()
    duty = duty_of(pool, 5)
    lease = lease_module.Lease(all_orders.ManualEnvironment(pool, "r:1"), lambda: ["a:1"])
    lease.request_lease()
    deliver(pool)
    assert lease.sequence() == 5 and lease.document() == {"n": 5}
    for base, sequence in ((5, 40), (40, 41), (41, 1000)):
        duty.machine.apply(0, stage(base, sequence, f"m{sequence}"))
        assert duty.machine.active == base  # the holder has not said that it has it
        deliver(pool)
        assert duty.machine.active == sequence == lease.sequence() and lease.document() == {"n": sequence}


def test_of_several_staged_the_newest_that_all_holders_have_is_activated():
    pool = all_orders.Pool()
    duty = duty_of(pool, 5)
    for name, staged in (("r:1", 5), ("r:2", 5)):
        duty.leaseholders[name] = leaseholder.Leaseholder(lease_end=pool.time + 1, staged=staged)
    for base, sequence in ((5, 40), (40, 77)):
        duty.machine.apply(0, stage(base, sequence, f"m{sequence}"))
    duty.on_news_ack("r:1", {"number": duty.news_number, "staged": 77})
    assert duty.machine.active == 5
    duty.on_news_ack("r:2", {"number": duty.news_number, "staged": 40})
    assert duty.machine.active == 40
    duty.on_news_ack("r:2", {"number": duty.news_number, "staged": 77})
    assert duty.machine.active == 77
