"""Keys of teams and of the fleet, kept as salted scrypt hashes.

The check runs in the operators' tool: it keeps one team's operator from
editing another's subtree by mistake or by a wrong key. Whoever holds the
platform's own credentials can write its rows without it.
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
    """What an operator shows with an edit.

    Attributes
    ----------
    author : str
        Name for the change log.
    team_key : str or None
        Opens the team's own subtree.
    fleet_key : str or None
        Creates teams and replaces lost team keys.
    """

    author: str = "unnamed"
    team_key: str | None = None
    fleet_key: str | None = None


def hash_key(key: str, salt: bytes | None = None) -> str:
    """Return ``SALT$HASH`` in hexadecimal; a fresh salt when none is given."""
    salt = os.urandom(SALT_BYTES) if salt is None else salt
    digest = hashlib.scrypt(
        key.encode(), salt=salt, n=SCRYPT_COST, r=SCRYPT_BLOCK, p=SCRYPT_PARALLEL
    )
    return f"{salt.hex()}${digest.hex()}"


def key_matches(key: str | None, hashed: str | None) -> bool:
    """Tell whether a key is the one that was hashed; no key matches nothing."""
    if not key or not hashed:
        return False
    salt = bytes.fromhex(hashed.partition("$")[0])
    return hmac.compare_digest(hash_key(key, salt), hashed)
