"""Creation and verification of callers' keys."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import KeyId
from primroseford.ids import OrganisationId

if TYPE_CHECKING:
    from primroseford.configuration.tables import Tables

KEY_PREFIX = "pk"
ID_BYTES = 6
SECRET_BYTES = 24
MAX_KEY_CHARACTERS = 128
KEY_PATTERN = (
    rf"{KEY_PREFIX}-[0-9a-f]{{{2 * ID_BYTES}}}-[A-Za-z0-9_-]{{{SECRET_BYTES * 4 // 3}}}"
)
"""Regular expression that finds keys in requests."""
UNKNOWN_HASH = "0" * 64


@dataclass(frozen=True)
class NewKey:
    """A new key, which is shown to the operator only once.

    :param secret: the whole key, as callers send it
    :param key_id: public id, which is part of the secret
    :param hash: SHA-256 of the secret in hexadecimal digits
    """

    secret: str
    key_id: KeyId
    hash: str


@dataclass(frozen=True)
class Identity:
    """Authenticated sender of a request.

    :param organisation: organisation of the key
    :param key_id: public id of the key
    """

    organisation: OrganisationId
    key_id: KeyId


def create_key() -> NewKey:
    """Return a new random key."""
    key_id = KeyId(secrets.token_hex(ID_BYTES))
    secret = f"{KEY_PREFIX}-{key_id}-{secrets.token_urlsafe(SECRET_BYTES)}"
    return NewKey(secret, key_id, hash_secret(secret))


def hash_secret(secret: str) -> str:
    """Return the hash of a secret, which is what is stored.

    A single SHA-256 is sufficient, because secrets are random and not chosen by people.

    :param secret: the whole key
    """
    return hashlib.sha256(secret.encode(errors="surrogatepass")).hexdigest()


def authenticate(tables: Tables, secret: str | None) -> Identity:
    """Return the identity of the sender of a key.

    :param tables: tables in force
    :param secret: key in the request, if there is one
    :raises PrimrosefordError: KEY_MISSING, KEY_UNKNOWN or KEY_WITHDRAWN
    """
    if not secret:
        raise PrimrosefordError(
            ResultCode.KEY_MISSING,
            "the request carries no key",
            field="Authorization",
            hint="send the header 'Authorization: Bearer KEY'",
        )
    # A longer secret cannot be valid; truncation bounds the cost of hashing it.
    valid_length = len(secret) <= MAX_KEY_CHARACTERS
    secret = secret[:MAX_KEY_CHARACTERS]
    parts = secret.split("-", 2)
    key_id = KeyId(parts[1] if len(parts) == 3 else "")
    record = tables.keys.get(key_id)
    expected = record.hash if record else UNKNOWN_HASH
    matches = hmac.compare_digest(hash_secret(secret), expected)
    if not matches or not valid_length or record is None:
        raise PrimrosefordError(
            ResultCode.KEY_UNKNOWN, "the key is not known", field="Authorization"
        )
    identity = Identity(OrganisationId(record.organisation), key_id)
    check_still_valid(tables, identity)
    return identity


def still_valid(tables: Tables, identity: Identity) -> bool:
    """Return whether the key of an authenticated sender is still valid.

    :param tables: tables in force now
    :param identity: identity of the sender
    """
    record = tables.keys.get(identity.key_id)
    return (
        record is not None
        and not record.withdrawn
        and record.organisation == identity.organisation
        and identity.organisation in tables.organisations
    )


def check_still_valid(tables: Tables, identity: Identity) -> None:
    """Raise an error if the key of an identity was withdrawn.

    :raises PrimrosefordError: KEY_WITHDRAWN
    """
    if not still_valid(tables, identity):
        raise PrimrosefordError(
            ResultCode.KEY_WITHDRAWN,
            "the key was withdrawn",
            field="Authorization",
            hint="ask the operator for a new key",
        )
