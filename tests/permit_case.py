"""A router that waits for permits and two keepers, one of them the leader; messages are delivered by hand."""

import threading
import types

import mothshed.constants as constants
import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.parts as parts
import mothshed.control_plane.permit_duty as permit_duty
import mothshed.data_plane.permits as permits
import mothshed.replicas.leaders as leaders_module
import mothshed.runtime.journal as journal_module
import tests.all_orders as all_orders

TENANT = "a"
PART = parts.part_of(TENANT)
ROUTER, KEEPERS = "router:1", ("keeper:1", "keeper:2")
STEP = 0.02  # s; each message takes this long
BURST = 2
RATE = 1.0


class Environment(all_orders.ManualEnvironment):
    """An environment whose timers are queued among the messages."""

    def new_event(self):
        return threading.Event()

    def call_later(self, delay, call):
        self.pool.waiting.append((self.address, self.address, "timer", {"call": call}))


class FakeMember:
    """A member of the tenant's part, as the leader task sees it."""

    part = PART

    def __init__(self, pool, address):
        self.environment = Environment(pool, address)
        self.member_id, self.leader, self.last_contact, self.is_leading = address, "", 0.0, False
        self.machine, self.leader_tasks = types.SimpleNamespace(leader_entry_applied=None), []

    def has_quorum(self):
        return self.is_leading

    def address_of(self, member_id):
        return member_id


class LosingPool(all_orders.Pool):
    """Loses the protocol messages whose numbers, in order of delivery, are in `lost`."""

    def __init__(self, lost):
        super().__init__()
        self.lost, self.count = lost, 0
        self.sent_at = {}  # mark -> step at which the permit request was sent
        self.answer = None  # mark of the answer that was delivered last

    def deliver(self, at):
        _goal, _sender, kind, body = self.waiting[at]
        self.time += STEP
        self.answer = body.get("mark") if kind == "permits" else None
        if kind in ("permit_ask", "permits", "look_elsewhere"):
            self.count += 1
            if self.count - 1 in self.lost:
                self.waiting.pop(at)
                return
        super().deliver(at)


class Case:
    """The permits that the router's requests got, checked after each message."""

    def __init__(self, events, lost=()):
        self.pool = LosingPool(lost)
        self.requests = []  # (step of arrival, waiter), since the router's last start
        self.granted = []  # times
        self.seen = set()
        self.members = {address: FakeMember(self.pool, address) for address in KEEPERS}
        self.leader_tasks = {address: self.make_task(member) for address, member in self.members.items()}
        self.boot_router()
        self.lead(KEEPERS[0])
        self.pool.time += 100.0  # its bucket is full
        self.pool.handlers["script"] = {("event", None): lambda sender, body: getattr(self, body["name"])()}
        for address in (ROUTER, *KEEPERS):
            self.pool.handlers[address][("timer", None)] = lambda sender, body: body["call"]()
        self.pool.waiting += [("script", "script", "event", {"name": name}) for name in events]

    def make_task(self, member):
        lease = types.SimpleNamespace(current=lambda: (1, {"tenants": {TENANT: {"rate_per_s": RATE, "burst": BURST}}}))
        return permit_duty.PermitLeaderTask(member, lease, journal_module.Journal(), limit_bounds.LimitBounds())

    def boot_router(self):
        self.pool.handlers[ROUTER] = {("timer", None): lambda sender, body: body["call"]()}
        self.pool.waiting = [row for row in self.pool.waiting if row[2] != "timer"]
        environment = Environment(self.pool, ROUTER)
        leaders = leaders_module.Leaders(environment, lambda: KEEPERS)
        self.router = permits.Permits(environment, leaders, journal_module.Journal())
        send = environment.send

        def recording_send(destination, kind, **body):
            if kind == "permit_ask":
                self.pool.sent_at[body["mark"]] = self.pool.steps
            send(destination, kind, **body)

        environment.send = recording_send
        self.requests = []

    def lead(self, address):
        for other, member in self.members.items():
            member.is_leading, member.leader, member.last_contact = other == address, address, self.pool.time + 1000.0
            (self.leader_tasks[other].start if other == address else self.leader_tasks[other].stop)()

    # --- events ---
    def request(self):
        waiter = permits.Waiter(self.router.environment.new_event())
        self.router.enqueue(TENANT, 1, waiter)
        self.requests.append((self.pool.steps, waiter))

    def new_leader(self):
        self.lead(KEEPERS[1])

    def restart(self):
        self.boot_router()

    # --- checks ---
    def check(self):
        for arrived_at, waiter in self.requests:
            if waiter.granted and id(waiter) not in self.seen:
                self.seen.add(id(waiter))
                self.granted.append(self.pool.time)
                assert arrived_at <= self.pool.sent_at[self.pool.answer], (
                    "a permit whose permit request was sent before its request arrived"
                )
        elapsed = self.pool.time - 200.0
        allowed = BURST + RATE * elapsed + constants.CLOCK_ROUNDING_ERROR_S
        assert len(self.granted) <= allowed, f"{len(self.granted)} granted, {allowed:.2f} allowed"

    def end(self):
        for _arrived_at, waiter in self.requests:
            assert waiter.granted or waiter.retry_s is not None, "a request waits forever"
        assert not any(requests.waiting for requests in self.router.parts.values())
