"""Leases with the real state machines: what is sent, when leases are renewed, and the two bounds on them."""

import itertools
import types

import hypothesis
import hypothesis.strategies as strategies

import mothshed.configuration.lease as lease_module
import mothshed.configuration.packed_document as packed_document
import mothshed.constants as constants
import mothshed.control_plane.config_leader_task as config_leader_task
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.document_server as document_server
import mothshed.storage.document_store as document_store
import tests.all_orders as all_orders

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


def stage(base, sequence, order_id, doc=None):
    doc = doc or {"n": sequence}
    return {"op": "stage", "base": base, "sequence": sequence, "doc": doc, "by": "", "id": order_id}


class FakeMember:
    """A member that is always the confirmed leader and commits at once."""

    def __init__(self, environment):
        self.environment, self.machine, self.leader_tasks = environment, config_machine.ConfigMachine(), []
        self.is_leader, self.member_id, self.log = True, "A/1", types.SimpleNamespace(term=1)
        self.leader, self.last_contact = self.member_id, 0.0
        self.delayed_confirmations = []  # confirmations that are delayed
        self.delay_confirmations = False

    def confirm_leadership(self, call):
        if self.delay_confirmations:
            self.delayed_confirmations.append(call)
        else:
            call(True)

    def propose(self, command, call):
        call(self.machine.apply(0, command))

    def former_leases_end(self, lease_s):
        return self.environment.now() + lease_s + constants.LEASE_CLOCK_MARGIN_S

    def not_committed_before(self, index):
        return None  # unknown for entries of another leader


def deployment(routers=2):
    """A message pool, the leader task, and leases that hold sequence 1."""
    pool = all_orders.Pool()
    task = config_leader_task.ConfigLeaderTask(FakeMember(all_orders.ManualEnvironment(pool, "a:1")))
    task.machine.store = document_store.DocumentStore(all_orders.disk(), packed_document.digest_of)
    document_server.DocumentServer(task.environment, task.machine.store)
    task.machine.apply(0, stage(0, 1, "order 0", {"n": 1, "as_sent": {"big": "text"}}))
    task.machine.active = 1
    task.start()
    task.activation_allowed_at -= 10
    leases = [lease_module.Lease(all_orders.ManualEnvironment(pool, f"r:{n}"), lambda: ["a:1"]) for n in range(routers)]
    for lease in leases:
        lease.request_lease()
    while pool.waiting:
        pool.deliver(0)
    assert [lease.sequence() for lease in leases] == [1] * routers
    pool.time += constants.DOCUMENT_RESEND_S
    return pool, task, leases


def documents_sent(pool):
    return [s for destination, sender, kind, body in pool.waiting if "docs" in body for s, doc in body["docs"]]


def test_original_operator_text_is_not_sent_to_routers():
    pool, task, leases = deployment(1)
    assert leases[0].document() == {"n": 1} and "as_sent" in task.machine.docs[1]["doc"]


def test_router_is_sent_only_the_newest_document():
    pool, task, leases = deployment(1)
    for base in range(1, 30):
        task.machine.apply(0, stage(base, base + 1, f"order {base}"))
        pool.waiting.clear()  # the router is disconnected
    pool.time += 2.0
    leases[0].request_lease()
    pool.deliver(0)
    assert documents_sent(pool) == [30]


def test_document_in_flight_is_not_resent_before_the_resend_interval():
    pool, task, leases = deployment(1)
    task.machine.apply(0, stage(1, 2, "order 1"))
    leases[0].request_lease()
    pool.deliver(1)  # the request; the grant that answers it contains no second copy
    assert documents_sent(pool) == [2]
    pool.waiting.clear()
    pool.time += constants.DOCUMENT_RESEND_S
    leases[0].request_lease()
    pool.deliver(0)
    assert documents_sent(pool) == [2]


def test_older_request_does_not_undo_an_acknowledgement():
    pool, task, leases = deployment(1)
    task.member.delay_confirmations = True
    leases[0].request_lease()
    pool.deliver(0)  # requested before the new document is staged; the confirmation is delayed
    task.machine.apply(0, stage(1, 2, "order 1"))
    task.leaseholders["r:0"].staged = 2
    for call in task.member.delayed_confirmations:
        call(True)
    assert task.leaseholders["r:0"].staged == 2


