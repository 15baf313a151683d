"""API keys and rate limits of tenants at the router's own interface, in the simulator: served, refused, rechecked."""

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
    """The document of the deployment with a key for each tenant. limits: of the tenant riders."""
    result = real_fleet.document("patinetes")
    for tenant, key in (keys or KEYS).items():
        result["tenants"][tenant] = {**result["tenants"][tenant], "keys": [tenant_keys.digest_of(key)]}
    result["tenants"]["riders"].update(limits)
    return {**result, "require_key": require_key}


class Fleet:
    """A simulated fleet of one router that records what is sent to its replicas."""

    def __init__(self, seed, body):
        self.sim = sim.SimFleet(seed, routers=1, replicas=2)
        self.sim.ready(body=body)
        self.router = self.sim.processes["route-1"]
        self.sent, self.count = [], 0
        for address, (machine, app) in list(self.sim.net.apps.items()):
            if address.startswith("10.3."):
                self.sim.net.apps[address] = (machine, self.recording(app))

    def recording(self, app):
        def record(environ, start):
            self.sent.append({k: v for k, v in environ.items() if isinstance(v, str)})
            return app(environ, start)

        return record

    def change(self, body):
        """Put a document and wait until it is in force at the router."""
        base, before = self.router.lease.sequence(), len(self.sim.writes)
        self.sim.operator(lambda: self.sim.apply(f"change-{base}", base, body))
        self.run_until(lambda: len(self.sim.writes) > before and self.router.lease.sequence() != base)

    def run_until(self, condition, timeout_s=20.0):
        until = self.sim.loop.time + timeout_s
        while not condition():
            assert self.sim.loop.time < until, "timed out"
            self.sim.run(0.05)

    def begin(self, headers, body=None, path=PATHS[0], cutoff_ms="6000"):
        """Send a request; returns its id, and a list that receives the response."""
        self.count += 1
        replies, request_id = [], f"own-{self.count}"
        request_headers = {"x-request-id": request_id, "x-kind": "question", "x-cutoff-ms": cutoff_ms, **headers}
        address = self.sim.settings["route-1"]["http"]

        def send():
            response = self.sim.ops.web.send("POST", f"http://{address}{path}", body or TEXT, request_headers, read=8)
            replies.append((response.status, response.headers, response.body() if response.status != 200 else None))

        self.sim.operator(send)
        return request_id, replies

    def call(self, headers, **more):
        request_id, replies = self.begin(headers, **more)
        self.run_until(lambda: replies)
        return replies[0]

    def runs(self, request_id):
        return [row for row in self.sim.ledger if row["kind"] == "run" and row.get("request") == request_id]


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
    ids=["none", "tenant name only", "unknown", "another scheme", "no scheme", "two"],
)
def test_a_request_without_a_known_key_is_refused_with_401(fleet, headers):
    fleet.sent.clear()
    status, fields, payload = fleet.call(headers)
    assert status == 401 and fields["www-authenticate"] == "Bearer"
    assert payload["error"]["verdict"] == "not_run" and fleet.sent == []


def test_a_request_that_names_another_tenant_than_its_key_is_refused_with_403(fleet):
    fleet.sent.clear()
    assert fleet.call(bearer("riders", **{"x-tenant": "repair"}))[0] == 403
    assert fleet.sent == []


def test_without_a_lease_a_key_is_never_rejected_as_unknown(fleet, monkeypatch):
    monkeypatch.setattr(
        fleet.router.lease, "published", (*fleet.router.lease.published[:1], 0.0, fleet.router.lease.published[2])
    )
    monkeypatch.setattr(fleet.router.lease, "publish", lambda: None)
    status, fields, payload = fleet.call({"authorization": "Bearer key-of-nobody"})
    assert status == 503 and fields["retry-after"] and payload["error"]["verdict"] == "not_run"


def test_where_no_key_is_required_the_named_tenant_applies():
    fleet = Fleet("own-without-keys", document(require_key=False))
    assert fleet.call({"x-tenant": "riders"})[0] == 200
    assert fleet.call(bearer("repair", **{"x-tenant": "riders"}))[0] == 200
    assert fleet.call(bearer("repair"))[0] == 403


