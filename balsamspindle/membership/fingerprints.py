"""Digests of the directory, by which two nodes find the records in which they differ.

A bucket is the set of nodes whose ids hash to the same number. The fingerprint of
a node is the XOR of the hashes of its header and of the entries of its backend
servers. Each hash includes the version, so a new version changes the fingerprint.
With XOR, the fingerprint is updated in constant time when one entry changes. The
digest of a bucket is the XOR of the fingerprints of its nodes.
"""

import struct

import xxhash

__all__ = ["BUCKET_COUNT", "BucketDigests", "bucket_of", "entry_hash"]

BUCKET_COUNT = 256
DIGEST_BYTES = 4
_DIGEST_MASK = 2 ** (8 * DIGEST_BYTES) - 1
_LAYOUT = struct.Struct(f"<{BUCKET_COUNT}I")


def entry_hash(node_id: str, incarnation: int, entry: str, version: int) -> int:
    """Return the hash of an entry at a version.

    `entry` is the backend server id, or "" for the node's header.
    """
    key = f"{node_id}|{incarnation}|{entry}|{version}"
    return xxhash.xxh3_64_intdigest(key.encode())


def bucket_of(node_id: str) -> int:
    """Return the number of the bucket that a node belongs to."""
    return xxhash.xxh3_64_intdigest(node_id.encode()) % BUCKET_COUNT


class BucketDigests:
    """A digest for each bucket: the XOR of the fingerprints of its nodes."""

    def __init__(self) -> None:
        self._digests = [0] * BUCKET_COUNT

    def toggle(self, bucket: int, fingerprint: int) -> None:
        """Add a fingerprint to the bucket's digest, or remove it if it was added."""
        self._digests[bucket] ^= fingerprint

    def encode(self) -> bytes:
        """Return the digests in the format of `SyncRequest`."""
        return _LAYOUT.pack(*(digest & _DIGEST_MASK for digest in self._digests))

    def differing_buckets(self, other: bytes) -> list[int] | None:
        """Return the buckets whose digests differ from another node's digests.

        Returns None when `other` has the wrong size.
        """
        if len(other) != _LAYOUT.size:
            return None
        pairs = enumerate(zip(self._digests, _LAYOUT.unpack(other), strict=True))
        return [bucket for bucket, (own, peer) in pairs if own & _DIGEST_MASK != peer]
