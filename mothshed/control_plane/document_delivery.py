"""Which documents a leaseholder is sent, and in which form: whole, or as the difference to one that it holds.

The leader of the configuration part keeps the forms in which it delivered the newest documents, and works a
difference out once for all leaseholders that hold the same base. Both are bounded: whoever holds an older base is sent
the whole.
"""

import collections.abc
import dataclasses
import typing

import mothshed.configuration.document_difference as document_difference
import mothshed.constants as constants

Document = document_difference.Document
Documents = collections.abc.Mapping[int, dict[str, typing.Any]]  # sequence -> row with its `doc`, as the machine has it


class MissingDocuments(typing.NamedTuple):
    """What a leaseholder lacks: sequences, and the one it holds; 0 if it takes no changes."""

    sequences: tuple[int, ...]
    base: int


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Documents in the form in which records carry them."""

    docs: list[list[typing.Any]]  # rows of sequence and document
    changes: list[list[typing.Any]]  # rows of sequence, base and difference


def deliverable_document(document: Document) -> Document:
    """The document as processes that serve need it: without the text that its operator sent."""
    return {key: value for key, value in document.items() if key != "as_sent"}


class DocumentDelivery:
    """The forms in which one leader delivers documents. documents: those that it has now, by sequence."""

    def __init__(self, documents: collections.abc.Callable[[], Documents]) -> None:
        self.documents = documents
        self.delivered_documents: dict[int, Document] = {}
        self.differences: dict[tuple[int, int], document_difference.Difference | None] = {}

    def delivery(self, missing: MissingDocuments) -> Delivery:
        """What to send to a leaseholder that lacks these documents."""
        delivery = Delivery([], [])
        for sequence in missing.sequences:
            change = self.difference(missing.base, sequence)
            if change is None:
                delivery.docs.append([sequence, self.delivered_document(sequence)])
            else:
                delivery.changes.append([sequence, missing.base, change])
        return delivery

    def delivered_document(self, sequence: int) -> Document | None:
        """A document in its delivered form; None if it is known no more."""
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
        """Keep the MAX_DELIVERED_DOCUMENTS newest forms, those that the leader has, and differences of them."""
        leader_documents = self.documents()
        for sequence in sorted(self.delivered_documents)[: -constants.MAX_DELIVERED_DOCUMENTS]:
            if sequence not in leader_documents:
                del self.delivered_documents[sequence]
        self.differences = {
            pair: row for pair, row in self.differences.items() if set(pair) <= self.delivered_documents.keys()
        }

    def difference(self, base: int, sequence: int) -> document_difference.Difference | None:
        """The difference between two documents; None if the base is not known, or nothing would be saved."""
        newer, older = self.delivered_document(sequence), self.delivered_document(base)
        if older is None or newer is None:
            return None
        pair = (base, sequence)
        if pair not in self.differences:
            change = document_difference.difference(older, newer)
            self.differences[pair] = None if change.get("whole", {}).keys() == newer.keys() else change
        return self.differences[pair]
