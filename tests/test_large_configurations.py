"""Large configurations at real processes: taken, in force, read back, and changed again, also after kills."""

import gc
import json
import pathlib
import sys
import time

import pytest

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.document as configuration
import mothshed.constants as constants
import mothshed.control_plane.large_orders as large_orders
import mothshed.runtime.long_work as long_work
import mothshed.transport.constants as transport_constants
import tests.fleets as fleets
import tests.fronts as fronts
import tests.operators as operators
import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site
import tools.fleet as fleet_module

ROUTES = 13000
KEEPERS = ("keep-1", "keep-2", "keep-3")
IN_FORCE_S = 30.0  # longest wait for a version at the routers; on a busy machine


def large_document(routes=ROUTES):
    """A valid document within the limit on bodies whose whole log entry would be longer than a record may be."""
    rows = [
        {
            "name": f"{'ж' * 90}-{number}",
            "host": "one.example",
            "prefix": f"/{number}/",
            "kind": "safe",
            "pools": [{"pool": "main", "share": 1}],
            "cutoff_s": 8,
        }
        for number in range(routes)
    ]
    return fleet_module.document("patinetes", routes=rows)


def wait_in_force(fleet, sequence):
    """Wait until every router serves by a version."""
    for addresses in fleet.routers().values():
        for address in addresses:
            fleet.wait_http(address, "/condition", lambda c: (c["sequence"] or 0) >= sequence, IN_FORCE_S)


def reported(fleet, kind):
    """The names of the processes that reported a state change of this kind."""
    return [path.stem for path in pathlib.Path(fleet.folder).glob("*.ring") if f'"{kind}"' in path.read_text()]


def test_a_large_configuration_is_carried_and_changed_and_survives_kills(tmp_path):
    """Guards against review/5: a valid configuration that was logged but couldn't be sent ended its part for good."""
    document = large_document()
    body = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
    assert len(body) < constants.MAX_BODY_BYTES and len(json.dumps(document)) > transport_constants.MAX_RECORD_BYTES
    with fleets.serving(tmp_path, 2, 2) as fleet:
        first = fleet.config()["latest"]
        assert fleet.apply(first, document, "large") == (0, {"sequence": first + 1, "id": "large"})
        assert fleet.apply(first, document, "large")[0] == 0  # repeated, as after a lost answer
        wait_in_force(fleet, first + 1)
        small = {**document, "note": "changed"}
        assert fleet.apply(first + 1, small, "small")[0] == 0
        wait_in_force(fleet, first + 2)
        for name in KEEPERS:
            fleet.kill(name)
        for name in KEEPERS:
            fleet.relaunch(name)
        read = fleet.config()
        assert read["latest"] == first + 2 and read["latest_document"]["note"] == "changed"
        assert [row["name"] for row in read["latest_document"]["routes"]] == [row["name"] for row in document["routes"]]
        assert fleet.apply(first + 2, {**document, "note": "again"}, "again")[0] == 0
        wait_in_force(fleet, first + 3)
        assert reported(fleet, "disk_fault") == reported(fleet, "record_not_sent") == []


def test_a_keeper_with_an_empty_disk_gets_the_large_configuration(tmp_path):
    """Guards against a snapshot whose documents no newcomer could read back."""
    with fleets.serving(tmp_path, 1, 2) as fleet:
        first = fleet.config()["latest"]
        assert fleet.apply(first, large_document(2500), "large")[0] == 0
        wait_in_force(fleet, first + 1)
        fleet.kill("keep-1")
        for path in (tmp_path / "keep-1.data").iterdir():
            path.unlink()
        fleet.relaunch("keep-1")
        deadline = time.monotonic() + IN_FORCE_S
        while not list((tmp_path / "keep-1.data").glob("document-*")) and time.monotonic() < deadline:
            time.sleep(0.05)
        documents = {path.name for path in (tmp_path / "keep-1.data").glob("document-*")}
        assert len(documents) == 1 and documents == {
            path.name for path in (tmp_path / "keep-2.data").glob("document-*")
        }


# --- the platform's format ---------------------------------------------------
@pytest.fixture
def nodes(tmp_path):
    found = platform_nodes.Nodes(tmp_path)
    assert found.put(platform_nodes.document(3), 0).status == 200
    yield found
    found.stop()


def platform_document(edition, routes=2500, **more):
    rows = [
        platform_site.route(f"r-{n}", "one.example", "one", prefix=f"/{n}/", kind="once_only", note="ሪፊል" * 10)
        for n in range(routes)
    ]
    return platform_nodes.document(edition, platform_site.route("r-one", "one.example", "one"), *rows, **more)


def put_text(nodes, document, base):
    return nodes.put(json.dumps(document, ensure_ascii=False).encode(), base)


def patch(nodes, base, edition, **change):
    body = json.dumps({"edition": edition, **change}).encode()
    headers = [("Host", "k"), ("If-Match", str(base)), ("Content-Type", "application/json")]
    for _attempt in range(3):
        answer = platform_site.ask(nodes.address, "PATCH", "/configuration", body, headers)
        if answer.status not in (503, 504):
            break
    return answer


