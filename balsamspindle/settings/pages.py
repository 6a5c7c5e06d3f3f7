"""All settings of one revision as compressed pages, for nodes that join.

At 49,000 routes the documents are megabytes: more than one message may hold,
and more than a sender should hand over at a time.
"""

import zlib
from collections.abc import Iterable, Mapping

import msgspec

__all__ = ["PAGE_BYTES", "documents_of_pages", "pages_of_documents"]

# Compressed well under the 27 KB that a sender's byte cap ever has for one
# message: a larger page would be refused each time, and the joiner never served.
PAGE_BYTES = 48 * 1024
PAGE_MAX_BYTES = 8 * 1024 * 1024
COMPRESSION_LEVEL = 1

_decoder = msgspec.msgpack.Decoder(dict[str, bytes])


def pages_of_documents(documents: Mapping[str, bytes]) -> list[bytes]:
    """Return pages that together hold all documents; at least one page.

    Nodes at the same revision make the same pages, so that a joining node can
    take them from many.
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
    ValueError
        A page is damaged or grows past its bound.
    """
    documents: dict[str, bytes] = {}
    for page in pages:
        decompressor = zlib.decompressobj()
        try:
            # A few bytes can unpack to gigabytes: the bound keeps a damaged
            # or hostile page from taking the node's memory.
            body = decompressor.decompress(page, PAGE_MAX_BYTES)
            documents.update(_decoder.decode(body))
        except (zlib.error, msgspec.MsgspecError) as error:
            raise ValueError(str(error)) from error
    return documents
