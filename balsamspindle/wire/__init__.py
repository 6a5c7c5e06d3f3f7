"""Messages between nodes and their codec."""

from balsamspindle.wire.codec import (
    WireError,
    checksum,
    decode_link,
    decode_member,
    encode,
)
from balsamspindle.wire.link_messages import (
    AttemptId,
    Cancel,
    Claim,
    Dispatch,
    Greet,
    Greeting,
    LinkMessage,
    Reply,
)
from balsamspindle.wire.member_messages import (
    BackendServerRecord,
    Hello,
    MemberMessage,
    NodeRecord,
    SettingsRequest,
    SettingsSnapshot,
)

__all__ = [
    "AttemptId",
    "BackendServerRecord",
    "Cancel",
    "Claim",
    "Dispatch",
    "Greet",
    "Greeting",
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
