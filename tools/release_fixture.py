"""Writes down the records of this release, for the tests of later ones: `python -m tools.release_fixture`.

Run it once, when RECORD_FORMAT_VERSION was raised and its table is complete; a file of a release
that others run is never written again.
"""

import json
import pathlib

import mothshed.transport.record_kinds as record_kinds
import mothshed.transport.records as records

FOLDER = pathlib.Path(__file__).parent.parent / "tests" / "releases"
SAMPLES = {"q": 7, "d": 0.5, "?": True, "s": "text", "j": {"rows": [[1, "two", None]]}}  # one value of each code


def field_text(field: record_kinds.Field) -> str:
    """A field as record_kinds writes it."""
    added = f"@{field.since}={json.dumps(field.default)}" if field.since else ""
    return f"{field.name}:{field.code}{added}"


def kind_row(kind: record_kinds.Kind) -> dict[str, object]:
    """A kind, and one record of it as this release packs it."""
    body = {field.name: SAMPLES[field.code] for field in kind.fields}
    return {
        "number": kind.number,
        "fields": " ".join(field_text(field) for field in kind.fields),
        "since": kind.since,
        "body": body,
        "packed": records.CODEC.pack(kind.name, body).hex(),
    }


def main() -> None:
    """Write the file of this release."""
    rows = {kind.name: kind_row(kind) for kind in record_kinds.KINDS}
    path = FOLDER / f"records-{records.CODEC.release}.json"
    path.write_text(json.dumps(rows, indent=1) + "\n")
    print(path)


if __name__ == "__main__":
    main()
