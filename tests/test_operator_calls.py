"""What a keeper answers an operator: leaders without a majority, lost answers, orders sent again, races."""

import itertools
import types

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.common.configuration as configuration
import mothshed.common.constants as constants
import mothshed.control_plane.config_part as config_part
import mothshed.control_plane.keeper_front as keeper_front
import tests.fronts as fronts
import tests.platform_site as platform_site
import tools.fleet as real_fleet
import tools.simulator.fleet as sim

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


class Gate:
    """A gate whose wait carries out what its mailbox holds, then says whether it was set."""

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
        self.machine = config_part.ConfigMachine()
        self.who, self.owner, self.heard, self.time = "A/1", "A/1", 0.0, 100.0
        self.members = {w: {"address": f"{w}:1", "http": f"{w[0]}:80"} for w in ("A/1", "B/1", "C/1")}
        self.desk = types.SimpleNamespace(now=lambda: self.time, post=self.post)
        self.owns, self.confirmed, self.mailbox_stuck, self.commits = True, True, False, "at once"
        self.box, self.proposed, self.waiting, self.gates = [], [], [], []

    def sure(self):
        return self.owns and self.confirmed

    def post(self, call):
        self.box.append(call)

    def work(self):
        while self.box and not self.mailbox_stuck:
            self.box.pop(0)()

    def confirm(self, call):
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

    def gate(self):
        self.gates.append(Gate(self))
        return self.gates[-1]


def keeper(member):
    return types.SimpleNamespace(
        members=[member], duties=[], desk=types.SimpleNamespace(gate=member.gate), in_part=None, ask_part=None
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


def own_put(member, base, order_id):
    body = {"base": base, "document": configuration.EXAMPLE, "id": order_id}
    return fronts.call(keeper_front.KeeperFront(keeper(member)), "PUT", "/configuration", body)[:2]


def get(member):
    return fronts.call(platform_front(member), "GET", "/configuration")[:2]


CALLS = {
    "platform put": lambda member: put(member, 0, 5),
    "own put": lambda member: own_put(member, 0, "x"),
    "platform get": get,
    "own get": lambda member: fronts.call(keeper_front.KeeperFront(keeper(member)), "GET", "/configuration")[:2],
    "own history": lambda m: fronts.call(keeper_front.KeeperFront(keeper(m)), "GET", "/configuration/history")[:2],
}


@pytest.mark.parametrize("name", CALLS)
def test_a_leader_without_its_majority_answers_at_once(name):
    member = Member()
    member.confirmed = False
    status, headers = CALLS[name](member)
    assert status == 503 and float(headers["retry-after"]) > 0
    assert member.gates == [] and member.proposed == [] and member.box == []


@pytest.mark.parametrize("name", CALLS)
def test_no_call_is_waited_for_as_long_as_operators_wait(name):
    member = Member()
    member.mailbox_stuck = True
    CALLS[name](member)
    assert [span for gate in member.gates for span in gate.waited] == [constants.OPERATOR_WAIT]
    assert constants.OPERATOR_WAIT < 1.0


def test_a_write_that_its_mailbox_has_not_begun_is_withdrawn():
    member = Member()
    member.mailbox_stuck = True  # a disk that stalls
    assert put(member, 0, 5)[0] == 503
    member.mailbox_stuck = False
    member.work()
    assert member.proposed == [] and member.machine.latest == 0


@pytest.mark.parametrize("commits", ["late", "lost"])
def test_a_write_that_was_proposed_and_is_not_known_committed_is_unclear(commits):
    member = Member()
    member.commits = commits
    assert put(member, 0, 5)[0] == 504 and own_put(member, 0, "x")[0] == 504
    for call in member.waiting:
        call()
    member.commits = "at once"
    if commits == "late":  # it was committed after all: sent again, to the same or another node
        assert put(member, 0, 5)[0] == 200


def test_majority_lost_between_the_check_and_the_mailbox_writes_nothing():
    member = Member()
    member.desk.post = lambda call: (setattr(member, "confirmed", False), member.post(call))
    assert put(member, 0, 5)[0] == 503 and member.proposed == []


def test_what_changes_nothing_is_confirmed_by_a_majority_and_not_logged():
    member = Member()
    assert [put(member, 0, 5)[0], put(member, 5, 9)[0]] == [200, 200]
    count = len(member.proposed)
    assert put(member, 0, 5)[0] == 200  # taken before
    assert put(member, 0, 6)[0] == 412  # lost its race
    assert put(member, 9, 9, "other")[0] == 400  # the number is used
    assert len(member.proposed) == count
    member.confirm = lambda call: call(False)
    for base, edition in ((0, 5), (0, 6)):
        assert put(member, base, edition)[0] == 503  # neither acknowledged nor refused


def test_an_order_older_than_the_record_is_unclear_and_not_refused():
    member = Member()
    member.machine.taken.most = 2
    for edition in range(1, 6):
        assert put(member, edition - 1, edition)[0] == 200
    assert [put(member, edition - 1, edition)[0] for edition in range(1, 6)] == [504, 504, 504, 200, 200]
    assert own_put(member, 0, "unheard of")[0] == 504


@pytest.mark.parametrize("name", CALLS)
def test_nothing_is_answered_as_read_or_written_unless_a_majority_confirms(name):
    member = Member()
    member.confirm, member.commits = lambda call: call(False), "lost"
    assert CALLS[name](member)[0] == (504 if "put" in name else 503)


@pytest.mark.parametrize("age, status", [(0.0, 307), (constants.OWNER_FRESH - 0.01, 307), (constants.OWNER_FRESH, 503)])
def test_a_follower_names_only_a_leader_heard_of_lately(age, status):
    member = Member()
    member.owns, member.owner, member.heard = False, "B/1", member.time - age
    for name in CALLS:
        said, headers = CALLS[name](member)
        assert said == status and ("location" in headers) == (status == 307)


def test_a_member_that_was_leader_names_nobody_until_it_hears_of_one():
    member = Member()
    member.owns, member.heard = False, member.time
    for owner in ("A/1", "", "gone/1"):
        member.owner = owner
        assert put(member, 0, 5)[0] == 503 and get(member)[0] == 503


@pytest.mark.parametrize(
    "edition", [2**53, 2**63, 10**400, float("inf"), float("nan")], ids=["2**53", "2**63", "10**400", "inf", "nan"]
)
def test_an_edition_that_records_cannot_carry_is_turned_away(edition):
    member = Member()
    assert put(member, 0, edition)[0] == 400 and member.proposed == []
    assert put(member, 0, constants.SEQUENCE_MOST)[0] == 200


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_what_is_no_json_is_turned_away_wherever_it_stands(value):
    member = Member()
    assert put(member, 0, 5, {"deep": [value]})[0] == 400 and member.proposed == []


def test_a_deadline_past_all_numbers_is_turned_away():
    member, sent = Member(), document(5)
    sent["itineraries"][0]["deadline_ms"] = 10**400
    assert fronts.call(platform_front(member), "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 400


@STEADY
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["at once", "late", "lost", "unsure", "stuck", "come"]),
            strategies.integers(0, 7),
        ),
        max_size=30,
    )
)
def test_no_taken_order_is_refused_and_no_number_is_acknowledged_twice(acts):
    """Eight orders of two operators, sent and sent again while majority, disk and commits come and go."""
    member = Member()
    orders = [(base, edition, note) for base, edition in ((0, 1), (1, 2), (2, 3), (1, 3)) for note in "ab"]
    acknowledged, refused = {}, set()
    for way, at in acts + [("come", 0)] + [("at once", n) for n in range(8)]:
        if way == "come":
            waiting, member.waiting = member.waiting, []
            for call in waiting:
                call()
            continue
        member.confirmed, member.mailbox_stuck = way != "unsure", way == "stuck"
        member.commits = way if way in ("late", "lost") else "at once"
        base, edition, note = orders[at]
        status = put(member, base, edition, note)[0]
        assert status in (200, 400, 412, 503, 504)
        if status == 200:
            assert acknowledged.setdefault(edition, note) == note and at not in refused
        elif status in (400, 412):
            sent = platform_site.operator_front.command_of(document(edition, note), str(base))
            assert member.machine.taken.sequence_of(sent["id"]) is None
            if base <= member.machine.latest:  # one on a base that is yet to come may be sent again
                refused.add(at)


