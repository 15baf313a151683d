"""Sends pieces of packed documents to the processes that fetch them: to leaseholders and to other members."""

import base64
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.storage.document_store as document_store

PIECE_KINDS = {"document_ask": "document_piece", "member_document_ask": "member_document_piece"}


class DocumentServer:
    """Answers requests for pieces, in the mailbox of the environment; a keeper need not lead to do so."""

    def __init__(self, environment: typing.Any, store: document_store.DocumentStore) -> None:
        self.environment, self.store = environment, store
        for ask, piece in PIECE_KINDS.items():
            environment.subscribe(ask, lambda sender, body, piece=piece: self.on_ask(sender, body, piece), 0)

    def on_ask(self, sender: str, body: dict[str, typing.Any], piece: str) -> None:
        """Send the bytes asked for, if the document is here."""
        data = self.store.get(body["digest"])
        start, end = body["start"], min(body["end"], body["start"] + configuration_constants.DOCUMENT_PIECE_BYTES)
        if data is None or not 0 <= start < end <= len(data):
            return
        self.environment.send(
            sender,
            piece,
            part=0,
            digest=body["digest"],
            first=body["first"],
            start=start,
            piece=base64.b64encode(data[start:end]).decode(),
        )
