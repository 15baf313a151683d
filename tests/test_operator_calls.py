"""What a keeper answers an operator: leaders without a majority, lost answers, orders sent again."""

import pytest

import mothshed.constants as constants
import mothshed.control_plane.operator_api as operator_api
import tests.fronts as fronts
import tests.operators as operators
import tests.platform_site as platform_site

WHOLE_CHANGE = {"deliver": {"itineraries": [], "depots": [platform_site.depot("one")]}}
CALLS = {
    "platform put": lambda member: operators.put(member, 0, 5),
    "own put": lambda member: operators.own_put(member, 0, "x"),
    "platform patch": lambda member: operators.patch(member, 0, 5, WHOLE_CHANGE)[:2],
    "platform get": operators.get,
    "own get": lambda member: fronts.call(operator_api.OperatorApi(operators.keeper(member)), "GET", "/configuration")[
        :2
    ],
    "own history": lambda m: fronts.call(
        operator_api.OperatorApi(operators.keeper(m)), "GET", "/configuration/history"
    )[:2],
}


@pytest.mark.parametrize("name", CALLS)
def test_a_leader_without_its_majority_answers_at_once(name):
    member = operators.Member()
    member.confirmed = False
    status, headers = CALLS[name](member)
    assert status == 503 and float(headers["retry-after"]) > 0
    assert member.events == [] and member.proposed == [] and member.mailbox == []


@pytest.mark.parametrize("name", CALLS)
def test_no_call_is_waited_for_as_long_as_operators_wait(name):
    member = operators.Member()
    member.mailbox_stuck = True
    CALLS[name](member)
    assert [span for event in member.events for span in event.waited] == [constants.OPERATOR_CALL_TIMEOUT_S]
    assert constants.OPERATOR_CALL_TIMEOUT_S < 1.0


def test_a_write_that_its_mailbox_has_not_begun_is_withdrawn():
    member = operators.Member()
    member.mailbox_stuck = True  # a disk that stalls
    assert operators.put(member, 0, 5)[0] == 503
    member.mailbox_stuck = False
    member.work()
    assert member.proposed == [] and member.machine.latest == 0


@pytest.mark.parametrize("commits", ["late", "lost"])
def test_a_write_that_was_proposed_and_is_not_known_committed_is_unclear(commits):
    member = operators.Member()
    member.commits = commits
    assert operators.put(member, 0, 5)[0] == 504 and operators.own_put(member, 0, "x")[0] == 504
    for call in member.waiting:
        call()
    member.commits = "at once"
    if commits == "late":  # it was committed after all: sent again, to the same or another node
        assert operators.put(member, 0, 5)[0] == 200


@pytest.mark.parametrize("end", ["commit", "lost"])
def test_an_order_sent_again_while_it_is_under_way_is_one_entry(end):
    member = operators.Member()
    member.commits = "late"
    front = operators.platform_front(member)
    sent = operators.document(5)
    for _ in range(4):
        assert fronts.call(front, "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 504
    assert len(member.proposed) == 1 and len(front.calls.proposed) == 1
    if end == "lost":
        front.calls.finish_write(member.proposed[0]["id"], None)
    else:
        member.waiting[0]()
    assert front.calls.proposed == {}
    member.commits = "at once"
    assert fronts.call(front, "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 200
    assert len(member.proposed) == (2 if end == "lost" else 1) and member.machine.latest == 5


def test_majority_lost_between_the_check_and_the_mailbox_writes_nothing():
    member = operators.Member()
    member.environment.post = lambda call: (setattr(member, "confirmed", False), member.post(call))
    assert operators.put(member, 0, 5)[0] == 503 and member.proposed == []


def test_what_changes_nothing_is_confirmed_by_a_majority_and_not_logged():
    member = operators.Member()
    assert [operators.put(member, 0, 5)[0], operators.put(member, 5, 9)[0]] == [200, 200]
    count = len(member.proposed)
    assert operators.put(member, 0, 5)[0] == 200  # taken before
    assert operators.put(member, 0, 6)[0] == 412  # lost its race
    assert operators.put(member, 9, 9, "other")[0] == 400  # the number is used
    assert len(member.proposed) == count
    member.confirm_leadership = lambda call: call(False)
    for base, edition in ((0, 5), (0, 6)):
        assert operators.put(member, base, edition)[0] == 503  # neither acknowledged nor refused


def test_an_order_older_than_the_record_is_unclear_and_not_refused():
    member = operators.Member()
    member.machine.accepted.max_orders = 2
    for edition in range(1, 6):
        assert operators.put(member, edition - 1, edition)[0] == 200
    assert [operators.put(member, edition - 1, edition)[0] for edition in range(1, 6)] == [504, 504, 504, 200, 200]
    assert operators.own_put(member, 0, "unheard of")[0] == 504


@pytest.mark.parametrize("name", CALLS)
def test_nothing_is_answered_as_read_or_written_unless_a_majority_confirms(name):
    member = operators.Member()
    member.confirm_leadership, member.commits = lambda call: call(False), "lost"
    assert CALLS[name](member)[0] == (504 if "put" in name else 503)


@pytest.mark.parametrize(
    "age, status", [(0.0, 307), (constants.LEADER_HINT_MAX_AGE_S - 0.01, 307), (constants.LEADER_HINT_MAX_AGE_S, 503)]
)
def test_a_follower_names_only_a_leader_heard_of_lately(age, status):
    member = operators.Member()
    member.is_leader, member.leader, member.last_contact = False, "B/1", member.time - age
    for name in CALLS:
        said, headers = CALLS[name](member)
        assert said == status and ("location" in headers) == (status == 307)


def test_a_member_that_was_leader_names_nobody_until_it_hears_of_one():
    member = operators.Member()
    member.is_leader, member.last_contact = False, member.time
    for leader in ("A/1", "", "gone/1"):
        member.leader = leader
        assert operators.put(member, 0, 5)[0] == 503 and operators.get(member)[0] == 503


@pytest.mark.parametrize(
    "edition", [2**53, 2**63, 10**400, float("inf"), float("nan")], ids=["2**53", "2**63", "10**400", "inf", "nan"]
)
def test_an_edition_that_records_cannot_carry_is_turned_away(edition):
    member = operators.Member()
    assert operators.put(member, 0, edition)[0] == 400 and member.proposed == []
    assert operators.put(member, 0, constants.MAX_SEQUENCE_NUMBER)[0] == 200


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_what_is_no_json_is_turned_away_wherever_it_stands(value):
    member = operators.Member()
    assert operators.put(member, 0, 5, {"deep": [value]})[0] == 400 and member.proposed == []


def test_a_deadline_past_all_numbers_is_turned_away():
    member, sent = operators.Member(), operators.document(5)
    sent["itineraries"][0]["deadline_ms"] = 10**400
    assert fronts.call(operators.platform_front(member), "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 400