def hold_back_plans(fleet, monkeypatch):
    """Make no plans until the returned function is called."""
    holding = [True]
    original = fleet.router.admission.try_plan
    monkeypatch.setattr(
        fleet.router.admission, "try_plan", lambda *arguments: None if holding[0] else original(*arguments)
    )
    monkeypatch.setattr(constants, "MAX_QUEUE_WAIT_S", 5.0)

    def allow_plans():
        holding[0] = False

    return allow_plans


@pytest.mark.parametrize(
    "keys, status",
    [({**KEYS, "riders": "key-of-riders-2"}, 401), ({"dispatch": KEYS["riders"], "riders": KEYS["dispatch"]}, 503)],
    ids=["revoked", "assigned to another tenant"],
)
def test_a_key_is_checked_again_before_a_send_under_a_newer_document(monkeypatch, keys, status):
    fleet = Fleet(f"own-again-{status}", document())
    allow_plans = hold_back_plans(fleet, monkeypatch)
    request_id, replies = fleet.begin(bearer("riders"))
    fleet.sim.run(0.2)
    fleet.change(document(keys=keys))
    allow_plans()
    fleet.run_until(lambda: replies)
    assert replies[0][0] == status and replies[0][2]["error"]["verdict"] == "not_run" and fleet.runs(request_id) == []


def test_a_request_whose_key_is_revoked_during_the_prefill_is_answered_may_have_run(monkeypatch):
    fleet = Fleet("own-again-read", document())
    request_id, replies = fleet.begin(bearer("riders"))
    original = fleet.router.lease.current
    newer = document(keys={**KEYS, "riders": "key-of-riders-2"})

    def current():
        sequence, active = original()
        return (sequence + 1, newer) if fleet.runs(request_id) else (sequence, active)

    monkeypatch.setattr(fleet.router.lease, "current", current)
    monkeypatch.setattr(fleet.router.lease, "sequence", lambda: current()[0])
    fleet.run_until(lambda: replies)
    assert replies[0][0] == 502 and replies[0][2]["error"]["verdict"] == "may_have_run"
    assert [row.get("role") for row in fleet.runs(request_id)] == ["prefill"]


def test_a_tenant_is_served_its_burst_and_then_refused_with_429():
    fleet = Fleet("own-limit", document(rate_per_s=0.5, burst=3))
    fleet.sim.run(10.0)  # the token bucket of a new leader fills at the rate
    all_replies = [fleet.begin(bearer("riders"))[1] for _ in range(6)]
    fleet.run_until(lambda: all(all_replies))
    statuses = sorted(replies[0][0] for replies in all_replies)
    assert statuses == [200] * 3 + [429] * 3
    refused = next(replies[0] for replies in all_replies if replies[0][0] == 429)
    assert 0 < float(refused[1]["retry-after"]) <= 2.0 and refused[2]["error"]["verdict"] == "not_run"
    assert fleet.call(bearer("repair"))[0] == 200


def test_a_request_acquires_one_permit_however_often_it_is_sent(monkeypatch):
    fleet = Fleet("own-permit", document(rate_per_s=100, burst=10))
    tenants, original = [], fleet.router.permits.take

    def take(*arguments):
        tenants.append(arguments[0])
        original(*arguments)

    monkeypatch.setattr(fleet.router.permits, "take", take)
    rejected, prefill = [], replica_adapter.prefill

    def reject_once(*arguments):
        if rejected:
            return prefill(*arguments)
        rejected.append(arguments[3].name)
        raise verdict.SendFailure(verdict.Verdict.NOT_RUN, "status 503", arguments[3].name, rejected=True)

    monkeypatch.setattr(replica_adapter, "prefill", reject_once)
    assert fleet.call(bearer("riders"))[0] == 200
    assert rejected and tenants == ["riders"]


def test_where_no_key_is_required_no_permit_is_needed():
    fleet = Fleet("own-no-permit", document(require_key=False, rate_per_s=0.001, burst=0))
    assert [fleet.call({"x-tenant": "riders"})[0] for _ in range(2)] == [200, 200]
