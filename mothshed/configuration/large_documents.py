"""The large documents of a leaseholder: fetched in pieces when a grant or a notice names them, and unpacked.

A record names a document by a row: sequence, digest, and start, length, size and checksum of the part for serving
processes. Unpacking and parsing are done by a thread of their own, as they take longer than a short lease.
"""

import collections.abc
import functools
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.document_fetch as document_fetch
import mothshed.configuration.packed_document as packed_document
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.long_work as long_work

Document = dict[str, typing.Any]
Row = list[typing.Any]
OnDocument = collections.abc.Callable[[int, Document, str], None]


def row_of(sequence: int, reference: packed_document.Reference) -> Row:
    """The row by which records name a document."""
    served = reference.served
    return [sequence, reference.digest, served.start, served.length, served.size, served.checksum]


class LargeDocuments:
    """The documents being fetched. on_document: called in the mailbox with sequence, document and its sender."""

    def __init__(self, environment: typing.Any, on_document: OnDocument) -> None:
        self.environment, self.on_document = environment, on_document
        self.document_fetch = document_fetch.DocumentFetch(environment, "document_ask", "document_piece")
        self.in_unpacking: set[int] = set()  # sequences
        self.sequences: set[int] = set()  # of the newest documents that were handed over

    def fetch(self, rows: list[Row], sender: str) -> None:
        """Fetch the documents that a record names, or go on with them; those of earlier records are given up."""
        ranges = []
        for sequence, digest, *fields in rows:
            part = packed_document.Part(*fields)
            ranges.append(document_fetch.Range(digest, part.start, part.start + part.length))
            if sequence not in self.in_unpacking:
                self.document_fetch.fetch(
                    ranges[-1], sender, functools.partial(self.unpack_later, sequence, part, sender)
                )
        if rows:
            self.document_fetch.keep_only(ranges)

    def unpack_later(self, sequence: int, part: packed_document.Part, sender: str, data: bytes) -> None:
        """Have a document unpacked by a thread."""
        self.in_unpacking.add(sequence)
        self.environment.spawn(lambda: self.unpack(sequence, part, sender, data))

    def unpack(self, sequence: int, part: packed_document.Part, sender: str, data: bytes) -> None:
        """Unpack a document and hand it over in the mailbox; one that can't be unpacked is fetched again."""
        try:
            with long_work.long_work():
                document = packed_document.parse_served(packed_document.unpack_text(part, data))
        except (packed_document.PackedDocumentError, ValueError, RecursionError) as error:
            log_buffer.failure("document_not_unpacked", error, sequence=sequence)
            self.environment.post(lambda: self.in_unpacking.discard(sequence))
            return
        self.environment.post(lambda: self.hand_over(sequence, document, sender))

    def hand_over(self, sequence: int, document: Document, sender: str) -> None:
        """Hand over an unpacked document; runs in the mailbox."""
        self.in_unpacking.discard(sequence)
        self.sequences = {*sorted(self.sequences)[-configuration_constants.MAX_LARGE_SEQUENCES :], sequence}
        self.on_document(sequence, document, sender)
