"""Operators' orders in mothshed's own format: commands from request bodies, and checks of their documents."""

import secrets
import typing

import mothshed.configuration.document as configuration
import mothshed.configuration.document_change as document_change
import mothshed.configuration.document_limits as document_limits
import mothshed.control_plane.document_rows as document_rows

Command = dict[str, typing.Any]  # for the log of the configuration part


def stage_command(body: dict[str, typing.Any]) -> Command:
    """The command for an operator's order, without its document."""
    return {
        "op": "stage",
        "base": body["base"],
        "by": body.get("by", ""),
        "id": body.get("id") or secrets.token_hex(8),
    }


def request_errors(body: typing.Any, fields: set[str]) -> list[str]:
    """Errors in the structure of an order. fields: those allowed besides base, by and id."""
    if not isinstance(body, dict):
        return [f"document: expected an object with base and {' and '.join(sorted(fields))}"]
    errors = []
    if not isinstance(body.get("base"), int) or isinstance(body.get("base"), bool) or body["base"] < 0:
        errors.append("base: expected the sequence this document was made from, 0 for the first")
    for field in ("by", "id"):
        if not isinstance(body.get(field, ""), str):
            errors.append(f"{field}: expected text")
    return errors + [f"{field}: unknown" for field in sorted(set(body) - {"base", "by", "id"} - fields)]


def validated_document(document: document_change.Document) -> document_change.Document:
    """The document that a change results in, with defaults; raises ChangeError if it is not valid."""
    sent = document.get(document_rows.AS_SENT, document)  # its limits are those of a document that is sent whole
    errors = document_limits.encoding_errors(sent) or document_limits.size_errors(sent)
    if errors:
        raise document_change.ChangeError(errors)
    validation = configuration.validate(document)
    if validation.document is None:
        raise document_change.ChangeError([f"document.{error}" for error in validation.errors])
    return validation.document


def history_row(sequence: int, stored: document_rows.StoredDocument) -> dict[str, typing.Any]:
    """A row of the history, without the operator's original text, which may contain keys."""
    return {"sequence": sequence, "by": stored.row["by"], "id": stored.row["id"], "document": stored.served()}
