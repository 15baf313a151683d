"""The commands for tenants' API keys: `mothshed key ...`.

Only the tenant gets the key itself; keepers get its digest. A key is therefore shown once, when it is generated, and
is read from standard input only. Changes are based on the latest configuration and refused if another operator
changes it at the same time. operate.py lists the exit codes.
"""

import collections.abc
import dataclasses
import re
import secrets
import sys
import typing

import cappa

import mothshed.configuration.tenant_keys as tenant_keys
import mothshed.constants as constants
import mothshed.programs.operate_configuration as operate_configuration
import mothshed.programs.operator_client as operator_client

Keepers = operate_configuration.Keepers
Tenant = dict[str, typing.Any]
Digests = list[str]
By = typing.Annotated[str, cappa.Arg(long=True, help="name of the operator, for the history")]
DIGEST = re.compile(tenant_keys.DIGEST_PATTERN)


@dataclasses.dataclass(frozen=True)
class Key:
    """A newly generated key; `repr` does not show its text."""

    text: str = dataclasses.field(repr=False)

    @property
    def digest(self) -> str:
        """The digest that the configuration stores."""
        return tenant_keys.digest_of(self.text)

    def show(self) -> None:
        """Print the key and its digest; the key can't be shown again."""
        print(f"key     {self.text}")
        print(f"digest  {self.digest}")


def make_key() -> Key:
    """Return a new random key."""
    return Key(secrets.token_urlsafe(constants.GENERATED_KEY_BYTES))


def read_tenants(keepers: list[str]) -> tuple[int, dict[str, Tenant]]:
    """Return the latest sequence and its tenants by name; exit with 1 if there are none to read."""
    status, answer = operator_client.first_answer(keepers, "GET", "/configuration")
    if status != 200:
        operate_configuration.print_json(answer)
        raise cappa.Exit(code=1)
    document = answer.get("latest_document")
    if not isinstance(document, dict):
        raise cappa.Exit("these keepers have no configuration in mothshed's own format", code=1)
    return answer["latest"], document["tenants"]


def change_digests(
    keepers: list[str], tenant: str, by: str, changed: collections.abc.Callable[[Digests], Digests]
) -> Digests:
    """Replace a tenant's digests by changed(digests), leave its other fields, and return the new digests.

    Exits with a code of operate.py if the change is not acknowledged.
    """
    base, tenants = read_tenants(keepers)
    if tenant not in tenants:
        raise cappa.Exit(f"nothing was applied: there is no tenant {tenant!r}", code=2)
    digests = changed(list(tenants[tenant].get("keys", ())))
    change = {"put": {"tenants": {tenant: {**tenants[tenant], "keys": digests}}}}
    code, answer = operator_client.change_items(keepers, base, change, by, secrets.token_hex(8))
    operate_configuration.print_json(answer)
    if code:
        raise cappa.Exit(code=code)
    return digests


def validated_digest(text: str) -> str:
    """Return a valid digest; exit with 2 otherwise, without printing the text, which may be a key."""
    if not DIGEST.match(text):
        length = 2 * constants.KEY_DIGEST_BYTES
        raise cappa.Exit(
            f"expected a digest of {length} hexadecimal digits, not a key; see `mothshed key digest`", code=2
        )
    return text


@cappa.command(name="make", help="Generates a key and prints it, this once, with its digest. Sends nothing.")
@dataclasses.dataclass
class Make:
    """Flags of `key make`."""

    def __call__(self) -> None:
        """Print a new key and its digest."""
        make_key().show()


@cappa.command(name="digest", help="Prints the digest of a key read from standard input.")
@dataclasses.dataclass
class Digest:
    """Flags of `key digest`."""

    def __call__(self) -> None:
        """Read one line and print its digest."""
        key = sys.stdin.readline().strip()
        if not key:
            raise cappa.Exit("standard input contains no key", code=2)
        print(tenant_keys.digest_of(key))


@cappa.command(name="list", help="Lists tenants with the digests of their keys and their limits.")
@dataclasses.dataclass
class List:
    """Flags of `key list`."""

    keeper: Keepers

    def __call__(self) -> None:
        """Print the tenants of the latest configuration."""
        sequence, tenants = read_tenants(self.keeper)
        operate_configuration.print_json({"sequence": sequence, "tenants": tenants})


@cappa.command(name="add", help="Adds a key to a tenant; existing keys stay valid.")
@dataclasses.dataclass
class Add:
    """Flags of `key add`."""

    tenant: str
    digest: typing.Annotated[str, cappa.Arg(help="digest of the key, as printed by `key make` or `key digest`")]
    keeper: Keepers
    by: By = ""

    def __call__(self) -> None:
        """Send the change; exit with a code of operate.py unless it is acknowledged."""
        digest = validated_digest(self.digest)

        def added(digests: Digests) -> Digests:
            if digest in digests:
                raise cappa.Exit(f"nothing was applied: {self.tenant!r} already has this key", code=2)
            return [*digests, digest]

        change_digests(self.keeper, self.tenant, self.by, added)


@cappa.command(name="remove", help="Removes a key from a tenant.")
@dataclasses.dataclass
class Remove:
    """Flags of `key remove`."""

    tenant: str
    digest: typing.Annotated[str, cappa.Arg(help="digest of the key, as printed by `key list`")]
    keeper: Keepers
    by: By = ""

    def __call__(self) -> None:
        """Send the change; exit with a code of operate.py unless it is acknowledged."""
        digest = validated_digest(self.digest)

        def without(digests: Digests) -> Digests:
            if digest not in digests:
                raise cappa.Exit(f"nothing was applied: {self.tenant!r} has no such key", code=2)
            return [other for other in digests if other != digest]

        left = change_digests(self.keeper, self.tenant, self.by, without)
        if not left:
            print(f"{self.tenant!r} has no key left", file=sys.stderr)


@cappa.command(name="rotate", help="Generates a key and adds it; former keys stay valid until `key remove`.")
@dataclasses.dataclass
class Rotate:
    """Flags of `key rotate`."""

    tenant: str
    keeper: Keepers
    by: By = ""

    def __call__(self) -> None:
        """Print the new key once it is acknowledged, and the former digests, to be removed later."""
        key, former = make_key(), list[str]()

        def added(digests: Digests) -> Digests:
            former.extend(digests)
            return [*digests, key.digest]

        change_digests(self.keeper, self.tenant, self.by, added)
        key.show()
        for digest in former:
            print(f"former  {digest}")


@cappa.command(name="key", help="Manages tenants' API keys: make, digest, list, add, rotate, remove.")
@dataclasses.dataclass
class Keys:
    """The subcommands of `key`."""

    command: cappa.Subcommands[Make | Digest | List | Add | Rotate | Remove]
