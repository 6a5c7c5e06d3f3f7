"""Customers' keys and their digests; only digests are stored."""

import hashlib
import secrets

__all__ = [
    "KEY_DIGEST_BYTES",
    "KEY_MAX_CHARACTERS",
    "key_digest",
    "new_key",
]

KEY_DIGEST_BYTES = 16
KEY_MAX_CHARACTERS = 256
# Random bytes of a generated key.
KEY_BYTES = 24
# Hash personalization: makes the digest of a key differ from digests of the same text
# that are computed for other purposes.
_HASH_PERSON = b"balsamspindle"


def key_digest(key: str) -> str:
    """Return the hexadecimal digest under which a key is stored.

    The digest needs no salt: keys are long and random, so a key can't be found from its
    digest by guessing.

    Raises
    ------
    ValueError
        If the key is empty or too long.
    """
    if not 0 < len(key) <= KEY_MAX_CHARACTERS:
        raise ValueError(f"a key must have 1 to {KEY_MAX_CHARACTERS} characters")
    return hashlib.blake2b(
        key.encode("latin-1", "replace"),
        digest_size=KEY_DIGEST_BYTES,
        person=_HASH_PERSON,
    ).hexdigest()


def new_key() -> str:
    """Return a random key in URL-safe base64."""
    return secrets.token_urlsafe(KEY_BYTES)
