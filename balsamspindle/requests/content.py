"""Computes the content hash of a request, which is the same for its repeats."""

import xxhash

from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.requests.http import CallerRequest

__all__ = ["hash_content"]


def hash_content(request: CallerRequest, names: HeaderNames) -> int:
    """Return a hash that is the same for all repeats of a request.

    The hash covers the host, the method, the target and the body. It also covers the
    two headers that identify the sender: the caller's credential (by default the
    Authorization header), and the digest of the customer's API key if there is one. All
    other headers are left out, because they may contain ids and times that change from
    one repeat to the next.
    """
    credential = request.header(names.credential.lower()) or ""
    parts = (request.host, request.method, request.target, credential)
    if request.key_digest is not None:
        parts += (request.key_digest,)
    # Each part is preceded by its length. Without the lengths, the parts of different
    # requests could be joined to the same string and get the same hash.
    head = "".join(f"{len(part)}:{part}" for part in parts)
    seed = xxhash.xxh3_64_intdigest(head.encode())
    return xxhash.xxh3_64_intdigest(request.body, seed)
