"""The rows in which the configuration's state keeps its documents: whole, or by reference if they are large.

A row is {"doc": document, "by", "id"} or {"document": reference, "by", "id"}, as it stands in snapshots; likewise the
commands that stage them. A large document is packed and stored by whoever proposes it, outside of the mailboxes.
"""

import dataclasses
import json
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.packed_document as packed_document
import mothshed.storage.document_store as document_store

Document = dict[str, typing.Any]
Row = dict[str, typing.Any]
Command = dict[str, typing.Any]
STAGE_COMMANDS = ("stage", "stage_packed")  # with the document whole, or by reference
AS_SENT = packed_document.AS_SENT


class DocumentMissingError(Exception):
    """A row refers to a document that is not in the store."""


def reference_of(row: Row) -> packed_document.Reference | None:
    """The reference of a row or command; None if it has its document whole, or none."""
    return packed_document.Reference.from_wire(row["document"]) if "document" in row else None


def has_document(command: Command) -> bool:
    """Whether a command carries its document; one that repeats a known order may not."""
    return "doc" in command or "document" in command


def row_of(command: Command) -> Row:
    """The row of a staged document."""
    part = "document" if command["op"] == "stage_packed" else "doc"
    return {part: command[part], "by": command["by"], "id": command["id"]}


def text_bytes(row: Row) -> int:
    """Size of the row's document as JSON text in bytes."""
    reference = reference_of(row)
    return reference.text_bytes if reference else len(json.dumps(row))


@dataclasses.dataclass(frozen=True)
class StoredDocument:
    """A row with the bytes that it refers to, for use outside of the mailbox: unpacking takes a while."""

    row: Row
    data: bytes | None

    @property
    def is_large(self) -> bool:
        """Whether the document is packed."""
        return self.data is not None

    def served(self) -> Document:
        """The document as serving processes need it."""
        reference = reference_of(self.row)
        if reference is None or self.data is None:
            return packed_document.served_part(self.row["doc"])
        return packed_document.parse_served(packed_document.unpack(reference.served, self.data))

    def as_sent_json(self) -> bytes | None:
        """What the operator sent, as JSON text; None if no adapter kept it."""
        reference = reference_of(self.row)
        if reference is None or self.data is None:
            document = self.row["doc"]
            return json.dumps(document[AS_SENT]).encode() if AS_SENT in document else None
        return packed_document.unpack(reference.as_sent, self.data) if reference.as_sent else None

    def whole(self) -> Document:
        """The document with what the operator sent."""
        if not self.is_large:
            document: Document = self.row["doc"]
            return document
        as_sent = self.as_sent_json()
        return {**self.served(), **({AS_SENT: json.loads(as_sent)} if as_sent is not None else {})}


def stored_document(row: Row, store: document_store.DocumentStore | None) -> StoredDocument:
    """A row with its bytes; raises DocumentMissingError."""
    reference = reference_of(row)
    if reference is None:
        return StoredDocument(row, None)
    data = store.get(reference.digest) if store else None
    if data is None:
        raise DocumentMissingError(f"document {reference.digest} is not in the store")
    return StoredDocument(row, data)


@dataclasses.dataclass(frozen=True)
class PreparedDocument:
    """A document as a command carries it: the fields of the command, and the bytes to be stored before it, if any."""

    fields: Command
    data: bytes | None = None

    @property
    def digest(self) -> str:
        """The digest of the bytes; "" if there are none."""
        return str(self.fields["document"]["digest"]) if self.data is not None else ""


def prepare(document: Document, may_pack: bool = True) -> PreparedDocument:
    """Prepare a document for a stage command: packed if it is large.

    may_pack: whether all members of the group know packed documents. Raises ValueError, TypeError or RecursionError
    if the document can't be encoded.
    """
    reference, data = packed_document.pack(document)
    if not may_pack or reference.text_bytes <= configuration_constants.MAX_WHOLE_DOCUMENT_BYTES:
        return PreparedDocument({"op": "stage", "doc": document})
    return PreparedDocument({"op": "stage_packed", "document": reference.to_wire()}, data)
