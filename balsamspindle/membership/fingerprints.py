"""Digests by bucket: what two nodes compare before they send records.

A fingerprint is the XOR of one hash for each (node, incarnation, entry,
version), so that it is kept up to date in constant time for each change.
"""

import struct

import xxhash

__all__ = ["BUCKETS", "Buckets", "bucket_of", "entry_hash"]

BUCKETS = 256
BUCKET_BYTES = 4
_BUCKET_MASK = 2 ** (8 * BUCKET_BYTES) - 1
_LAYOUT = struct.Struct(f"<{BUCKETS}I")


def entry_hash(node_id: str, incarnation: int, entry: str, version: int) -> int:
    """Return the hash of one entry at one version; `entry` is "" for the header."""
    key = f"{node_id}|{incarnation}|{entry}|{version}"
    return xxhash.xxh3_64_intdigest(key.encode())


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node."""
    return xxhash.xxh3_64_intdigest(node_id.encode()) % BUCKETS


class Buckets:
    """The XOR of the fingerprints of each bucket's nodes."""

    def __init__(self) -> None:
        self._digests = [0] * BUCKETS

    def mix(self, bucket: int, fingerprint: int) -> None:
        """Put a fingerprint in, or take it out again."""
        self._digests[bucket] ^= fingerprint

    def encode(self) -> bytes:
        """Return the digests as they travel."""
        return _LAYOUT.pack(*(digest & _BUCKET_MASK for digest in self._digests))

    def differing(self, other: bytes) -> list[int] | None:
        """Return the buckets that differ from another node's, None for garbage."""
        if len(other) != _LAYOUT.size:
            return None
        pairs = enumerate(zip(self._digests, _LAYOUT.unpack(other), strict=True))
        return [bucket for bucket, (own, its) in pairs if own & _BUCKET_MASK != its]
