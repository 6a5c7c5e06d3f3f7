"""The snapshot of all settings in the platform's object store.

A joining node reads the snapshot and the changes accepted after it. If it scanned the
rows of all teams instead, the platform would have to send megabytes for each of the
45,000 restarts a day. The snapshot only saves work: if it is missing or too old, the
node scans the rows.
"""

import msgspec
from expression import Result

from balsamspindle.protocol.decoding import InputError, MsgpackDecoder
from balsamspindle.settings.configuration import Configuration
from balsamspindle.settings.pages import documents_of_pages, pages_of_documents
from balsamspindle.tables import ObjectStore, PlatformError
from balsamspindle.wire.member_messages import Count

__all__ = [
    "SNAPSHOT_INTERVAL_REVISIONS",
    "SNAPSHOT_NAME",
    "read_snapshot",
    "write_snapshot",
]

SNAPSHOT_NAME = "settings/snapshot"
SNAPSHOT_INTERVAL_REVISIONS = 200


class _Snapshot(msgspec.Struct, frozen=True):
    revision: Count
    chain: str
    pages: list[bytes]


_decoder = MsgpackDecoder(_Snapshot)


def write_snapshot(
    objects: ObjectStore, configuration: Configuration
) -> Result[None, PlatformError]:
    """Write a configuration as the snapshot that joining nodes read."""
    snapshot = _Snapshot(
        configuration.revision,
        configuration.chain,
        pages_of_documents(configuration.documents),
    )
    return objects.put(SNAPSHOT_NAME, msgspec.msgpack.encode(snapshot))


def read_snapshot(objects: ObjectStore) -> Configuration | None:
    """Return the settings of the snapshot; None if it is missing or damaged."""
    match objects.get(SNAPSHOT_NAME):
        case Result(tag="ok", ok=bytes() as body):
            try:
                snapshot = _decoder.decode(body)
                documents = documents_of_pages(snapshot.pages)
            except InputError:
                return None
            return Configuration(snapshot.revision, documents, snapshot.chain)
    return None