@pytest.mark.parametrize("seed", range(3))
def test_a_leader_cut_off_for_twenty_seconds_neither_confirms_nor_refuses(seed):
    """Operators reach both sides; every answer comes within a second, and afterwards all agree."""
    f = sim.SimFleet(f"cut-{seed}", routers=2, replicas=2)
    f.ready()
    old = f.owner()
    others = [n for n in f.names("keep") if n != old]
    said = []

    def ask(name, method, body=None):
        began = f.loop.time
        response = f.ops.web.send(method, f"http://{f.settings[name]['http']}/configuration", body, read=5.0)
        said.append((began - cut_at, name, method, response.status, f.loop.time - began, body and body["id"]))

    def order(mark):
        return {"base": 1, "document": real_fleet.document(f.deployment, note=mark), "id": mark}

    cut_at = f.loop.time
    f.net.split([old], others)
    for turn, (name, method) in itertools.product(range(1, 40), ((old, "GET"), (old, "PUT"))):
        body = order(f"cut-{turn}") if method == "PUT" else None
        f.later(turn * 0.5, lambda n=name, m=method, b=body: f.operator(lambda: ask(n, m, b)))
    f.later(5.0, lambda: f.operator(lambda: f.apply("other-side", 1)))
    f.run(21)
    assert [row for row in said if row[4] > 1.0] == []
    assert {row[3] for row in said if row[0] > 1.0} == {503}
    assert {row[3] for row in said} <= {503, 504}
    assert [w["sequence"] for w in f.writes] == [1, 2]
    f.net.heal()
    f.run(3)
    said.clear()
    for name in f.names("keep"):
        f.operator(lambda n=name: ask(n, "GET"))
    f.run(2)
    assert {row[3] for row in said} <= {200, 307} and 200 in {row[3] for row in said}
    assert {f.parts[n].members[0].machine.latest for n in f.names("keep")} == {2}
