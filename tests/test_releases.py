"""Compatibility of releases: records and data folders of earlier ones are read, unknown later parts are skipped."""

import json
import pathlib
import shutil
import socket

import pytest

import mothshed.control_plane.config_machine as config_machine
import mothshed.storage.disk as disk_module
import mothshed.storage.disk_log as disk_log
import mothshed.storage.log_format as log_format
import mothshed.transport.constants as transport_constants
import mothshed.transport.link as link_module
import mothshed.transport.record_kinds as record_kinds
import mothshed.transport.records as records
import tests.group_model as group_model
import tests.peer_nodes as peer_nodes
import tools.release_fixture as release_fixture
import tools.simulate as simulate

FOLDER = pathlib.Path(__file__).parent / "releases"
RECORDED = {path.stem: json.loads(path.read_text()) for path in sorted(FOLDER.glob("records-*.json"))}
APPEND_TEXT = RECORDED["records-1"]["append"]["fields"]
NEXT_RELEASE = transport_constants.RECORD_FORMAT_VERSION + 1
LATER = [
    *(row for row in record_kinds.KINDS if row.name != "append"),
    record_kinds.kind(16, "append", APPEND_TEXT + f" sent_at:d@{NEXT_RELEASE}=0.0 note:j@{NEXT_RELEASE}=null"),
    record_kinds.kind(60, "pulse", "part:q mark:q", NEXT_RELEASE),
]
NEXT = records.Codec(LATER, NEXT_RELEASE)


def table_of(rows):
    """The kinds in the recorded table of a release."""
    return [record_kinds.kind(row["number"], name, row["fields"], row["since"]) for name, row in rows.items()]


@pytest.mark.parametrize("release", RECORDED)
def test_every_record_of_an_earlier_release_is_read(release):
    for name, row in RECORDED[release].items():
        record = records.CODEC.unpack(bytes.fromhex(row["packed"]))
        added = {field.name: field.default for field in records.CODEC.by_name[name].fields if field.since}
        assert record == records.Record(name, {**added, **row["body"]})


@pytest.mark.parametrize("release", RECORDED)
def test_a_record_for_an_earlier_release_is_packed_as_that_release_packs_it(release):
    number = int(release.split("-")[1])
    for name, row in RECORDED[release].items():
        assert records.CODEC.pack(name, row["body"], number).hex() == row["packed"]


@pytest.mark.parametrize("release", RECORDED)
def test_the_table_changed_only_as_the_rules_allow(release):
    earlier_kinds = table_of(RECORDED[release])
    number = int(release.split("-")[1])
    for later in range(number + 1, transport_constants.RECORD_FORMAT_VERSION + 1):
        fields_then = [
            record_kinds.Kind(row.number, row.name, tuple(f for f in row.fields if f.since <= later), row.since)
            for row in record_kinds.KINDS
            if row.since <= later
        ]
        assert record_kinds.schema_violations(earlier_kinds, fields_then, later) == []
        earlier_kinds = fields_then
    assert earlier_kinds == list(record_kinds.KINDS)


def test_this_release_has_its_own_file():
    assert RECORDED[f"records-{transport_constants.RECORD_FORMAT_VERSION}"] == {
        kind.name: release_fixture.describe_kind(kind) for kind in record_kinds.KINDS
    }


def test_fields_and_kinds_of_a_later_release_are_skipped():
    body = RECORDED["records-1"]["append"]["body"]
    record = records.CODEC.unpack(NEXT.pack("append", {**body, "sent_at": 4.5, "note": ["x"]}))
    assert record == records.Record("append", body, has_unknown_fields=True)
    assert records.CODEC.unpack(NEXT.pack("pulse", {"part": 0, "mark": 1})) == records.Record("", {})


def test_a_later_release_uses_defaults_for_fields_that_this_one_does_not_send():
    body = RECORDED["records-1"]["append"]["body"]
    record = NEXT.unpack(records.CODEC.pack("append", body))
    assert record.body == {**body, "sent_at": 0.0, "note": None}


def test_a_truncated_body_is_an_error():
    data = records.pack("hand", part=0, term=1, who="a/1")
    cut = data[records.HEADER.size : -1]
    head = records.HEADER.pack(records.MAGIC, records.CODEC.by_name["hand"].number, len(cut), records.zlib.crc32(cut))
    with pytest.raises(records.RecordError):
        records.CODEC.unpack(head + cut)


def test_a_field_without_a_default_must_be_given():
    with pytest.raises(records.RecordError):
        records.CODEC.check_fields("hand", {"part": 0, "term": 1})
    with pytest.raises(records.RecordError):
        records.CODEC.check_fields("hand", {"part": 0, "term": 1, "who": "a/1", "round": 2})


@pytest.fixture
def make_node():
    with peer_nodes.nodes() as make:
        yield make


