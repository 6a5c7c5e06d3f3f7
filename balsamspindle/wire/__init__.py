"""Messages between nodes and their codec."""

from balsamspindle.wire.codec import (
    WireError,
    checksum,
    decode_link,
    decode_member,
    encode,
    encode_member,
)
from balsamspindle.wire.link_messages import (
    AttemptId,
    Cancel,
    Dispatch,
    LinkMessage,
    Reply,
)
from balsamspindle.wire.member_messages import (
    BackendServerRecord,
    Envelope,
    Hello,
    NodeRecord,
    Sender,
    SettingsRequest,
    SettingsSnapshot,
)

__all__ = [
    "AttemptId",
    "BackendServerRecord",
    "Cancel",
    "Dispatch",
    "Envelope",
    "Hello",
    "LinkMessage",
    "NodeRecord",
    "Reply",
    "Sender",
    "SettingsRequest",
    "SettingsSnapshot",
    "WireError",
    "checksum",
    "decode_link",
    "decode_member",
    "encode",
    "encode_member",
]
