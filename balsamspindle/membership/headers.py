"""Converts between a node's record and the header that is sent to other nodes."""

import sys

from balsamspindle.wire import NodeHeader, NodeRecord

__all__ = ["header_of", "record_with_header"]


def header_of(record: NodeRecord) -> NodeHeader:
    """Return a record without its backend servers, as it is sent."""
    return NodeHeader(
        record.region,
        record.availability_zone,
        record.link_address,
        record.member_address,
        record.state,
        record.admin_address,
        record.link_level,
    )


def record_with_header(
    node_id: str, incarnation: int, version: int, header: NodeHeader
) -> NodeRecord:
    """Return a record that contains a header and no backend servers."""
    return NodeRecord(
        node_id,
        incarnation,
        version,
        sys.intern(header.region),
        sys.intern(header.availability_zone),
        header.link_address,
        header.member_address,
        sys.intern(header.state),
        admin_address=header.admin_address,
        link_level=header.link_level,
    )