def test_a_large_configuration_is_returned_as_sent_and_changed_by_names(nodes):
    """Guards against a small change that is refused, or never taken, since the whole document is large."""
    document = platform_document(7)
    assert len(json.dumps(document, ensure_ascii=False)) > 2 * configuration_constants.MAX_WHOLE_DOCUMENT_BYTES
    assert put_text(nodes, document, 3).status == put_text(nodes, document, 3).status == 200
    assert nodes.get() == (200, document)
    platform_site.wait_until(lambda: nodes.router.lease.sequence() == 7, IN_FORCE_S)
    row = platform_site.route("r-new", "one.example", "one", prefix="/new/")
    assert patch(nodes, 7, 9, deliver={"itineraries": [row]}).status == 200
    changed = {**document, "edition": 9, "itineraries": [*document["itineraries"], row]}
    assert nodes.get() == (200, changed)
    platform_site.wait_until(lambda: nodes.router.lease.sequence() == 9, IN_FORCE_S)
    assert len(nodes.router.lease.document()["routes"]) == len(changed["itineraries"])


def test_a_change_that_makes_the_whole_too_large_is_refused_clearly(nodes):
    row = platform_site.route("r-new", "one.example", "one", prefix="/new/", note="x" * 2_300_000)
    assert patch(nodes, 3, 5, deliver={"itineraries": [row]}).status == 200
    other = {**row, "name": "r-other", "prefix": "/other/"}
    answer = patch(nodes, 5, 7, deliver={"itineraries": [other]})
    assert answer.status == 400 and b"more than" in answer.body and nodes.get()[1]["edition"] == 5


def nested(levels):
    """JSON text of a value below this number of lists."""
    return "[" * levels + '"x"' + "]" * levels


def text_with_remark(edition, remark):
    """A document's text with the text of one more value."""
    return json.dumps(platform_nodes.document(edition, remark=0)).replace('"remark": 0', f'"remark": {remark}').encode()


def test_what_some_process_could_not_parse_is_refused_before_it_is_logged(nodes):
    """Guards against a document of 3 KB, nested 975 levels deep, that was logged and ended its part for good."""
    deepest = configuration_constants.MAX_JSON_LEVELS - 2  # below the document and above the innermost value
    for remark in (nested(deepest + 1), nested(975), nested(5000), '"\\ud800"', '{"\\udc00": 1}'):
        answer = nodes.put(text_with_remark(7, remark), 3)
        assert answer.status == 400 and len(answer.body) < 1000
    text = text_with_remark(7, nested(deepest))
    assert nodes.put(text, 3).status == 200 and nodes.get() == (200, json.loads(text))
    row = platform_site.route("r-1", "one.example", "one", prefix="/1/")
    assert patch(nodes, 7, 9, deliver={"itineraries": [row]}).status == 200
    platform_site.wait_until(lambda: nodes.router.lease.sequence() == 9, IN_FORCE_S)


class Clock:
    """Time that passes only while somebody sleeps."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time

    def sleep(self, duration_s):
        self.time += duration_s


def test_large_orders_are_handled_one_at_a_time():
    """Guards against copies of a large order that together take more memory than a process has."""
    clock = Clock()
    orders = large_orders.LargeOrders(clock)
    with orders.turn(needed=False), orders.turn():
        with orders.turn(needed=False):
            pass  # small ones never wait
        with pytest.raises(large_orders.LargeOrdersBusyError), orders.turn():
            pass
    assert clock.time >= configuration_constants.LARGE_ORDER_WAIT_S
    usual_s = sys.getswitchinterval()
    thresholds = gc.get_threshold()
    with orders.turn(), long_work.long_work():
        assert sys.getswitchinterval() < usual_s / 5 and gc.get_threshold()[2] > 1000 * thresholds[2]
    assert sys.getswitchinterval() == usual_s and gc.get_threshold() == thresholds


def test_validation_leaves_no_cycles_behind():
    """Guards against collections that hold a process for half a second: four objects a route were left to them."""
    document = large_document(300)
    for row in document["routes"]:
        row["cutoff_s"], row["aim_s"] = 8.5, 0.8
    gc.collect()
    gc.disable()
    try:
        validation = configuration.validate(document)
        assert validation.errors == [] and gc.collect() < 300
    finally:
        gc.enable()


def test_an_order_that_finds_the_turn_taken_is_told_to_come_back():
    member = operators.FakeLeader()
    front = operators.platform_front(member)
    front.large_orders = large_orders.LargeOrders(Clock())
    with front.large_orders.turn():
        body = json.dumps(platform_document(7, 1500)).encode()
        status, headers, _body = fronts.call(front, "PUT", "/configuration", body, [("If-Match", "0")])
    assert status == 503 and float(headers["retry-after"]) > 0 and member.proposed == []
