"""Large documents: packing, the store, fetching in pieces, the form of earlier releases, and the limits of JSON."""

import json
import zlib

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.document_limits as document_limits
import mothshed.configuration.packed_document as packed_document
import mothshed.constants as constants
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.document_rows as document_rows
import mothshed.control_plane.earlier_documents as earlier_documents
import mothshed.control_plane.leaseholder as leaseholder
import mothshed.control_plane.member as member_module
import mothshed.storage.disk as disk_module
import mothshed.storage.disk_log as disk_log
import mothshed.storage.document_store as document_store
import mothshed.transport.constants as transport_constants
import tests.all_orders as all_orders
import tests.document_group as document_group
import tests.test_lease_state as lease_state

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)
TEXTS = strategies.text(max_size=8)
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.floats(allow_nan=False) | TEXTS,
    lambda inner: strategies.lists(inner, max_size=4) | strategies.dictionaries(TEXTS, inner, max_size=4),
)
VOTERS = {f"{name}/1": {"address": f"{name.lower()}:1", "http": ""} for name in "ABC"}


def large_document(size=configuration_constants.MAX_WHOLE_DOCUMENT_BYTES):
    """A document whose text is longer than a whole one may be."""
    return {"note": "é" * (size // 6 + 1), "as_sent": {"edition": 7}}


# --- packing -----------------------------------------------------------------
@STEADY
@hypothesis.given(strategies.dictionaries(TEXTS, JSON, max_size=5), JSON)
def test_any_json_is_unpacked_as_it_was_packed(served, as_sent):
    document = {**{key: value for key, value in served.items() if key != "as_sent"}, "as_sent": as_sent}
    reference, data = packed_document.pack(document)
    stored = document_rows.StoredDocument({"document": reference.to_wire(), "by": "", "id": ""}, data)
    assert stored.whole() == document and list(stored.served()) == [key for key in document if key != "as_sent"]
    assert json.loads(stored.as_sent_json()) == as_sent
    assert "".join(packed_document.json_steps(document)) == json.dumps(document, separators=(",", ":"))
    order, encoder = [3, document], json.JSONEncoder(sort_keys=True)  # as an order's id is made
    assert "".join(packed_document.json_steps(order, encoder, 3)) == json.dumps(order, sort_keys=True)


@STEADY
@hypothesis.given(strategies.integers(0, 200), strategies.integers(1, 255), strategies.booleans())
def test_damaged_bytes_are_never_taken_for_a_document(position, change, cut):
    reference, data = packed_document.pack({"routes": [{"name": f"r{n}"} for n in range(30)]})
    at = position % len(data)
    damaged = data[:at] if cut else data[:at] + bytes([data[at] ^ change]) + data[at + 1 :]
    try:
        assert packed_document.unpack_text(reference.served, damaged) == packed_document.unpack(reference.served, data)
    except packed_document.PackedDocumentError:
        pass


def test_a_text_longer_than_its_reference_says_is_not_unpacked():
    """Guards against a few bytes that unpack to more than the memory of a process."""
    data = zlib.compress(b"0" * 50_000_000)
    for size in (10, configuration_constants.MAX_DOCUMENT_TEXT_BYTES + 1):
        with pytest.raises(packed_document.PackedDocumentError):
            packed_document.unpack_text(packed_document.Part(0, len(data), size, 0), data)


def test_only_large_documents_are_packed_and_only_if_all_members_know_them():
    assert document_rows.prepare({"note": "x"}).fields == {"op": "stage", "doc": {"note": "x"}}
    prepared = document_rows.prepare(large_document())
    assert prepared.fields["op"] == "stage_packed" and len(json.dumps(prepared.fields)) < 1000 < len(prepared.data) * 9
    assert document_rows.prepare(large_document(), may_pack=False).fields["op"] == "stage"


@pytest.mark.parametrize("release, packs", [(None, True), (1, False), (2, False), (3, True), (4, True)])
def test_documents_stay_whole_while_a_member_of_an_earlier_release_is_connected(release, packs):
    group = document_group.DocumentGroup(3, 1)
    member = group.members["A"]
    member.environment.releases = lambda: {} if release is None else {"b:1": release, "c:1": 3}
    assert member.all_members_fetch_documents() is packs


# --- delivery ----------------------------------------------------------------
def test_a_router_of_an_earlier_release_is_sent_the_document_whole():
    pool, task, (lease,) = lease_state.deployment(1)
    prepared = document_rows.prepare({**large_document(), "tenants": {}})
    task.machine.store.put(prepared.digest, prepared.data)
    task.machine.apply(0, {**lease_state.stage(1, 2, "order 2"), **prepared.fields})
    pool.waiting.clear()
    for takes_pieces, names_it in ((True, True), (False, False)):
        holder = leaseholder.Leaseholder(staged=1, active=1, takes_pieces=takes_pieces)
        delivery = task.delivery.prepare(holder.next_missing(task.machine, pool.time))
        assert bool(delivery.large) is names_it and bool(delivery.docs) is not names_it
        assert names_it or delivery.docs[0][1]["note"] == large_document()["note"]


# --- the form of earlier releases --------------------------------------------
def member_of(disk, pool=None):
    """A member of the configuration's part on this disk, as a keeper opens it."""
    store = document_store.DocumentStore(disk, packed_document.digest_of)
    environment = document_group.PostingEnvironment(pool or all_orders.Pool(), "a:1")
    machine = config_machine.ConfigMachine(store)
    member = member_module.Member(environment, disk, 0, "A/1", "", [], machine, documents=store)
    return member, earlier_documents.convert(member, store)


def test_a_log_with_an_entry_too_long_for_a_record_is_carried():
    """Guards against review/5 after an upgrade: the entry is on a disk, and no leader could ever send it."""
    disk = all_orders.disk()
    log = disk_log.PartLog(disk, 0)
    log.put([{"i": 1, "t": 0, "c": {"op": "members", "members": VOTERS, "outgoing": {}}}])
    document = large_document(transport_constants.MAX_RECORD_BYTES + 1)
    command = {"op": "stage", "base": 0, "sequence": 7, "doc": document, "by": "operator", "id": "order"}
    log.put([{"i": 2, "t": 3, "c": command}])
    member, count = member_of(disk)
    assert count == 1 and member.log.entry_bytes(2) < 1000 and member.log.term_at(2) == 3
    member.commit_index = 2
    member.apply_all()
    assert member.machine.newest_document().whole() == document
    assert len(disk.read(member.log.snapshot_name(1))) < 10000  # the snapshot refers to it, too
    again, count = member_of(disk)
    assert count == 0 and again.machine.newest_document().whole() == document


def test_a_snapshot_of_an_earlier_release_is_converted_once():
    disk = all_orders.disk()
    member, _count = member_of(disk)
    member.log.put([{"i": 1, "t": 0, "c": {"op": "members", "members": VOTERS, "outgoing": {}}}])
    rows = [[7, {"doc": large_document(), "by": "", "id": "order"}]]
    state = {"latest": 7, "active": 7, "docs": rows, "taken": {"floor": 0, "orders": ""}}
    membership = {"op": "members", "members": VOTERS, "outgoing": {}}
    member.log.put_snapshot({"index": 1, "term": 0, "membership": membership, "state": state}, 0)
    assert [member_of(disk)[1], member_of(disk)[1]] == [1, 0]
    assert member_of(disk)[0].machine.newest_document().whole() == large_document()


def test_a_member_without_a_document_that_its_log_refers_to_does_not_start():
    disk = all_orders.disk()
    prepared = document_rows.prepare(large_document())
    log = disk_log.PartLog(disk, 0)
    log.put([{"i": 1, "t": 0, "c": {**prepared.fields, "base": 0, "sequence": 1, "by": "", "id": "order"}}])
    with pytest.raises(disk_module.DiskCorruptionError):
        member_of(disk)


def test_documents_count_for_when_a_snapshot_is_due_and_what_it_retains():
    """Guards against a disk that fills up with the documents of entries that are short themselves."""
    disk = all_orders.disk()
    member, _count = member_of(disk)
    reference = packed_document.Reference(
        "0" * 32, constants.SNAPSHOT_INTERVAL_BYTES, packed_document.Part(0, 0, 0, 0), None
    )
    command = {"op": "stage_packed", "document": reference.to_wire(), "base": 0, "by": "", "id": "order"}
    member.log.put([{"i": 1, "t": 0, "c": {"op": "begin"}}, {"i": 2, "t": 0, "c": command}])
    member.last_applied = 1
    assert member.snapshot_due() and member.log.retained_base(2, 0) == 2
    assert disk_log.PartLog(disk, 0).bytes_since_snapshot == member.log.bytes_since_snapshot


def test_large_staged_documents_are_bounded_in_bytes_but_the_newest_is_kept():
    machine = config_machine.ConfigMachine()
    size = configuration_constants.MAX_STAGED_DOCUMENT_BYTES // 2 + 1
    fields = packed_document.Reference("0" * 32, 9, packed_document.Part(0, 9, size, 0), None).to_wire()
    for base in range(6):
        machine.apply(base, {"op": "stage_packed", "document": fields, "base": base, "by": "", "id": f"o{base}"})
        assert machine.latest in machine.docs
    assert sorted(machine.docs) == [5, 6]


# --- what JSON may hold ------------------------------------------------------
def nested(levels):
    value = 1
    for _ in range(levels - 1):
        value = [value]
    return value


@pytest.mark.parametrize("levels, error", [(2, False), (800, False), (801, True), (100000, True)])
def test_nesting_is_limited_to_what_every_reader_can_parse(levels, error):
    assert bool(document_limits.encoding_errors(nested(levels))) is error


@pytest.mark.parametrize("value", ["\ud800", {"\udfff": 1}, {"a": ["x", "y\udc00"]}])
def test_half_a_character_is_an_error(value):
    assert document_limits.encoding_errors(value) == ["document: a text holds half a character"]
    assert document_limits.encoding_errors(["é", "😀", {"ሀ": "x"}]) == []


def test_the_size_of_a_document_is_that_of_its_shortest_text():
    """Guards against a small change that is refused because escapes count three times."""
    assert document_limits.size_errors(["ሀ" * (constants.MAX_BODY_BYTES // 3 - 2)]) == []
    assert document_limits.size_errors(["ሀ" * (constants.MAX_BODY_BYTES // 3 + 1)]) != []