def test_router_receives_an_active_document_that_it_skipped():
    """One router holds only sequence 3, the other only 2: 2 becomes active and is sent to the first router."""
    pool, task, leases = deployment(2)
    task.machine.apply(0, stage(1, 2, "order 1"))
    pool.waiting = [row for row in pool.waiting if row[0] == "r:1"]  # the first router misses it
    pool.time += 0.01
    task.machine.apply(0, stage(2, 3, "order 2"))
    pool.waiting = [row for row in pool.waiting if row[0] != "r:1" or row[3]["docs"][0][0] == 2]
    while pool.waiting:
        pool.deliver(0)
    assert task.machine.active == 2
    pool.time += constants.DOCUMENT_RESEND_S
    leases[0].request_lease()
    while pool.waiting:
        pool.deliver(0)
    assert task.machine.active == 2 and leases[0].sequence() == 2
    for _turn in range(4):
        pool.time += 0.06
        for lease in leases:
            lease.request_lease()
        while pool.waiting:
            pool.deliver(0)
    assert task.machine.active == 3 and [lease.sequence() for lease in leases] == [3, 3]


@STEADY
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["stage", "deliver", "deliver", "deliver", "lose", "ask 0", "ask 1", "wait", "long"]),
        max_size=60,
    )
)
def test_lease_bounds_hold_under_loss_and_delay(steps):
    """No older document is served two seconds after an acknowledgement or SHORT_LEASE_S after an activation."""
    pool, task, leases = deployment(2)
    acknowledged, activated = {1: pool.time}, {}
    for step in steps + ["wait"] * 4:
        if step == "stage":
            number = task.machine.latest + 1
            task.machine.apply(0, stage(number - 1, number, f"order {number - 1}"))
            acknowledged[number] = pool.time
        elif step == "deliver" and pool.waiting:
            pool.deliver(0)
        elif step == "lose" and pool.waiting:
            pool.waiting.pop(0)
        elif step.startswith("ask"):
            leases[int(step[-1])].request_lease()
        elif step in ("wait", "long"):
            pool.time += 0.06 if step == "wait" else 0.5
            task.try_activate()
        for number in range(2, task.machine.active + 1):
            activated.setdefault(number, pool.time)
        for lease, (number, at) in itertools.product(leases, acknowledged.items()):
            if lease.active < number:
                assert lease.valid_until <= at + task.bounds.older_lease_window_s + constants.SHORT_LEASE_S + 1e-9
        for lease, (number, at) in itertools.product(leases, activated.items()):
            if lease.active < number:
                assert lease.valid_until <= at + constants.SHORT_LEASE_S + 1e-9


class TimedEnvironment(all_orders.ManualEnvironment):
    """An environment that records when each timer is due, and removes cancelled timers."""

    def __init__(self, pool, address):
        super().__init__(pool, address)
        self.due = []

    def call_later(self, delay, call):
        entry = types.SimpleNamespace(at=self.now() + delay, call=call)
        self.due.append(entry)
        return types.SimpleNamespace(cancel=lambda: entry in self.due and self.due.remove(entry))


def timed_lease():
    pool = all_orders.Pool()
    lease = lease_module.Lease(TimedEnvironment(pool, "r:1"), lambda: ["a:1"])
    lease.environment.timers.pop()()  # its first tick
    lease.on_grant("a:1", grant(lease, constants.LONG_LEASE_S, 1, [[1, {"n": 1}]]))
    for _turn in range(2):  # the request after the activation, then the regular interval
        pool.time += constants.SHORT_LEASE_RENEWAL_INTERVAL_S
        lease.environment.due.pop().call()
    pool.time += constants.SHORT_LEASE_RENEWAL_INTERVAL_S
    return pool, lease


def grant(lease, length, active, docs=()):
    return {"mark": lease.request_mark, "length": length, "active": active, "docs": list(docs), "number": 1}


def test_staging_and_activation_renew_the_lease_immediately():
    pool, lease = timed_lease()
    for news in ({"number": 2, "docs": [[2, {"n": 2}]], "active": 1}, {"number": 3, "docs": [], "active": 2}):
        mark_before = lease.request_mark
        lease.on_news("a:1", news)
        assert lease.request_mark == mark_before + 1 and len(lease.environment.due) == 1
        pool.time += constants.SHORT_LEASE_RENEWAL_INTERVAL_S
    assert lease.active == 2


def test_short_grant_is_renewed_within_the_short_interval():
    pool, lease = timed_lease()
    lease.request_lease()
    lease.on_grant("a:1", grant(lease, constants.SHORT_LEASE_S, 1))
    assert [entry.at - pool.time <= constants.SHORT_LEASE_RENEWAL_INTERVAL_S for entry in lease.environment.due] == [
        True
    ]


def test_burst_of_news_causes_one_request():
    pool, lease = timed_lease()
    mark_before = lease.request_mark
    for number in range(2, 40):
        lease.on_news("a:1", {"number": number, "docs": [[number, {}]], "active": number - 1})
    assert lease.request_mark == mark_before + 1 and len(lease.environment.due) == 1
