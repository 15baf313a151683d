"""API keys of tenants: in which form they are kept, and whose key one is.

A key itself stands nowhere in a document: only a digest of it does, so that nothing that shows a document, a
log or a report can show a key.

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
    """The digest of a key as its bytes came."""
    return hashlib.sha256(key).digest()[: constants.KEY_DIGEST_BYTES].hex()


def digest_in(authorization: str) -> str | None:
    """The digest of the key in an Authorization field of the Bearer scheme (RFC 6750); None if there is none.

    authorization: the field's bytes as text, a character for each byte (Latin-1), as HTTP servers give them.

    >>> digest_in("bearer secret") == digest_of("secret"), digest_in("Basic secret"), digest_in("secret")
    (True, None, None)
    """
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    return digest_of_bytes(key.encode("latin-1", "replace")) if scheme.lower() == SCHEME and key else None


class KeyTable:
    """Which tenant holds which key, by one document."""

    def __init__(self, document: dict[str, typing.Any]) -> None:
        self.tenants = {digest: name for name, row in document["tenants"].items() for digest in row.get("keys", ())}

    def tenant_of(self, digest: str | None) -> str | None:
        """The tenant that holds the key with this digest, None if nobody does."""
        return self.tenants.get(digest) if digest else None


def shared_key_errors(tenants: collections.abc.Mapping[str, dict[str, typing.Any]]) -> list[str]:
    """Faults of keys that two tenants hold, by path; the key itself is not named."""
    errors: list[str] = []
    first: dict[str, str] = {}  # digest -> the first tenant with that key
    for name, row in tenants.items():
        for position, digest in enumerate(row.get("keys", ())):
            other = first.setdefault(digest, name)
            if other != name:
                errors.append(f"tenants.{name}.keys.{position}: it is a key of {other!r} too")
    return errors
