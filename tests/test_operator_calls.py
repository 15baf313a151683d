"""Responses to operators: leaders without a majority, lost responses, repeated orders."""

import pytest

import mothshed.configuration.document as configuration
import mothshed.constants as constants
import mothshed.control_plane.operator_api as operator_api
import tests.fronts as fronts
import tests.operators as operators
import tests.platform_site as platform_site

WHOLE_CHANGE = {"deliver": {"itineraries": [], "depots": [platform_site.depot("one")]}}
CALLS = {
    "platform put": lambda member: operators.put(member, 0, 5),
    "api put": lambda member: operators.api_put(member, 0, "x"),
    "platform patch": lambda member: operators.patch(member, 0, 5, WHOLE_CHANGE)[:2],
    "platform get": operators.get,
    "api get": lambda member: fronts.call(operator_api.OperatorApi(operators.keeper(member)), "GET", "/configuration")[
        :2
    ],
    "api history": lambda member: fronts.call(
        operator_api.OperatorApi(operators.keeper(member)), "GET", "/configuration/history"
    )[:2],
}


@pytest.mark.parametrize("name", CALLS)
def test_leader_without_majority_responds_immediately(name):
    member = operators.FakeLeader()
    member.confirmed = False
    status, headers = CALLS[name](member)
    assert status == 503 and float(headers["retry-after"]) > 0
    assert member.events == [] and member.proposed == [] and member.mailbox == []


@pytest.mark.parametrize("name", CALLS)
def test_calls_time_out_before_their_clients_do(name):
    member = operators.FakeLeader()
    member.mailbox_blocked = True
    CALLS[name](member)
    assert [timeout_s for event in member.events for timeout_s in event.timeouts] == [constants.OPERATOR_CALL_TIMEOUT_S]
    assert constants.OPERATOR_CALL_TIMEOUT_S < 1.0


def test_write_not_started_by_the_mailbox_is_withdrawn():
    member = operators.FakeLeader()
    member.mailbox_blocked = True  # as by a stalled disk
    assert operators.put(member, 0, 5)[0] == 503
    member.mailbox_blocked = False
    member.run_mailbox()
    assert member.proposed == [] and member.machine.latest == 0


@pytest.mark.parametrize("commits", ["delayed", "lost"])
def test_proposed_write_without_commit_has_unknown_outcome(commits):
    member = operators.FakeLeader()
    member.commits = commits
    assert operators.put(member, 0, 5)[0] == 504 and operators.api_put(member, 0, "x")[0] == 504
    for call in member.pending_commits:
        call()
    member.commits = "immediate"
    if commits == "delayed":  # committed after the response: repeating the order succeeds
        assert operators.put(member, 0, 5)[0] == 200


