"""A fake leader whose majority, disk and commits are set by the test, and operators' calls on its HTTP interfaces."""

import types

import hypothesis.strategies as strategies

import mothshed.configuration.document as configuration
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.operator_api as operator_api
import tests.fronts as fronts
import tests.platform_site as platform_site

# Random operations on one of eight orders: send it with a given outcome, or deliver the pending commits.
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["immediate", "delayed", "lost", "no majority", "mailbox blocked", "deliver commits"]),
        strategies.integers(0, 7),
    ),
    max_size=30,
)


class Event:
    """An event whose wait() runs the pending mailbox calls, then returns whether the event was set."""

    def __init__(self, member):
        self.member, self.is_set, self.timeouts = member, False, []

    def set(self):
        self.is_set = True

    def wait(self, timeout):
        self.timeouts.append(timeout)
        self.member.run_mailbox()
        return self.is_set


class FakeLeader:
    """A leader whose majority, disk and commits are set by the test."""

    def __init__(self):
        self.machine = config_machine.ConfigMachine()
        self.member_id, self.leader, self.last_contact, self.time = "A/1", "A/1", 0.0, 100.0
        self.members = {
            member_id: {"address": f"{member_id}:1", "http": f"{member_id[0]}:80"}
            for member_id in ("A/1", "B/1", "C/1")
        }
        self.environment = types.SimpleNamespace(now=lambda: self.time, post=self.post)
        self.is_leader, self.confirmed, self.mailbox_blocked, self.commits = True, True, False, "immediate"
        self.mailbox, self.proposed, self.pending_commits, self.events = [], [], [], []

    def all_members_fetch_documents(self):
        return True

    def has_quorum(self):
        return self.is_leader and self.confirmed

    def post(self, call):
        self.mailbox.append(call)

    def run_mailbox(self):
        while self.mailbox and not self.mailbox_blocked:
            self.mailbox.pop(0)()

    def confirm_leadership(self, call):
        if self.confirmed:
            call(True)
        else:
            self.pending_commits.append(lambda: call(False))

    def propose(self, command, call):
        self.proposed.append(command)
        if self.commits == "immediate":
            call(self.machine.apply(0, command))
        elif self.commits == "lost":
            call(None)
        else:
            self.pending_commits.append(lambda: call(self.machine.apply(0, command)))

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
    """(status, headers) of an operator's order on the platform's interface."""
    headers = {"If-Match": str(base)}
    return fronts.call(platform_front(member), "PUT", "/configuration", document(edition, note), headers)[:2]


def patch(member, base, edition, change):
    """(status, headers, body) of a change by named items on the platform's interface; change: its other fields."""
    body = {"edition": edition, **change}
    return fronts.call(platform_front(member), "PATCH", "/configuration", body, {"If-Match": str(base)})


def api_patch(member, base, order_id, **change):
    """(status, headers, body) of a change by named items on OperatorApi; change: put, remove."""
    body = {"base": base, "id": order_id, **change}
    return fronts.call(operator_api.OperatorApi(keeper(member)), "PATCH", "/configuration", body)


def api_put(member, base, order_id):
    body = {"base": base, "document": configuration.EXAMPLE, "id": order_id}
    return fronts.call(operator_api.OperatorApi(keeper(member)), "PUT", "/configuration", body)[:2]


def get(member):
    return fronts.call(platform_front(member), "GET", "/configuration")[:2]
