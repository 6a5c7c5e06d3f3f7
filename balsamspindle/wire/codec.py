"""Bytes from messages and back, with a version byte and a size bound."""

from typing import Any

import msgspec
import xxhash
from expression import Error, Ok, Result

from balsamspindle.wire.link_messages import LinkMessage
from balsamspindle.wire.member_messages import MemberMessage

__all__ = [
    "LINK_MESSAGE_MAX_BYTES",
    "MEMBER_MESSAGE_MAX_BYTES",
    "WIRE_VERSION",
    "WireError",
    "checksum",
    "decode_link",
    "decode_member",
    "encode",
]

WIRE_VERSION = b"\x01"
LINK_MESSAGE_MAX_BYTES = 9 * 1024 * 1024
MEMBER_MESSAGE_MAX_BYTES = 4 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_link_decoder = msgspec.msgpack.Decoder(LinkMessage)
_member_decoder = msgspec.msgpack.Decoder(MemberMessage)


class WireError(msgspec.Struct, frozen=True):
    """A message that can't be taken: garbage, too large, another version."""

    message: str


def checksum(body: bytes) -> int:
    """Return the xxh3_64 of a body, as both ends of a link compute it."""
    return xxhash.xxh3_64_intdigest(body)


def encode(message: Any) -> bytes:
    """Return a message as one version byte and MessagePack."""
    return WIRE_VERSION + _encoder.encode(message)


def decode_link(frame: bytes) -> Result[LinkMessage, WireError]:
    """Decode a message of the request path."""
    return _decode(frame, _link_decoder, LINK_MESSAGE_MAX_BYTES)


def decode_member(frame: bytes) -> Result[MemberMessage, WireError]:
    """Decode a message between members."""
    return _decode(frame, _member_decoder, MEMBER_MESSAGE_MAX_BYTES)


def _decode(frame, decoder, max_bytes):
    if len(frame) > max_bytes:
        return Error(WireError(f"{len(frame)} bytes are over {max_bytes}"))
    if frame[:1] != WIRE_VERSION:
        return Error(WireError(f"version {frame[:1]!r} is not {WIRE_VERSION!r}"))
    try:
        return Ok(decoder.decode(memoryview(frame)[1:]))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(WireError(str(error)))
