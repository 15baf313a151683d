"""API keys of tenants: their stored form, and the lookup of a key's tenant.

A document contains only digests of keys, never a key itself, so that no display of a document, log or
report can reveal a key.

>>> table = KeyTable({"tenants": {"repair": {"share": 1, "keys": [digest_of("secret")]}, "riders": {"share": 1}}})
>>> table.tenant_of(digest_of("secret")), table.tenant_of(digest_of("Secret"))
('repair', None)
"""

import collections.abc
import hashlib
import typing

import voluptuous

import mothshed.constants as constants

DIGEST_PATTERN = rf"^[0-9a-f]{{{2 * constants.KEY_DIGEST_BYTES}}}\Z"
DIGEST = voluptuous.All(str, voluptuous.Match(DIGEST_PATTERN))
SCHEME = "bearer"


def digest_of(key: str) -> str:
    """The digest of a key: the first KEY_DIGEST_BYTES of the SHA-256 of its UTF-8 bytes, in hexadecimal."""
    return digest_of_bytes(key.encode("utf-8", "surrogateescape"))


def digest_of_bytes(key: bytes) -> str:
    """The digest of a key, given as the received bytes."""
    return hashlib.sha256(key).digest()[: constants.KEY_DIGEST_BYTES].hex()


def digest_in(authorization: str) -> str | None:
    """The digest of the key in an Authorization header with the Bearer scheme (RFC 6750); None if there is none.

    authorization: the header's bytes decoded as Latin-1, as WSGI servers provide them.

    >>> digest_in("bearer secret") == digest_of("secret"), digest_in("Basic secret"), digest_in("secret")
    (True, None, None)
    """
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    return digest_of_bytes(key.encode("latin-1", "replace")) if scheme.lower() == SCHEME and key else None


class KeyTable:
    """Maps the key digests of one document to tenants."""

    def __init__(self, document: dict[str, typing.Any]) -> None:
        self.tenants = {digest: name for name, row in document["tenants"].items() for digest in row.get("keys", ())}

    def tenant_of(self, digest: str | None) -> str | None:
        """The tenant of the key with this digest, or None."""
        return self.tenants.get(digest) if digest else None


def shared_key_errors(tenants: collections.abc.Mapping[str, dict[str, typing.Any]]) -> list[str]:
    """Errors, with paths, for keys that belong to two tenants; the messages do not contain the key."""
    errors: list[str] = []
    first: dict[str, str] = {}  # digest -> the first tenant with that key
    for name, row in tenants.items():
        for position, digest in enumerate(row.get("keys", ())):
            other = first.setdefault(digest, name)
            if other != name:
                errors.append(f"tenants.{name}.keys.{position}: already a key of tenant {other!r}")
    return errors
