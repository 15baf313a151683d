"""Prepares documents for leaseholders: whole, or as the difference to a document that the leaseholder holds.

The leader of the configuration part caches the newest documents as delivered, and computes a
difference once for all leaseholders with the same base. Both caches are bounded: a leaseholder with an older
base is sent the whole document.
"""

import collections.abc
import dataclasses
import typing

import mothshed.configuration.document_difference as document_difference
import mothshed.constants as constants

Document = document_difference.Document
Documents = collections.abc.Mapping[int, dict[str, typing.Any]]  # sequence -> row of ConfigMachine.docs


class MissingDocuments(typing.NamedTuple):
    """Sequences that a leaseholder lacks, and the base it holds; base is 0 if it accepts no differences."""

    sequences: tuple[int, ...]
    base: int


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Documents as fields of a record."""

    docs: list[list[typing.Any]]  # rows of sequence and document
    changes: list[list[typing.Any]]  # rows of sequence, base and difference


def deliverable_document(document: Document) -> Document:
    """The document as serving processes need it: without the text that the operator sent."""
    return {key: value for key, value in document.items() if key != "as_sent"}


class DocumentDelivery:
    """Cache of the documents that one leader delivers. documents: returns its current documents by sequence."""

    def __init__(self, documents: collections.abc.Callable[[], Documents]) -> None:
        self.documents = documents
        self.delivered_documents: dict[int, Document] = {}
        self.differences: dict[tuple[int, int], document_difference.Difference | None] = {}

    def prepare(self, missing: MissingDocuments) -> Delivery:
        """The documents and differences to send to a leaseholder that lacks these sequences."""
        delivery = Delivery([], [])
        for sequence in missing.sequences:
            change = self.difference(missing.base, sequence)
            if change is None:
                delivery.docs.append([sequence, self.delivered_document(sequence)])
            else:
                delivery.changes.append([sequence, missing.base, change])
        return delivery

    def delivered_document(self, sequence: int) -> Document | None:
        """A document as delivered; None if it is no longer retained."""
        known = self.delivered_documents.get(sequence)
        if known is not None:
            return known
        row = self.documents().get(sequence)
        if row is None:
            return None
        self.delivered_documents[sequence] = document = deliverable_document(row["doc"])
        self.drop_oldest()
        return document

    def drop_oldest(self) -> None:
        """Keep the MAX_DELIVERED_DOCUMENTS newest documents, those the leader retains, and their differences."""
        leader_documents = self.documents()
        for sequence in sorted(self.delivered_documents)[: -constants.MAX_DELIVERED_DOCUMENTS]:
            if sequence not in leader_documents:
                del self.delivered_documents[sequence]
        self.differences = {
            pair: row for pair, row in self.differences.items() if set(pair) <= self.delivered_documents.keys()
        }

    def difference(self, base: int, sequence: int) -> document_difference.Difference | None:
        """The difference between two documents; None if the base is unknown or the difference would save nothing."""
        newer, older = self.delivered_document(sequence), self.delivered_document(base)
        if older is None or newer is None:
            return None
        pair = (base, sequence)
        if pair not in self.differences:
            change = document_difference.difference(older, newer)
            self.differences[pair] = None if change.get("whole", {}).keys() == newer.keys() else change
        return self.differences[pair]
