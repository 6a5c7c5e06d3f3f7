"""Keys of teams and of the fleet, stored as salted scrypt hashes.

The operators' tool checks the keys, so that an operator does not edit another team's
documents by mistake. The platform does not check the keys: anyone with the platform's
own credentials can write its rows directly.
"""

import hashlib
import hmac
import os
from typing import NamedTuple

__all__ = ["Credentials", "hash_key", "key_matches"]

SCRYPT_COST = 2**14
SCRYPT_BLOCK = 8
SCRYPT_PARALLEL = 1
SALT_BYTES = 16


class Credentials(NamedTuple):
    """The name and keys that an operator submits with an edit.

    Attributes
    ----------
    author : str
        Name to record in the change log.
    team_key : str or None
        Permits edits of this team's documents.
    fleet_key : str or None
        Permits edits of all documents, creating teams and replacing lost team keys.
    """

    author: str = "unnamed"
    team_key: str | None = None
    fleet_key: str | None = None


def hash_key(key: str, salt: bytes | None = None) -> str:
    """Return ``SALT$HASH`` in hexadecimal, with a random salt if none is given."""
    salt = os.urandom(SALT_BYTES) if salt is None else salt
    digest = hashlib.scrypt(
        key.encode(), salt=salt, n=SCRYPT_COST, r=SCRYPT_BLOCK, p=SCRYPT_PARALLEL
    )
    return f"{salt.hex()}${digest.hex()}"


def key_matches(key: str | None, hashed: str | None) -> bool:
    """Return whether `hashed` is a hash of `key`; False if either is missing."""
    if not key or not hashed:
        return False
    salt = bytes.fromhex(hashed.partition("$")[0])
    return hmac.compare_digest(hash_key(key, salt), hashed)
