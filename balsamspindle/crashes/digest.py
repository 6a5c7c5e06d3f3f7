"""Computes the hash by which two nodes find that their crash histories differ."""

from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash

from balsamspindle.crashes.attribution import KnownCrash

__all__ = ["compute_digest"]


def compute_digest(
    crashes: Mapping[tuple[str, int], KnownCrash],
    counts: Mapping[int, int],
    quarantined: Mapping[int, Any],
) -> int:
    """Return a hash of crashes and quarantines; 0 if there are none.

    Requests that were lost only once are left out: nodes do not share whether these
    were answered, so the nodes' digests might never become equal.

    Parameters
    ----------
    counts : mapping of int to int
        By content hash: the number of crashes that list a run of the request.
    """
    encoded_crashes = [
        (key, sorted(run for run in known.runs if counts[run] > 1))
        for key, known in sorted(crashes.items())
    ]
    quarantines = [
        (content_hash, one.term, one.is_lifted)
        for content_hash, one in sorted(quarantined.items())
    ]
    if not encoded_crashes and not quarantines:
        return 0
    encoded = msgspec.msgpack.encode((encoded_crashes, quarantines))
    return xxhash.xxh32_intdigest(encoded) or 1
