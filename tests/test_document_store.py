"""The store of packed documents, and how they are fetched from it in pieces."""

import pytest

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.document_fetch as document_fetch
import mothshed.configuration.packed_document as packed_document
import mothshed.constants as constants
import mothshed.control_plane.document_server as document_server
import mothshed.storage.constants as storage_constants
import mothshed.storage.disk as disk_module
import mothshed.storage.document_store as document_store
import tests.all_orders as all_orders


# --- the store ---------------------------------------------------------------
def store_with(*texts, disk=None):
    """A store that holds documents of these bytes, and their digests."""
    store = document_store.DocumentStore(disk or all_orders.disk(), packed_document.digest_of)
    digests = [packed_document.digest_of(text) for text in texts]
    for digest, text in zip(digests, texts, strict=True):
        store.put(digest, text)
    return store, digests


def reopened(store):
    return document_store.DocumentStore(store.disk, packed_document.digest_of)


def test_stored_documents_survive_a_loss_of_power():
    store, (first, second) = store_with(b"one", b"two")
    store.disk.crash()
    assert reopened(store).blobs == {first: b"one", second: b"two"}


def test_a_damaged_document_is_left_out():
    store, (first, second) = store_with(b"one", b"two")
    store.disk.put(document_store.PREFIX + first, b"0ne")
    assert reopened(store).blobs == {second: b"two"}


def test_a_document_stored_again_meanwhile_is_not_removed():
    """Guards against a configuration that is put back just while its former copy is removed."""
    store, (first, second) = store_with(b"one", b"two")
    surplus = store.forget({second})
    assert surplus == [first] and store.get(first) is None
    store.put(first, b"one")
    store.remove_files(surplus)
    assert reopened(store).blobs == {first: b"one", second: b"two"}


def test_a_pinned_document_is_kept_until_the_end_of_its_order():
    store, (first,) = store_with(b"one")
    with store.pinned(first):
        assert store.forget(set()) == []
    assert store.forget(set()) == [first]
    store.remove_files([first])
    assert reopened(store).blobs == {} and store.disk.names() == []


def test_interrupted_writes_are_removed():
    store, _ = store_with()
    store.disk.files.create(document_store.PREFIX + "x" + disk_module.TEMPORARY_SUFFIX)
    assert reopened(store).blobs == {} and store.disk.files.names() == []


# --- fetching ----------------------------------------------------------------
def fetching(data):
    """A pool, a fetch at one process, the range of all of the data, and the store at another."""
    pool = all_orders.Pool()
    store, (digest,) = store_with(data)
    document_server.DocumentServer(all_orders.ManualEnvironment(pool, "k:1"), store)
    fetch = document_fetch.DocumentFetch(all_orders.ManualEnvironment(pool, "r:1"), "document_ask", "document_piece")
    return pool, fetch, document_fetch.Range(digest, 0, len(data)), store


@pytest.mark.parametrize("seed", range(20))
def test_a_range_is_fetched_whole_over_a_link_that_loses_and_repeats_records(monkeypatch, seed):
    monkeypatch.setattr(configuration_constants, "DOCUMENT_PIECE_BYTES", 7)
    chance = all_orders.random.Random(seed)
    data = bytes(chance.randrange(256) for _ in range(100))
    pool, fetch, wanted, _store = fetching(data)
    part = document_fetch.Range(wanted.digest, 20, 61)
    results = {}
    for _ in range(400):
        for row in (wanted, part):
            if row not in results:
                fetch.fetch(row, "k:1", lambda found, row=row: results.setdefault(row, found))
        if pool.waiting and chance.random() < 0.2:
            pool.waiting.append(pool.waiting[0])
        if pool.waiting and chance.random() < 0.3:
            pool.waiting.pop(0)
        while pool.waiting:
            pool.deliver(0)
        pool.time += constants.DOCUMENT_RESEND_S
    assert results == {wanted: data, part: data[20:61]} and not fetch.fetches


def test_no_record_of_a_fetch_is_longer_than_a_piece():
    """Guards against heartbeats and leases that wait behind megabytes on their link."""
    pool, fetch, wanted, _store = fetching(b"x" * (3 * configuration_constants.DOCUMENT_PIECE_BYTES + 1))
    results, sizes = [], []
    fetch.fetch(wanted, "k:1", results.append)
    while pool.waiting:
        assert len(pool.waiting) == 1
        sizes.append(len(pool.waiting[0][3].get("piece", "")))
        pool.deliver(0)
    assert len(results[0]) == wanted.end
    assert (
        max(sizes) <= 4 * (configuration_constants.DOCUMENT_PIECE_BYTES + 2) // 3 < constants.SNAPSHOT_CHUNK_CHARS * 3
    )


@pytest.mark.parametrize("start, end", [(-1, 5), (5, 5), (9, 3), (0, 10**9), (10**9, 10**9 + 1)])
def test_a_range_that_does_not_exist_is_not_answered(start, end):
    pool, _fetch, wanted, _store = fetching(b"0123456789")
    body = {"part": 0, "digest": wanted.digest, "first": 0, "start": start, "end": end}
    pool.handlers["k:1"][("document_ask", 0)]("r:1", body)
    assert pool.waiting == []


def test_a_long_file_is_synced_in_pieces(monkeypatch):
    """Guards against a sync of the log that waits behind megabytes of a document."""
    disk = all_orders.disk()
    written, fsync = [0], disk.files.fsync
    monkeypatch.setattr(storage_constants, "MAX_UNSYNCED_BYTES", 10)
    monkeypatch.setattr(
        disk.files, "fsync", lambda handle: (written.append(len(disk.files.read("x.new"))), fsync(handle))
    )
    disk.put("x", b"y" * 25)
    assert written == [0, 10, 20, 25] and disk.read("x") == b"y" * 25
