"""Writes the records of this release to a file for the tests of later releases: `python -m tools.release_fixture`.

Run it once, after RECORD_FORMAT_VERSION was raised and its table is complete. The file of a
release that is in use is never rewritten.
"""

import json
import pathlib

import mothshed.transport.record_kinds as record_kinds
import mothshed.transport.records as records

RELEASES_FOLDER = pathlib.Path(__file__).parent.parent / "tests" / "releases"
SAMPLE_VALUES = {
    "q": 7,
    "d": 0.5,
    "?": True,
    "s": "text",
    "j": {"rows": [[1, "two", None]]},
}  # one value per field code


def format_field(field: record_kinds.Field) -> str:
    """Return a field in the notation of record_kinds."""
    version_suffix = f"@{field.since}={json.dumps(field.default)}" if field.since else ""
    return f"{field.name}:{field.code}{version_suffix}"


def describe_kind(kind: record_kinds.Kind) -> dict[str, object]:
    """Return a kind and one record of it as packed by this release."""
    body = {field.name: SAMPLE_VALUES[field.code] for field in kind.fields}
    return {
        "number": kind.number,
        "fields": " ".join(format_field(field) for field in kind.fields),
        "since": kind.since,
        "body": body,
        "packed": records.CODEC.pack(kind.name, body).hex(),
    }


def main() -> None:
    """Write the fixture file of this release."""
    rows = {kind.name: describe_kind(kind) for kind in record_kinds.KINDS}
    path = RELEASES_FOLDER / f"records-{records.CODEC.release}.json"
    path.write_text(json.dumps(rows, indent=1) + "\n")
    print(path)


if __name__ == "__main__":
    main()
