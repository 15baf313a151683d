"""The commands on tenants' API keys: `mothshed key ...`.

A key itself goes to the tenant only. Keepers are told its digest, so a key is shown once, when it is made, and is
taken from nowhere but standard input. Changes are made over the newest configuration and refused if somebody else
changes it at the same moment. Exit codes are those of operate.py.
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
By = typing.Annotated[str, cappa.Arg(long=True, help="who changes it")]
DIGEST = re.compile(tenant_keys.DIGEST_PATTERN)


@dataclasses.dataclass(frozen=True)
class Key:
    """A key that was made just now. Its text is left out of what `repr` shows."""

    text: str = dataclasses.field(repr=False)

    @property
    def digest(self) -> str:
        """What a configuration holds of it."""
        return tenant_keys.digest_of(self.text)

    def show(self) -> None:
        """Print the key, this once, and its digest."""
        print(f"key     {self.text}")
        print(f"digest  {self.digest}")


def make_key() -> Key:
    """A new random key."""
    return Key(secrets.token_urlsafe(constants.GENERATED_KEY_BYTES))


def read_tenants(keepers: list[str]) -> tuple[int, dict[str, Tenant]]:
    """The newest sequence and its tenants by name; ends the command if they can't be had."""
    status, answer = operator_client.first_answer(keepers, "GET", "/configuration")
    if status != 200:
        operate_configuration.print_json(answer)
        raise cappa.Exit(code=1)
    document = answer.get("latest_document")
    if not isinstance(document, dict):
        raise cappa.Exit("these keepers hold no configuration of mothshed's own form", code=1)
    return answer["latest"], document["tenants"]


def change_digests(
    keepers: list[str], tenant: str, by: str, changed: collections.abc.Callable[[Digests], Digests]
) -> Digests:
    """Replace a tenant's digests by what `changed` makes of them, everything else of it left; give the new ones.

    Ends the command with one of the exit codes if the change is not acknowledged.
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
    """The digest that was given; ends the command if it is none, without showing it: it may be a key."""
    if not DIGEST.match(text):
        length = 2 * constants.KEY_DIGEST_BYTES
        raise cappa.Exit(
            f"expected a digest, {length} digits from 0 to f, not a key; see `mothshed key digest`", code=2
        )
    return text


@cappa.command(name="make", help="Makes a key: prints it, this once, and its digest. Tells nobody.")
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
            raise cappa.Exit("no key came from standard input", code=2)
        print(tenant_keys.digest_of(key))


@cappa.command(name="list", help="Shows the tenants with the digests of their keys and their limits.")
@dataclasses.dataclass
class List:
    """Flags of `key list`."""

    keeper: Keepers

    def __call__(self) -> None:
        """Print the tenants of the newest configuration."""
        sequence, tenants = read_tenants(self.keeper)
        operate_configuration.print_json({"sequence": sequence, "tenants": tenants})


@cappa.command(name="add", help="Adds a key to a tenant, beside those that it has.")
@dataclasses.dataclass
class Add:
    """Flags of `key add`."""

    tenant: str
    digest: typing.Annotated[str, cappa.Arg(help="of the key, as `key make` or `key digest` printed it")]
    keeper: Keepers
    by: By = ""

    def __call__(self) -> None:
        """Send the change; exit with the codes above unless it is acknowledged."""
        digest = validated_digest(self.digest)

        def added(digests: Digests) -> Digests:
            if digest in digests:
                raise cappa.Exit(f"nothing was applied: {self.tenant!r} has this key", code=2)
            return [*digests, digest]

        change_digests(self.keeper, self.tenant, self.by, added)


@cappa.command(name="remove", help="Takes a key away from a tenant.")
@dataclasses.dataclass
class Remove:
    """Flags of `key remove`."""

    tenant: str
    digest: typing.Annotated[str, cappa.Arg(help="of the key, as `key list` shows it")]
    keeper: Keepers
    by: By = ""

    def __call__(self) -> None:
        """Send the change; exit with the codes above unless it is acknowledged."""
        digest = validated_digest(self.digest)

        def without(digests: Digests) -> Digests:
            if digest not in digests:
                raise cappa.Exit(f"nothing was applied: {self.tenant!r} has no such key", code=2)
            return [other for other in digests if other != digest]

        left = change_digests(self.keeper, self.tenant, self.by, without)
        if not left:
            print(f"{self.tenant!r} has no key left", file=sys.stderr)


@cappa.command(name="rotate", help="Makes a key and adds it; the former ones stay until `key remove` takes them away.")
@dataclasses.dataclass
class Rotate:
    """Flags of `key rotate`."""

    tenant: str
    keeper: Keepers
    by: By = ""

    def __call__(self) -> None:
        """Print the new key once it is acknowledged, and the digests to be taken away later."""
        key, former = make_key(), list[str]()

        def added(digests: Digests) -> Digests:
            former.extend(digests)
            return [*digests, key.digest]

        change_digests(self.keeper, self.tenant, self.by, added)
        key.show()
        for digest in former:
            print(f"former  {digest}")


@cappa.command(name="key", help="API keys of tenants: make, digest, list, add, rotate, remove.")
@dataclasses.dataclass
class Keys:
    """The commands on API keys."""

    command: cappa.Subcommands[Make | Digest | List | Add | Rotate | Remove]
