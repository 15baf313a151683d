"""Brings the large documents of a log that was just opened into the form of this release.

Earlier releases logged all documents whole: an entry could be too long for the records that carry it, so that its part
never had a leader again. Such a document is stored, and the entry refers to it. Index and term, by which members
compare their logs, stay the same, and so does what the entry does.
"""

import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.control_plane.document_rows as document_rows
import mothshed.storage.disk as disk_module
import mothshed.storage.document_store as document_store
import mothshed.storage.log_format as log_format


def convert(member: typing.Any, store: document_store.DocumentStore) -> int:
    """Convert the large documents in the log and the state of a member before its start; returns their number.

    Raises DiskError, and DiskCorruptionError if a document that the log or the state refers to is missing.
    """
    count = convert_entries(member.log, store) + convert_rows(member.machine, store)
    rows = [*(entry["c"] for entry in member.log.entries), *member.machine.docs.values()]
    for reference in filter(None, map(document_rows.reference_of, rows)):
        if store.get(reference.digest) is None:
            raise disk_module.DiskCorruptionError(f"document {reference.digest} is missing or damaged")
    if count and member.log.snapshot:
        member.take_snapshot()
    return count


def convert_entries(log: typing.Any, store: document_store.DocumentStore) -> int:
    """Convert the entries of a log; returns the number of those converted."""
    count = 0
    for position, size in enumerate(log.sizes):
        command = log.entries[position]["c"]
        if size <= configuration_constants.MAX_WHOLE_DOCUMENT_BYTES or command["op"] != "stage":
            continue
        prepared = stored(command["doc"], store)
        if prepared.data is not None:
            kept = {name: value for name, value in command.items() if name != "doc"}
            log.entries[position] = {**log.entries[position], "c": {**kept, **prepared.fields}}
            log.sizes[position] = len(log_format.encode(log.entries[position]))
            count += 1
    return count


def convert_rows(machine: typing.Any, store: document_store.DocumentStore) -> int:
    """Convert the documents of the state; returns the number of those converted."""
    count = 0
    for sequence, row in machine.docs.items():
        prepared = stored(row["doc"], store) if "doc" in row else None
        if prepared is not None and prepared.data is not None:
            machine.docs[sequence] = document_rows.row_of({**row, **prepared.fields})
            count += 1
    return count


def stored(document: document_rows.Document, store: document_store.DocumentStore) -> document_rows.PreparedDocument:
    """Prepare a document, and store it if it is large."""
    prepared = document_rows.prepare(document)
    if prepared.data is not None:
        store.put(prepared.digest, prepared.data)
    return prepared
