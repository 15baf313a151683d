"""The document of an operator's order: prepared for its command, and stored before the command refers to it."""

import contextlib
import typing

import mothshed.control_plane.confirmed_calls as confirmed_calls
import mothshed.control_plane.document_rows as document_rows
import mothshed.storage.disk as disk_module


def stored_fields(
    member: typing.Any, document: document_rows.Document, pins: contextlib.ExitStack
) -> document_rows.Command:
    """The fields of a command that carry a document, in a form that all members know.

    A large document is durable here afterwards, and kept until `pins` is closed. Raises NotConfirmed if the disk
    refuses it: nothing was written to the log. May wait for the disk.
    """
    prepared = document_rows.prepare(document, member.all_members_fetch_documents())
    if prepared.data is not None:
        pins.enter_context(member.documents.pinned(prepared.digest))
        try:
            member.documents.put(prepared.digest, prepared.data)
        except disk_module.DiskError as error:
            member.post_disk_fault(error)
            raise confirmed_calls.NotConfirmed() from error
    return prepared.fields
