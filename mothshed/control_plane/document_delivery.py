"""Prepares documents for leaseholders: whole, as the difference to a document that the leaseholder holds, or by name.

A large document is named only, and the leaseholder fetches it in pieces. One of a release that doesn't know this is
sent the document whole.

The leader of the configuration part caches the newest documents as delivered, and computes a
difference once for all leaseholders with the same base. Both caches are bounded: a leaseholder with an older
base is sent the whole document.
"""

import dataclasses
import typing

import mothshed.configuration.document_difference as document_difference
import mothshed.configuration.large_documents as large_documents
import mothshed.configuration.packed_document as packed_document
import mothshed.constants as constants
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.document_rows as document_rows

Document = document_difference.Document


class MissingDocuments(typing.NamedTuple):
    """Sequences that a leaseholder lacks, and the base it holds; base is 0 if it accepts no differences."""

    sequences: tuple[int, ...]
    base: int
    takes_pieces: bool = False


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Documents as fields of a record."""

    docs: list[list[typing.Any]]  # rows of sequence and document
    changes: list[list[typing.Any]]  # rows of sequence, base and difference
    large: list[large_documents.Row]


class DocumentDelivery:
    """Cache of the documents that one leader delivers. machine: the state of the configuration part."""

    def __init__(self, machine: config_machine.ConfigMachine) -> None:
        self.machine = machine
        self.delivered_documents: dict[int, Document] = {}
        self.differences: dict[tuple[int, int], document_difference.Difference | None] = {}

    def prepare(self, missing: MissingDocuments) -> Delivery:
        """The documents and differences to send to a leaseholder that lacks these sequences."""
        delivery = Delivery([], [], [])
        for sequence in missing.sequences:
            reference = self.reference(sequence)
            if missing.takes_pieces and reference:
                delivery.large.append(large_documents.row_of(sequence, reference))
                continue
            change = self.difference(missing.base, sequence)
            if change is None:
                delivery.docs.append([sequence, self.delivered_document(sequence)])
            else:
                delivery.changes.append([sequence, missing.base, change])
        return delivery

    def reference(self, sequence: int) -> packed_document.Reference | None:
        """The reference to a retained large document; None if it is not retained or not large."""
        return document_rows.reference_of(self.machine.docs.get(sequence, {}))

    def delivered_document(self, sequence: int) -> Document | None:
        """A document as delivered; None if it is no longer retained."""
        known = self.delivered_documents.get(sequence)
        if known is not None:
            return known
        stored = self.machine.stored_document(sequence)
        if stored is None:
            return None
        self.delivered_documents[sequence] = document = stored.served()
        self.drop_oldest()
        return document

    def drop_oldest(self) -> None:
        """Keep the MAX_DELIVERED_DOCUMENTS newest documents, those the leader retains, and their differences."""
        for sequence in sorted(self.delivered_documents)[: -constants.MAX_DELIVERED_DOCUMENTS]:
            if sequence not in self.machine.docs:
                del self.delivered_documents[sequence]
        self.differences = {
            pair: row for pair, row in self.differences.items() if set(pair) <= self.delivered_documents.keys()
        }

    def difference(self, base: int, sequence: int) -> document_difference.Difference | None:
        """The difference between two documents; None if the base is unknown or the difference would save nothing."""
        if self.reference(base):
            return None
        newer, older = self.delivered_document(sequence), self.delivered_document(base)
        if older is None or newer is None:
            return None
        pair = (base, sequence)
        if pair not in self.differences:
            change = document_difference.difference(older, newer)
            self.differences[pair] = None if change.get("whole", {}).keys() == newer.keys() else change
        return self.differences[pair]
