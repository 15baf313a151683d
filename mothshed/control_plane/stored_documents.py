"""Large documents that log entries and snapshots refer to: a member stores them before what refers to them.

An entry or a snapshot is taken only once the documents that it refers to are durable here, so that what is committed
can be read at a majority of members. What is missing is fetched from the leader in pieces, between its appends, and
written by a thread of its own; the leader sends the entry again with its heartbeats until it is taken.
"""

import functools
import typing

import mothshed.configuration.document_fetch as document_fetch
import mothshed.configuration.packed_document as packed_document
import mothshed.control_plane.document_rows as document_rows
import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module
import mothshed.storage.document_store as document_store
import mothshed.transport.constants as transport_constants

Entry = dict[str, typing.Any]
NEWEST = transport_constants.RECORD_FORMAT_VERSION  # assumed of a member that is not connected


class StoredDocuments:
    """Mixin of Member. documents: the store; None for parts whose commands refer to no documents."""

    def init_documents(self, documents: document_store.DocumentStore | None) -> None:
        """Initializes the fetch of missing documents."""
        self.documents = documents
        self.documents_in_writing: set[str] = set()  # digests of fetched documents that a thread is storing
        if documents is not None:
            self.document_fetch = document_fetch.DocumentFetch(
                self.environment, "member_document_ask", "member_document_piece"
            )

    def all_members_fetch_documents(self) -> bool:
        """Whether no connected member is of a release that knows only whole documents."""
        releases = self.environment.releases()
        oldest = min((releases.get(self.address_of(member_id), NEWEST) for member_id in self.members), default=NEWEST)
        return bool(oldest >= transport_constants.PIECES_RELEASE)

    def storable_entries(self, entries: list[Entry]) -> list[Entry]:
        """The entries up to the first one whose document is missing here; the fetch of that one goes on."""
        for position, entry in enumerate(entries):
            reference = document_rows.reference_of(entry["c"])
            if self.log.term_at(entry["i"]) != entry["t"] and self.is_missing(reference):
                self.fetch_documents([reference])
                return entries[:position]
        return entries

    def has_documents_of(self, snapshot: dict[str, typing.Any]) -> bool:
        """Whether all documents that a snapshot refers to are here; the fetch of the missing ones goes on."""
        if self.documents is None:
            return True
        missing = [reference for reference in self.machine.references(snapshot["state"]) if self.is_missing(reference)]
        self.fetch_documents(missing)
        return not missing

    def is_missing(self, reference: packed_document.Reference | None) -> bool:
        """Whether a document is referred to and not in the store."""
        return reference is not None and self.documents is not None and self.documents.get(reference.digest) is None

    def fetch_documents(self, references: list[packed_document.Reference]) -> None:
        """Begins to fetch documents from the leader, or goes on, unless they are being written; gives up others."""
        wanted = [document_fetch.Range(reference.digest, 0, reference.length) for reference in references]
        for row in wanted:
            if row.digest not in self.documents_in_writing:
                leader = self.address_of(self.leader)
                self.document_fetch.fetch(row, leader, functools.partial(self.store_document, row.digest))
        self.document_fetch.keep_only(wanted)

    def store_document(self, digest: str, data: bytes) -> None:
        """Has a fetched document written by a thread, since that may take long."""
        self.documents_in_writing.add(digest)
        self.environment.spawn(lambda: self.write_document(digest, data))

    def write_document(self, digest: str, data: bytes) -> None:
        """Writes a fetched document, if it is the one that its digest names; may wait for the disk."""
        try:
            if packed_document.digest_of(data) == digest:
                self.documents.put(digest, data)
            else:  # it is fetched again
                log_buffer.note("document_damaged", part=self.part, digest=digest, size=len(data))
        except disk_module.DiskError as error:
            self.post_disk_fault(error)
        finally:
            self.environment.post(lambda: self.documents_in_writing.discard(digest))

    def post_disk_fault(self, error: disk_module.DiskError) -> None:
        """Stops this member after a disk fault in another thread."""
        self.environment.post(lambda: self.fail_disk(error))

    def forget_documents(self) -> None:
        """Forgets the documents to which neither the log nor the state of the newest snapshot refers."""
        if self.documents is None:
            return
        rows = [*(entry["c"] for entry in self.log.entries), *self.machine.docs.values()]
        references = [document_rows.reference_of(row) for row in rows]
        surplus = self.documents.forget({reference.digest for reference in references if reference is not None})
        if surplus:
            self.environment.spawn(lambda: self.remove_documents(surplus))

    def remove_documents(self, digests: list[str]) -> None:
        """Removes the files of forgotten documents; may wait for the disk."""
        try:
            self.documents.remove_files(digests)
        except disk_module.DiskError as error:
            self.post_disk_fault(error)
