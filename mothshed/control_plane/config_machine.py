"""Replicated state machine of the configuration: documents by sequence, the active one, and the accepted orders."""

import collections.abc
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.configuration.packed_document as packed_document
import mothshed.constants as constants
import mothshed.control_plane.accepted_orders as accepted_orders
import mothshed.control_plane.document_rows as document_rows
import mothshed.storage.document_store as document_store

Command = dict[str, typing.Any]  # command of a log entry, distinguished by its `op`
Result = dict[str, typing.Any]  # outcome of a command


class ConfigMachine:
    """The replicated state: the retained documents and the record of accepted orders."""

    commands = frozenset({*document_rows.STAGE_COMMANDS, "activate"})  # commands that this release can apply

    def __init__(self, store: document_store.DocumentStore | None = None) -> None:
        self.store = store  # of the large documents
        self.docs: dict[int, document_rows.Row] = {}  # by sequence
        self.sizes: dict[int, int] = {}  # sequence -> size in bytes of that row's document as JSON
        self.accepted = accepted_orders.AcceptedOrders()
        self.latest = self.active = 0
        # sequence not active yet -> index of its log entry, or None if it was restored from a snapshot
        self.staged_log_index: dict[int, int | None] = {}
        self.notify_change: collections.abc.Callable[[str, int], None] = lambda kind, sequence: None

    def apply(self, index: int, command: Command) -> Result:
        """Apply a committed command; every member applies every command."""
        if command["op"] in document_rows.STAGE_COMMANDS:
            return self.stage(index, command)
        if command["op"] == "activate" and self.active < command["sequence"] in self.docs:
            self.active = command["sequence"]
            self.staged_log_index = {s: log_index for s, log_index in self.staged_log_index.items() if s > self.active}
            self.drop_old_documents()
            self.notify_change("activate", self.active)
        return {"active": self.active}

    def known_result(self, command: Command) -> Result | None:
        """The result of a stage command that would change nothing; None if it would be accepted."""
        sequence = self.accepted.sequence_of(command["id"])
        if sequence is not None:
            return {"sequence": sequence}
        if command["base"] != self.latest:
            if self.accepted.may_have_dropped(command["base"]):
                return {"unknown": command["base"]}
            return {"conflict": self.latest}
        if command.get("sequence", self.latest + 1) <= self.latest:
            return {"low": self.latest}
        return None

    def stored_document(self, sequence: int) -> document_rows.StoredDocument | None:
        """A retained document, for use outside of the mailbox too; None if there is none of this sequence."""
        row = self.docs.get(sequence)
        return None if row is None else document_rows.stored_document(row, self.store)

    def newest_document(self) -> document_rows.StoredDocument | None:
        """The newest accepted document, which is always retained, or None before the first."""
        return self.stored_document(self.latest)

    def references(self, state: dict[str, typing.Any]) -> list[packed_document.Reference]:
        """The large documents that the state in a snapshot refers to."""
        return [reference for _s, row in state["docs"] if (reference := document_rows.reference_of(row))]

    def stage(self, index: int, command: Command) -> Result:
        """Accept a document that is based on the newest one, or return why it is rejected."""
        result = self.known_result(command)
        if result:
            return result
        self.latest = command.get("sequence", self.latest + 1)
        self.docs[self.latest] = document_rows.row_of(command)
        self.accepted.add(command["id"], self.latest)
        self.staged_log_index[self.latest] = index
        self.drop_old_documents()
        self.notify_change("stage", self.latest)
        return {"sequence": self.latest}

    def drop_old_documents(self) -> None:
        """Keep the active document, the newest staged ones, and a history bounded in count and bytes."""
        older = sorted((s for s in self.docs if s < self.active), reverse=True)
        dropped, total = self.surplus_staged_documents(), 0
        for position, sequence in enumerate(older):
            total += self.document_size(sequence)
            if position >= constants.MAX_HISTORY_DOCUMENTS or total > constants.MAX_HISTORY_BYTES:
                dropped = dropped + older[position:]
                break
        for sequence in dropped:
            del self.docs[sequence]
            self.sizes.pop(sequence, None)

    def surplus_staged_documents(self) -> list[int]:
        """The staged documents beyond the bounds on their number and, for large ones, their size; never the newest."""
        staged = sorted((s for s in self.docs if s > self.active), reverse=True)
        kept, total = staged[:1], 0
        for sequence in staged[1 : constants.MAX_STAGED_DOCUMENTS]:
            if document_rows.reference_of(self.docs[sequence]):
                total += self.document_size(sequence)
            if total <= configuration_constants.MAX_STAGED_DOCUMENT_BYTES:
                kept.append(sequence)
        return [sequence for sequence in staged if sequence not in kept]

    def document_size(self, sequence: int) -> int:
        """Size in bytes of a row's document as JSON."""
        if sequence not in self.sizes:
            self.sizes[sequence] = document_rows.text_bytes(self.docs[sequence])
        return self.sizes[sequence]

    def dump(self) -> dict[str, typing.Any]:
        """The state in the form in which snapshots store it."""
        return {
            "latest": self.latest,
            "active": self.active,
            "docs": sorted(self.docs.items()),
            "taken": self.accepted.dump(),
        }

    def restore(self, state: dict[str, typing.Any]) -> None:
        """Replace the state by that of a snapshot."""
        self.latest, self.active = state["latest"], state["active"]
        self.docs, self.sizes = {int(s): row for s, row in state["docs"]}, {}
        self.staged_log_index = {self.latest: None} if self.latest > self.active else {}
        self.accepted = accepted_orders.AcceptedOrders()
        if "taken" in state:
            self.accepted.restore(state["taken"])
        else:  # snapshots of older releases have no record of orders: derive it from the documents
            for sequence, row in sorted(self.docs.items()):
                self.accepted.add(row["id"], sequence)
            self.accepted.floor = min(self.docs, default=0)
