"""Splits all settings of one revision into compressed pages.

With 49,000 routes the documents take megabytes: more than fits into one message, and
more than a node should send at once.
"""

import zlib
from collections.abc import Iterable, Mapping

import msgspec

from balsamspindle.protocol.decoding import InputError, MsgpackDecoder

__all__ = ["PAGE_BYTES", "documents_of_pages", "pages_of_documents"]

# A page is complete when its documents exceed this size before compression. The
# compressed page is well below 27 KB, the largest message that a sender's byte cap ever
# allows. A larger page would be dropped each time, so a joining node would never
# receive its settings.
PAGE_BYTES = 48 * 1024
DECOMPRESSED_PAGE_MAX_BYTES = 8 * 1024 * 1024
COMPRESSION_LEVEL = 1

_decoder = MsgpackDecoder(dict[str, bytes])


def pages_of_documents(documents: Mapping[str, bytes]) -> list[bytes]:
    """Return compressed pages that together contain all documents; at least one page.

    Nodes at the same revision return the same pages, so that a joining node can
    pull them from several peers.
    """
    pages: list[dict[str, bytes]] = [{}]
    page_bytes = 0
    for path, document in sorted(documents.items()):
        if page_bytes > PAGE_BYTES:
            pages.append({})
            page_bytes = 0
        pages[-1][path] = document
        page_bytes += len(path) + len(document)
    encode = msgspec.msgpack.encode
    return [zlib.compress(encode(page), COMPRESSION_LEVEL) for page in pages]


def documents_of_pages(pages: Iterable[bytes]) -> dict[str, bytes]:
    """Return the documents of all pages.

    Raises
    ------
    InputError
        A page is damaged, or too large when decompressed.
    """
    documents: dict[str, bytes] = {}
    for page in pages:
        decompressor = zlib.decompressobj()
        try:
            # A few bytes can decompress to gigabytes. Without the limit, a damaged or
            # malicious page could exhaust the node's memory.
            body = decompressor.decompress(page, DECOMPRESSED_PAGE_MAX_BYTES)
            documents.update(_decoder.decode(body))
        except zlib.error as error:
            raise InputError(str(error)) from error
    return documents
