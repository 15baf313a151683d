"""A change by named items whose leader crashes at any time while the change is processed."""

import pytest

import tools.fleet as real_fleet
import tools.simulator.fleet as sim

POOL = {"selector": {"app": "spare"}, "split": False}
STEP = 0.0015  # s; finer than a hop of the simulated network or a sync of its disks
STEPS = 24  # the change is acknowledged well before the last of them


def three_keepers(seed):
    """Three keepers with a first configuration, and the name of the leader."""
    fleet = sim.SimFleet(seed, routers=0, replicas=0)
    fleet.ready()
    return fleet, fleet.leader()


def send(fleet, name, body, responses):
    """Send a change to one keeper; append the status of its response, 0 if there is none, to responses."""

    def call():
        try:
            url = f"http://{fleet.settings[name]['http']}/configuration"
            responses.append(fleet.ops.web.send("PATCH", url, body, read=1.0).status)
        except sim.network.http_client.ExchangeError:
            responses.append(0)

    fleet.operator(call)


def documents(fleet):
    """The newest document as each running keeper holds it."""
    documents = []
    for name in fleet.names("keep"):
        machine = fleet.processes[name].members[0].machine
        documents.append((machine.latest, machine.docs[machine.latest]["doc"]))
    return documents


@pytest.mark.parametrize("restarted", [False, True])
def test_change_is_applied_once_whenever_its_leader_crashes(restarted):
    """restarted: whether the crashed leader is restarted with the data that its disk had synced."""
    outcomes = set()
    for step in range(STEPS):
        fleet, leader = three_keepers(f"change-{step}")
        body = {"base": 1, "put": {"pools": {"spare": POOL}}, "id": "add spare", "by": "test"}
        responses = []
        send(fleet, leader, body, responses)
        fleet.run(step * STEP)
        fleet.kill(leader)
        outcomes.add(tuple(responses))
        fleet.run(2.0)
        if restarted:
            fleet.start(leader)
            fleet.run(1.0)
        sequences = [latest for latest, document in documents(fleet) if latest]
        if responses == [200]:  # acknowledged, so it must survive its leader
            assert max(sequences) == 2
        answers = []
        fleet.operator(lambda f=fleet, b=body, a=answers: a.append(f.ask("PATCH", "/configuration", b)))
        fleet.run(5.0)
        assert answers == [(200, {"sequence": 2, "id": "add spare"})]
        whole = {**real_fleet.document(fleet.deployment)["pools"], "spare": POOL}
        running = [
            row for name, row in zip(fleet.names("keep"), documents(fleet), strict=True) if name != leader or restarted
        ]
        for latest, document in running:
            assert latest == 2 and sorted(document["pools"]) == sorted(whole)
            assert document["pools"]["spare"]["selector"] == POOL["selector"]
    assert {(), (200,)} <= outcomes  # crashes before and after the acknowledgement


def test_racing_change_and_document_have_one_winner():
    winners = set()
    for seed in range(12):
        fleet, leader = three_keepers(f"race-{seed}")
        document = real_fleet.document(fleet.deployment, note="whole")
        orders = {
            "PUT": {"base": 1, "document": document, "id": "whole"},
            "PATCH": {"base": 1, "put": {"pools": {"spare": POOL}}, "id": "spare"},
        }
        responses = {}

        def call(method, body, responses=responses, fleet=fleet):
            responses[method] = fleet.ask(method, "/configuration", body)[0]

        for method, body in orders.items():
            delay = fleet.random.random() * 0.01
            fleet.call_later(delay, lambda m=method, b=body, c=call, f=fleet: f.operator(lambda: c(m, b)))
        fleet.run(6.0)
        assert sorted(responses.values()) == [200, 409]
        won = min(responses, key=responses.get)
        winners.add(won)
        for latest, document in documents(fleet):
            assert latest == 2 and ("spare" in document["pools"]) == (won == "PATCH")
            assert (document.get("note") == "whole") == (won == "PUT")
    assert winners == {"PUT", "PATCH"}
