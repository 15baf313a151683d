"""Keys and limits of tenants at our own interface, in the simulator: who is served, refused, and asked again."""

import pytest

import mothshed.configuration.tenant_keys as tenant_keys
import mothshed.constants as constants
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import tools.fleet as real_fleet
import tools.simulator.fleet as sim

KEYS = {"dispatch": "key-of-dispatch", "repair": "key-of-repair", "riders": "key-of-riders"}
TEXT = {"model": "shift-notes", "prompt": "scooter 4?", "max_tokens": 5}
PATHS = ("/v1/completions", "/v1/chat/completions")


def document(require_key=True, keys=None, **limits):
    """The deployment's document with a key for each tenant; limits: of the tenant riders."""
    found = real_fleet.document("patinetes")
    for name, key in (keys or KEYS).items():
        found["tenants"][name] = {**found["tenants"][name], "keys": [tenant_keys.digest_of(key)]}
    found["tenants"]["riders"].update(limits)
    return {**found, "require_key": require_key}


class Fleet:
    """A simulated fleet of one router, with what its replicas are sent."""

    def __init__(self, seed, body):
        self.sim = sim.SimFleet(seed, routers=1, replicas=2)
        self.sim.ready(body=body)
        self.router = self.sim.parts["route-1"]
        self.sent, self.count = [], 0
        for place, (machine, app) in list(self.sim.net.apps.items()):
            if place.startswith("10.3."):
                self.sim.net.apps[place] = (machine, self.recording(app))

    def recording(self, app):
        def record(environ, start):
            self.sent.append({k: v for k, v in environ.items() if isinstance(v, str)})
            return app(environ, start)

        return record

    def change(self, body):
        """Put a document and wait until the router serves by it."""
        base, before = self.router.lease.sequence(), len(self.sim.writes)
        self.sim.operator(lambda: self.sim.apply(f"change-{base}", base, body))
        self.run_until(lambda: len(self.sim.writes) > before and self.router.lease.sequence() != base)

    def run_until(self, true, most=20.0):
        until = self.sim.loop.time + most
        while not true():
            assert self.sim.loop.time < until, "it never came"
            self.sim.run(0.05)

    def begin(self, headers, body=None, path=PATHS[0], cutoff_ms="6000"):
        """Send a request; its answer comes into the box that is given back."""
        self.count += 1
        box, name = [], f"own-{self.count}"
        rows = {"x-request-id": name, "x-kind": "question", "x-cutoff-ms": cutoff_ms, **headers}
        place = self.sim.settings["route-1"]["http"]

        def send():
            response = self.sim.ops.web.send("POST", f"http://{place}{path}", body or TEXT, rows, read=8)
            box.append((response.status, response.headers, response.body() if response.status != 200 else None))

        self.sim.operator(send)
        return name, box

    def call(self, headers, **more):
        name, box = self.begin(headers, **more)
        self.run_until(lambda: box)
        return box[0]

    def runs(self, name):
        return [r for r in self.sim.ledger if r["kind"] == "run" and r.get("request") == name]


def bearer(tenant, **more):
    return {"authorization": f"Bearer {KEYS[tenant]}", **more}


@pytest.fixture(scope="module")
def fleet():
    return Fleet("own-keys", document())


@pytest.mark.parametrize("path, body", [(PATHS[0], TEXT), (PATHS[1], None)])
def test_a_request_with_a_key_is_served_as_its_tenant(fleet, path, body):
    chat = {"model": "shift-notes", "messages": [{"role": "user", "content": "scooter 4?"}], "max_tokens": 5}
    fleet.sent.clear()
    assert fleet.call(bearer("riders"), body=body or chat, path=path)[0] == 200
    assert fleet.call(bearer("riders", **{"x-tenant": "riders"}), body=body or chat, path=path)[0] == 200
    assert fleet.sent and KEYS["riders"] not in repr(fleet.sent)


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"x-tenant": "riders"},
        {"authorization": "Bearer key-of-nobody", "x-tenant": "riders"},
        {"authorization": f"Basic {KEYS['riders']}"},
        {"authorization": KEYS["riders"]},
        {"authorization": f"Bearer {KEYS['riders']}, Bearer {KEYS['repair']}"},
    ],
    ids=["none", "a name only", "unknown", "another scheme", "no scheme", "two"],
)
def test_a_request_without_a_known_key_is_refused_with_401(fleet, headers):
    fleet.sent.clear()
    status, fields, said = fleet.call(headers)
    assert status == 401 and fields["www-authenticate"] == "Bearer"
    assert said["error"]["verdict"] == "not_run" and fleet.sent == []


def test_a_request_that_names_another_tenant_than_its_key_is_refused_with_403(fleet):
    fleet.sent.clear()
    assert fleet.call(bearer("riders", **{"x-tenant": "repair"}))[0] == 403
    assert fleet.sent == []