@pytest.mark.parametrize("end", ["commit", "lost"])
def test_repeated_order_in_progress_is_appended_once(end):
    member = operators.FakeLeader()
    member.commits = "delayed"
    front = operators.platform_front(member)
    sent = operators.document(5)
    for _ in range(4):
        assert fronts.call(front, "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 504
    assert len(member.proposed) == 1 and len(front.calls.proposed) == 1
    if end == "lost":
        front.calls.finish_write(member.proposed[0]["id"], None)
    else:
        member.pending_commits[0]()
    assert front.calls.proposed == {}
    member.commits = "immediate"
    assert fronts.call(front, "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 200
    assert len(member.proposed) == (2 if end == "lost" else 1) and member.machine.latest == 5


def test_majority_lost_before_the_mailbox_runs_writes_nothing():
    member = operators.FakeLeader()
    member.environment.post = lambda call: (setattr(member, "confirmed", False), member.post(call))
    assert operators.put(member, 0, 5)[0] == 503 and member.proposed == []


def test_order_without_effect_is_confirmed_but_not_appended():
    member = operators.FakeLeader()
    assert [operators.put(member, 0, 5)[0], operators.put(member, 5, 9)[0]] == [200, 200]
    count = len(member.proposed)
    assert operators.put(member, 0, 5)[0] == 200  # already accepted
    assert operators.put(member, 0, 6)[0] == 412  # another order on this base was accepted first
    assert operators.put(member, 9, 9, "other")[0] == 400  # the edition is already used
    assert len(member.proposed) == count
    member.confirm_leadership = lambda call: call(False)
    for base, edition in ((0, 5), (0, 6)):
        assert operators.put(member, base, edition)[0] == 503  # neither acknowledged nor rejected


def test_order_older_than_the_record_has_unknown_outcome():
    member = operators.FakeLeader()
    member.machine.accepted.max_orders = 2
    for edition in range(1, 6):
        assert operators.put(member, edition - 1, edition)[0] == 200
    assert [operators.put(member, edition - 1, edition)[0] for edition in range(1, 6)] == [504, 504, 504, 200, 200]
    assert operators.api_put(member, 0, "unknown order")[0] == 504


@pytest.mark.parametrize("name", CALLS)
def test_no_success_response_without_majority_confirmation(name):
    member = operators.FakeLeader()
    member.confirm_leadership, member.commits = lambda call: call(False), "lost"
    assert CALLS[name](member)[0] == (504 if "put" in name else 503)


@pytest.mark.parametrize(
    "age, status", [(0.0, 307), (constants.LEADER_HINT_MAX_AGE_S - 0.01, 307), (constants.LEADER_HINT_MAX_AGE_S, 503)]
)
def test_follower_redirects_only_to_a_leader_heard_from_recently(age, status):
    member = operators.FakeLeader()
    member.is_leader, member.leader, member.last_contact = False, "B/1", member.time - age
    for name in CALLS:
        response_status, headers = CALLS[name](member)
        assert response_status == status and ("location" in headers) == (status == 307)


def test_former_leader_redirects_nobody_until_it_knows_a_new_leader():
    member = operators.FakeLeader()
    member.is_leader, member.last_contact = False, member.time
    for leader in ("A/1", "", "gone/1"):
        member.leader = leader
        assert operators.put(member, 0, 5)[0] == 503 and operators.get(member)[0] == 503


@pytest.mark.parametrize(
    "edition", [2**53, 2**63, 10**400, float("inf"), float("nan")], ids=["2**53", "2**63", "10**400", "inf", "nan"]
)
def test_edition_out_of_range_is_rejected(edition):
    member = operators.FakeLeader()
    assert operators.put(member, 0, edition)[0] == 400 and member.proposed == []
    assert operators.put(member, 0, constants.MAX_SEQUENCE_NUMBER)[0] == 200


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_non_json_number_is_rejected_at_any_depth(value):
    member = operators.FakeLeader()
    assert operators.put(member, 0, 5, {"deep": [value]})[0] == 400 and member.proposed == []


def test_deadline_beyond_float_range_is_rejected():
    member, sent = operators.FakeLeader(), operators.document(5)
    sent["itineraries"][0]["deadline_ms"] = 10**400
    assert fronts.call(operators.platform_front(member), "PUT", "/configuration", sent, {"If-Match": "0"})[0] == 400


# Guards against large documents that reach the leader too late, as each keeper validated them before it named it.
@pytest.mark.parametrize("name", ["platform put", "api put"])
def test_a_keeper_that_does_not_lead_names_the_leader_without_validating(name, monkeypatch):
    member = operators.FakeLeader()
    member.is_leader = False
    member.members, member.leader, member.member_id = {"other": {"http": "k:2", "address": "k:1"}}, "other", "own"
    member.last_contact = member.environment.now()
    monkeypatch.setattr(configuration, "DOCUMENT", None)  # a validation would fail
    status, headers = CALLS[name](member)
    assert status == 307 and headers["location"].startswith("http://k:2/configuration")


@pytest.mark.parametrize("name", ["platform put", "api put"])
def test_a_leader_validates_a_document_once(name, monkeypatch):
    calls, schema = [], configuration.DOCUMENT
    monkeypatch.setattr(configuration, "DOCUMENT", lambda document: calls.append(1) or schema(document))
    CALLS[name](operators.FakeLeader())
    assert len(calls) == 1
