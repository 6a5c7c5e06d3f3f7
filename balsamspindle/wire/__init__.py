"""Messages between nodes and their codec."""

from balsamspindle.wire.codec import (
    WireError,
    checksum,
    decode_link,
    decode_member,
    encode,
)
from balsamspindle.wire.messages import (
    AttemptId,
    BackendServerRecord,
    Cancel,
    Dispatch,
    Hello,
    LinkMessage,
    MemberMessage,
    NodeRecord,
    Reply,
    SettingsRequest,
    SettingsSnapshot,
)

__all__ = [
    "AttemptId",
    "BackendServerRecord",
    "Cancel",
    "Dispatch",
    "Hello",
    "LinkMessage",
    "MemberMessage",
    "NodeRecord",
    "Reply",
    "SettingsRequest",
    "SettingsSnapshot",
    "WireError",
    "checksum",
    "decode_link",
    "decode_member",
    "encode",
]
