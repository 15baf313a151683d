"""One failed send or callback ends nothing else: neither the sends to other peers nor the next turns of a loop."""

import types

import pytest

import mothshed.configuration.lease as lease_module
import mothshed.control_plane.config_leader_task as config_leader_task
import mothshed.control_plane.list_leader_task as list_leader_task
import mothshed.control_plane.orders as orders
import mothshed.data_plane.backup_releases as backup_releases
import mothshed.data_plane.load_reporter as load_reporter
import mothshed.replicas.listed_replicas as listed_replicas
import mothshed.runtime.counters as counters
import mothshed.transport.constants as transport_constants
import mothshed.transport.gossip as gossip
import mothshed.transport.link as link_module
import mothshed.transport.records as records
import tests.all_orders as all_orders
import tests.group_model as group_model
import tests.peer_nodes as peer_nodes
import tests.platform_site as platform_site


def nested(levels):
    value = []
    for _ in range(levels):
        value = [value]
    return value


UNSENDABLE = {
    "too long": ("news", {"part": 0, "number": 1, "active": 1, "docs": ["x" * transport_constants.MAX_RECORD_BYTES]}),
    "nested too deeply": ("news", {"part": 0, "number": 1, "active": 1, "docs": nested(5000)}),
    "half a character": ("look_elsewhere", {"part": 0, "mark": 1, "leader": "\ud800"}),
    "a number too large": ("news_ack", {"part": 0, "number": 2**70, "staged": 1}),
    "no JSON": ("news", {"part": 0, "number": 1, "active": 1, "docs": [b"bytes"]}),
}


@pytest.fixture
def make_node():
    with peer_nodes.nodes() as make:
        yield make


@pytest.mark.parametrize("name", UNSENDABLE)
def test_a_record_that_cannot_be_packed_stops_no_other_send(make_node, name):
    """Guards against review/5: an append that couldn't be packed ended the loop over the other members."""
    sender, receiver = make_node(), make_node()
    kind, body = UNSENDABLE[name]
    sender.peers.send(receiver.address, kind, **body)
    sender.peers.send_to_each([receiver.address, sender.address], kind, **body)
    sender.send(receiver.address, 7)
    receiver.wait_for(1)
    assert receiver.received == [(sender.address, 7)] and sender.count("not_packed") == 2


def test_a_value_nested_too_deeply_for_the_receiver_is_a_record_error():
    text = b"[" * 100000 + b"]" * 100000
    body = records.SCALAR_FORMATS["q"].pack(0) * 3 + records.LENGTH.pack(len(text)) + text
    header = records.HEADER.pack(
        records.MAGIC, records.CODEC.by_name["news"].number, len(body), records.zlib.crc32(body)
    )
    with pytest.raises(records.RecordError):
        records.CODEC.unpack(header + body)


def test_a_socket_that_cannot_be_opened_is_a_link_error(monkeypatch):
    """Guards against a process out of descriptors losing its lease and list loops for good."""

    def refuse(*args):
        raise OSError(24, "too many open files")

    monkeypatch.setattr(link_module.socket, "socket", refuse)
    with pytest.raises(link_module.LinkError):
        link_module.Link.connect("127.0.0.1:1", 0.0)


class Timers:
    """Counts the callbacks that are scheduled, and can't do anything else."""

    address = "a:1"
    random = types.SimpleNamespace(random=lambda: 0.5)

    def __init__(self):
        self.scheduled = []

    def call_later(self, delay, callback):
        self.scheduled.append(callback)

    def now(self):
        return 5.0


def made_without_init(kind, **attributes):
    made = kind.__new__(kind)
    vars(made).update(environment=Timers(), **attributes)
    return made


def failing(*args, **fields):
    raise RuntimeError("a turn that fails")


def loops():
    """The loops that schedule their own next turn, each with work that fails: name -> (object, method)."""
    lease = made_without_init(lease_module.Lease, staged=0, active=0, request_lease=failing)
    leader_task = made_without_init(config_leader_task.ConfigLeaderTask, leading=True, try_activate=failing)
    orders_task = made_without_init(orders.OrderLeaderTask, active=True, lease=types.SimpleNamespace(document=failing))
    listed = made_without_init(
        listed_replicas.ListedReplicas,
        leaders=types.SimpleNamespace(address_for=failing),
        next_request_delay=lambda: 1.0,
    )
    report = made_without_init(counters.CountersReport, report_now=failing)
    report.timers = report.environment
    return {
        "lease": (lease, "tick"),
        "activation": (leader_task, "tick"),
        "orders": (orders_task, "tick"),
        "list": (listed, "tick"),
        "gossip": (made_without_init(gossip.Gossip, shuffle=failing), "run_round"),
        "loads": (made_without_init(load_reporter.LoadReporter, last_active_at=0.0, report_loads=failing), "tick"),
        "releases": (made_without_init(backup_releases.BackupReleases, entries=None), "release_overdue"),
        "counters": (report, "report_changes"),
    }


@pytest.mark.parametrize("name", loops())
def test_a_turn_that_fails_schedules_the_next_one(name):
    """Guards against review/5: loops set their next turn after their work, so one failure ended them for good."""
    loop, method = loops()[name]
    with pytest.raises((RuntimeError, AttributeError)):
        getattr(loop, method)()
    assert len(loop.environment.scheduled) == 1


def test_a_heartbeat_that_fails_schedules_the_next_one():
    group = group_model.Group(3, 1)
    member = group.members["A"]
    before = len(member.environment.timers)
    member.run_periodic_tasks = failing
    with pytest.raises(RuntimeError):
        member.tick()
    assert len(member.environment.timers) == before + 1


def test_a_callback_that_fails_stops_no_other_callback():
    group = group_model.Group(3, 1)
    group.converge()
    leader = next(member for member in group.members.values() if member.is_leader)
    results = []
    for callback in (failing, results.append):
        leader.propose({"op": "note", "n": -1}, callback)
        leader.confirm_leadership(callback)
    leader.step_down(True)
    assert results == [None, False] or results == [False, None]


def test_a_replica_whose_text_no_record_can_carry_hides_no_other():
    """Guards against half a character in the platform's list, which ended the load reports of all replicas."""
    items = [
        {
            "replica_id": f"i-{n}",
            "depot": depot,
            "address": "127.0.0.1:1",
            "zone": "a",
            "condition": "in_service",
            "berths": 1,
        }
        for n, depot in enumerate(["one", "\ud800", "two"])
    ]
    web = types.SimpleNamespace(poll=lambda *args, **options: (200, {"replicas": items, "next_token": None}))
    protocol = platform_site.replica_protocol.PlatformReplicaProtocol()
    assert list(protocol.rows(types.SimpleNamespace(web=web), "http://list")) == ["i-0", "i-2"]


def test_a_list_that_cannot_be_read_ends_no_later_reading():
    """Guards against one page with hostile text ending the list readings of a whole term."""
    readings = []

    def rows(environment, list_url):
        readings.append(list_url)
        raise ValueError("a page that can't be read")

    def sleep(duration_s):
        task.active = len(readings) < 3

    pool = all_orders.Pool()
    environment = all_orders.ManualEnvironment(pool, "a:1")
    environment.sleep = sleep
    member = types.SimpleNamespace(environment=environment, part=1, leader_tasks=[])
    listed = types.SimpleNamespace(speech=types.SimpleNamespace(rows=rows), list_url="http://list/", journal=None)
    task = list_leader_task.ListLeaderTask(member, listed)
    task.active, task.first_number = True, 1
    task.read(1)
    assert len(readings) == 3