def test_without_a_lease_a_key_is_never_said_to_be_unknown(fleet, monkeypatch):
    monkeypatch.setattr(
        fleet.router.lease, "published", (*fleet.router.lease.published[:1], 0.0, fleet.router.lease.published[2])
    )
    monkeypatch.setattr(fleet.router.lease, "publish", lambda: None)
    status, fields, said = fleet.call({"authorization": "Bearer key-of-nobody"})
    assert status == 503 and fields["retry-after"] and said["error"]["verdict"] == "not_run"


def test_where_no_key_is_asked_for_the_named_tenant_counts():
    found = Fleet("own-without-keys", document(require_key=False))
    assert found.call({"x-tenant": "riders"})[0] == 200
    assert found.call(bearer("repair", **{"x-tenant": "riders"}))[0] == 200
    assert found.call(bearer("repair"))[0] == 403


def hold_back(fleet, monkeypatch):
    """No plan is made until this is called."""
    held = [True]
    former = fleet.router.admission.try_plan
    monkeypatch.setattr(fleet.router.admission, "try_plan", lambda *order: None if held[0] else former(*order))
    monkeypatch.setattr(constants, "MAX_QUEUE_WAIT_S", 5.0)

    def go_on():
        held[0] = False

    return go_on


@pytest.mark.parametrize(
    "keys, status",
    [({**KEYS, "riders": "key-of-riders-2"}, 401), ({"dispatch": KEYS["riders"], "riders": KEYS["dispatch"]}, 503)],
    ids=["taken away", "given to another tenant"],
)
def test_a_key_is_asked_for_again_before_a_send_under_a_newer_document(monkeypatch, keys, status):
    found = Fleet(f"own-again-{status}", document())
    go_on = hold_back(found, monkeypatch)
    name, box = found.begin(bearer("riders"))
    found.sim.run(0.2)
    found.change(document(keys=keys))
    go_on()
    found.run_until(lambda: box)
    assert box[0][0] == status and box[0][2]["error"]["verdict"] == "not_run" and found.runs(name) == []


def test_a_key_that_was_taken_away_while_its_prompt_was_read_is_answered_may_have_run(monkeypatch):
    found = Fleet("own-again-read", document())
    name, box = found.begin(bearer("riders"))
    former = found.router.lease.current
    newer = document(keys={**KEYS, "riders": "key-of-riders-2"})

    def current():
        sequence, active = former()
        return (sequence + 1, newer) if found.runs(name) else (sequence, active)

    monkeypatch.setattr(found.router.lease, "current", current)
    monkeypatch.setattr(found.router.lease, "sequence", lambda: current()[0])
    found.run_until(lambda: box)
    assert box[0][0] == 502 and box[0][2]["error"]["verdict"] == "may_have_run"
    assert [r.get("role") for r in found.runs(name)] == ["prefill"]


def test_a_tenant_is_served_its_burst_and_then_refused_with_429():
    found = Fleet("own-limit", document(rate_per_s=0.5, burst=3))
    found.sim.run(10.0)  # the bucket of a leader that has just begun fills at the rate
    boxes = [found.begin(bearer("riders"))[1] for _ in range(6)]
    found.run_until(lambda: all(boxes))
    statuses = sorted(box[0][0] for box in boxes)
    assert statuses == [200] * 3 + [429] * 3
    refused = next(box[0] for box in boxes if box[0][0] == 429)
    assert 0 < float(refused[1]["retry-after"]) <= 2.0 and refused[2]["error"]["verdict"] == "not_run"
    assert found.call(bearer("repair"))[0] == 200


def test_a_request_takes_one_permit_however_often_it_is_sent(monkeypatch):
    found = Fleet("own-permit", document(rate_per_s=100, burst=10))
    taken, former = [], found.router.permits.take

    def take(*order):
        taken.append(order[0])
        former(*order)

    monkeypatch.setattr(found.router.permits, "take", take)
    turned_away, prefill = [], replica_adapter.prefill

    def turn_away_once(*order):
        if turned_away:
            return prefill(*order)
        turned_away.append(order[3].name)
        raise verdict.SendFailure(verdict.Verdict.NOT_RUN, "status 503", order[3].name, rejected=True)

    monkeypatch.setattr(replica_adapter, "prefill", turn_away_once)
    assert found.call(bearer("riders"))[0] == 200
    assert turned_away and taken == ["riders"]


def test_where_no_key_is_asked_for_no_permit_is_needed():
    found = Fleet("own-no-permit", document(require_key=False, rate_per_s=0.001, burst=0))
    assert [found.call({"x-tenant": "riders"})[0] for _ in range(2)] == [200, 200]