def test_a_connection_stays_open_after_records_of_a_later_release(make_node):
    node = make_node()
    with socket.create_connection(link_module.parse_address(node.address), 5) as conn:
        hello = NEXT.pack("hello", {"address": "127.0.0.1:1", "release": NEXT_RELEASE})
        conn.sendall(hello + NEXT.pack("pulse", {"part": 0, "mark": 1}) + peer_nodes.packed(3))
        node.wait_for(1)
        assert node.count("unknown_kind") == 1 and node.count("record_fault") == 0
        assert node.loop.table.release_of("127.0.0.1:1") == NEXT_RELEASE


def test_a_peer_that_cannot_skip_unknown_fields_is_sent_the_oldest_format(make_node):
    """Such a peer closes the connection at a hello with a later field; then it is sent the oldest hello."""
    node = make_node()
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(peer_nodes.TIMEOUT_S)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        known = records.CODEC.pack("hello", {"address": node.address}, 0)
        node.send(address, 1)
        with server.accept()[0] as conn:
            conn.settimeout(peer_nodes.TIMEOUT_S)
            with conn.makefile("rb") as stream:
                assert stream.read(len(known)) != known
        peer_nodes.wait_until(lambda: node.links() == 0)
        node.send(address, 2)
        with server.accept()[0] as conn:
            conn.settimeout(peer_nodes.TIMEOUT_S)
            expected = known + peer_nodes.packed(2, 0)
            with conn.makefile("rb") as stream:
                assert stream.read(len(expected)) == expected
    node.clock.seconds += transport_constants.PEER_FALLBACK_S + 0.1
    assert (
        node.loop.table.release_of(address) is None
    )  # it may have been upgraded, so this release's hello is tried again


def copied_folder(tmp_path, release):
    folder = tmp_path / "data"
    shutil.copytree(FOLDER / f"data-{release}", folder)
    return disk_module.Disk(str(folder))


def test_the_data_folder_of_an_earlier_release_is_read(tmp_path):
    expected = json.loads((FOLDER / "data-0.json").read_text())
    disk = copied_folder(tmp_path, 0)
    assert disk.read("incarnation").decode() == expected["incarnation"]
    log = disk_log.PartLog(disk, 0)
    assert [log.term, log.vote, log.base, log.last] == expected["log"]
    assert log.entries == expected["entries"] and log.snapshot == expected["snapshot"]
    machine = config_machine.ConfigMachine()
    machine.restore(log.snapshot["state"])
    for entry in log.entries:
        if entry["i"] > log.snapshot["index"]:
            machine.apply(entry["i"], entry["c"])
    assert json.loads(json.dumps(machine.dump())) == expected["state"]


def test_writes_into_the_folder_of_an_earlier_release_are_read_back(tmp_path):
    disk = copied_folder(tmp_path, 0)
    log = disk_log.PartLog(disk, 0)
    log.put([{"i": log.last + 1, "t": log.term, "c": {"op": "begin", "who": "a"}}])
    reopened = disk_log.PartLog(disk_module.Disk(str(tmp_path / "data")), 0)
    assert reopened.last == log.last and reopened.entries == log.entries


@pytest.mark.parametrize("kind", [log_format.SnapshotHeader, log_format.SegmentHeader])
def test_headers_on_disk_may_carry_more_than_this_release_knows(kind):
    values = {field.name: 1 for field in kind.__dataclass_fields__.values()}
    later = json.dumps({**values, "written_by": 7})
    assert log_format.decode_header(kind, later) == kind(**values)
    with pytest.raises(disk_module.DiskCorruptionError):
        log_format.decode_header(kind, json.dumps({"generation": 1}))


def test_a_rolling_upgrade_exchanges_records_of_both_releases():
    broken, fleet = simulate.run_scenario("upgraded_and_back", 3)
    assert broken == {} and fleet.net.unknown_records > 100 and not fleet.net.codecs


def test_the_upgrade_fails_if_unknown_fields_are_rejected(monkeypatch):
    """As in the oldest release: a record with fields unknown to the receiver is an error and is lost."""

    def strict(codec, data, unpack=records.Codec.unpack):
        record = unpack(codec, data)
        return records.Record("", {}) if record.has_unknown_fields else record

    monkeypatch.setattr(records.Codec, "unpack", strict)
    assert simulate.run_scenario("upgraded_and_back", 3)[0] != {}


def test_a_member_stops_at_a_command_of_a_later_release():
    """A downgraded member must not lead, vote or serve with a state that lacks what the others applied."""
    group = group_model.Group(3, 1)
    group.converge()
    leader = next(member for member in group.members.values() if member.is_leader)
    last = leader.log.last
    leader.propose({"op": "fold"})
    for _ in range(group_model.MAX_CONVERGE_STEPS):
        group.pool.time += group_model.STEP
        for name in group.members:
            group.tick(name)
        while group.pool.waiting:
            group.pool.deliver(0)
    stopped = [member for member in group.members.values() if member.chart.state == "stopped"]
    assert len(stopped) >= 2 and not any(member.is_leader for member in group.members.values())
    assert all(member.last_applied == last or member not in stopped for member in group.members.values())
