"""The configuration commands: `mothshed config ...`. operate.py lists the exit codes."""

import dataclasses
import json
import pathlib
import secrets
import typing

import cappa

import mothshed.configuration.document as configuration
import mothshed.configuration.document_change as document_change
import mothshed.configuration.manifests as manifests
import mothshed.programs.document_file as document_file
import mothshed.programs.operator_client as operator_client

Keepers = typing.Annotated[
    list[str],
    cappa.Arg(long="--keeper", required=True, help="ip:port of a keeper's HTTP server; may be repeated"),
]


def print_json(body: typing.Any) -> None:
    """Print an answer as indented JSON."""
    print(json.dumps(body, indent=2))


@cappa.command(name="check", help="Checks a configuration document and lists all errors; changes nothing.")
@dataclasses.dataclass
class Check:
    """Flags of `config check`."""

    file: str

    def __call__(self) -> None:
        """Print all errors and exit with 2, or print that the document is valid."""
        errors = configuration.validation_errors(document_file.read(self.file))
        if errors:
            raise cappa.Exit("\n".join(errors), code=2)
        print("valid")


@cappa.command(name="apply", help="Replaces the document of a given sequence by a whole document.")
@dataclasses.dataclass
class Apply:
    """Flags of `config apply`."""

    file: str
    base: typing.Annotated[
        int, cappa.Arg(long=True, help="sequence that the document is based on; 0 for the first document")
    ]
    keeper: Keepers
    by: typing.Annotated[str, cappa.Arg(long=True, help="name of the operator, for the history")] = ""

    def __call__(self) -> None:
        """Send the document; exit with a code of operate.py unless it is acknowledged."""
        document = document_file.read(self.file)
        errors = configuration.validation_errors(document)
        if errors:
            raise cappa.Exit("nothing was applied:\n" + "\n".join(errors), code=2)
        code, answer = operator_client.apply_document(self.keeper, self.base, document, self.by, secrets.token_hex(8))
        print_json(answer)
        if code:
            raise cappa.Exit(code=code)


@cappa.command(name="change", help="Puts and removes named items; everything else stays unchanged.")
@dataclasses.dataclass
class Change:
    """Flags of `config change`."""

    file: typing.Annotated[str, cappa.Arg(help='JSON: {"put": {"routes": [...]}, "remove": {"routes": ["name"]}}')]
    base: typing.Annotated[int, cappa.Arg(long=True, help="sequence that the change is based on")]
    keeper: Keepers
    by: typing.Annotated[str, cappa.Arg(long=True, help="name of the operator, for the history")] = ""

    def __call__(self) -> None:
        """Send the change; exit with a code of operate.py unless it is acknowledged."""
        change = document_file.read(self.file)
        unknown = sorted(set(change) - {"put", "remove"}) if isinstance(change, dict) else ["document"]
        if unknown:
            raise cappa.Exit("nothing was applied: expected put and remove, not " + ", ".join(unknown), code=2)
        try:
            document_change.parse_change(change.get("put", {}), change.get("remove", {}))
        except document_change.ChangeError as error:
            raise cappa.Exit("nothing was applied:\n" + "\n".join(error.errors), code=2) from error
        code, answer = operator_client.change_items(self.keeper, self.base, change, self.by, secrets.token_hex(8))
        print_json(answer)
        if code:
            raise cappa.Exit(code=code)


@cappa.command(name="show", help="Shows the active and the latest document and the processes that acknowledged it.")
@dataclasses.dataclass
class Show:
    """Flags of `config show`."""

    keeper: Keepers

    def __call__(self) -> None:
        """Print the documents and the processes that acknowledged them."""
        print_answer(self.keeper, "/configuration")


@cappa.command(name="history", help="Shows the accepted documents, oldest first.")
@dataclasses.dataclass
class History:
    """Flags of `config history`."""

    keeper: Keepers

    def __call__(self) -> None:
        """Print the accepted documents that keepers still store."""
        print_answer(self.keeper, "/configuration/history")


def print_answer(keepers: list[str], path: str) -> None:
    """Print the keepers' answer; exit with code 1 if its status is not 200."""
    status, answer = operator_client.first_answer(keepers, "GET", path)
    print_json(answer)
    if status != 200:
        raise cappa.Exit(code=1)


@cappa.command(name="from-manifest", help="Translates a Gateway-style manifest (YAML) and prints the document.")
@dataclasses.dataclass
class FromManifest:
    """Flags of `config from-manifest`."""

    file: str

    def __call__(self) -> None:
        """Print the document, or exit with 2 and the error in the manifest."""
        try:
            print_json(manifests.translate(pathlib.Path(self.file).read_text()))
        except (OSError, manifests.ManifestError) as error:
            raise cappa.Exit(f"{self.file}: {error}", code=2) from error


@cappa.command(name="config", help="Manages the configuration: check, apply, change, show, history, from-manifest.")
@dataclasses.dataclass
class Config:
    """The subcommands of `config`."""

    command: cappa.Subcommands[Check | Apply | Change | Show | History | FromManifest]
