"""A leader whose majority, disk and commits are set by hand, and operators' calls on its fronts."""

import types

import hypothesis.strategies as strategies

import mothshed.configuration.document as configuration
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.operator_api as operator_api
import tests.fronts as fronts
import tests.platform_site as platform_site

# What may happen to one of eight orders: how its commit goes, or that the commits that wait come.
ACTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["at once", "late", "lost", "unsure", "stuck", "come"]),
        strategies.integers(0, 7),
    ),
    max_size=30,
)


class Event:
    """An event whose wait carries out what its mailbox holds, then says whether it was set."""

    def __init__(self, member):
        self.member, self.open, self.waited = member, False, []

    def set(self):
        self.open = True

    def wait(self, timeout):
        self.waited.append(timeout)
        self.member.work()
        return self.open


class Member:
    """A leader whose majority, disk and commits are set by hand."""

    def __init__(self):
        self.machine = config_machine.ConfigMachine()
        self.member_id, self.leader, self.last_contact, self.time = "A/1", "A/1", 0.0, 100.0
        self.members = {w: {"address": f"{w}:1", "http": f"{w[0]}:80"} for w in ("A/1", "B/1", "C/1")}
        self.environment = types.SimpleNamespace(now=lambda: self.time, post=self.post)
        self.is_leader, self.confirmed, self.mailbox_stuck, self.commits = True, True, False, "at once"
        self.mailbox, self.proposed, self.waiting, self.events = [], [], [], []

    def has_quorum(self):
        return self.is_leader and self.confirmed

    def post(self, call):
        self.mailbox.append(call)

    def work(self):
        while self.mailbox and not self.mailbox_stuck:
            self.mailbox.pop(0)()

    def confirm_leadership(self, call):
        if self.confirmed:
            call(True)
        else:
            self.waiting.append(lambda: call(False))

    def propose(self, command, call):
        self.proposed.append(command)
        if self.commits == "at once":
            call(self.machine.apply(0, command))
        elif self.commits == "lost":
            call(None)
        else:
            self.waiting.append(lambda: call(self.machine.apply(0, command)))

    def new_event(self):
        self.events.append(Event(self))
        return self.events[-1]


def keeper(member):
    return types.SimpleNamespace(
        members=[member],
        leader_tasks=[],
        environment=types.SimpleNamespace(new_event=member.new_event),
        call_in_mailbox=None,
    )


def document(edition, note=""):
    return {
        "edition": edition,
        "itineraries": [platform_site.route("r-one", "one.example", "one")],
        "depots": [platform_site.depot("one")],
        "note": note,
    }


def platform_front(member):
    return platform_site.operator_front.OperatorFront(keeper(member))


def put(member, base, edition, note=""):
    """(status, headers) of an operator's order on the platform's front."""
    headers = {"If-Match": str(base)}
    return fronts.call(platform_front(member), "PUT", "/configuration", document(edition, note), headers)[:2]


def patch(member, base, edition, change):
    """(status, headers, body) of a change by named items on the platform's front; change: its other fields."""
    body = {"edition": edition, **change}
    return fronts.call(platform_front(member), "PATCH", "/configuration", body, {"If-Match": str(base)})


def own_patch(member, base, order_id, **change):
    """(status, headers, body) of a change by named items on our own front; change: put, remove."""
    body = {"base": base, "id": order_id, **change}
    return fronts.call(operator_api.OperatorApi(keeper(member)), "PATCH", "/configuration", body)


def own_put(member, base, order_id):
    body = {"base": base, "document": configuration.EXAMPLE, "id": order_id}
    return fronts.call(operator_api.OperatorApi(keeper(member)), "PUT", "/configuration", body)[:2]


def get(member):
    return fronts.call(platform_front(member), "GET", "/configuration")[:2]
