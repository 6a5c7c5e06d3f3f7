"""Encodes and decodes messages, with a version byte and a size limit."""

import zlib
from typing import Any

import msgspec
import xxhash
from expression import Error, Ok, Result

from balsamspindle.protocol.decoding import INPUT_FAILURES, MsgpackDecoder, shorten
from balsamspindle.wire.link_messages import LinkMessage
from balsamspindle.wire.member_messages import Envelope, Sender

__all__ = [
    "LINK_MESSAGE_MAX_BYTES",
    "MEMBER_MESSAGE_MAX_BYTES",
    "WIRE_VERSION",
    "WireError",
    "checksum",
    "decode_link",
    "decode_member",
    "encode",
    "encode_member",
]

WIRE_VERSION = b"\x01"
# Version byte of frames with a deflated payload. After it is inflated, the payload is
# the same as in a frame of `WIRE_VERSION`.
WIRE_VERSION_DEFLATED = b"\x81"
DEFLATE_ABOVE_BYTES = 512
DEFLATE_LEVEL = 1
LINK_MESSAGE_MAX_BYTES = 9 * 1024 * 1024
MEMBER_MESSAGE_MAX_BYTES = 4 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decode_link_message = MsgpackDecoder(LinkMessage).decode_unguarded
_decode_envelope = MsgpackDecoder(Envelope).decode_unguarded


class WireError(msgspec.Struct, frozen=True):
    """Why a frame was rejected: malformed, too large, or of another version."""

    message: str


def checksum(body: bytes) -> int:
    """Return the xxh3_64 hash of a body.

    Both ends of a link compute the hash, to detect a damaged body.
    """
    return xxhash.xxh3_64_intdigest(body)


def encode(message: Any) -> bytes:
    """Encode a message as a version byte followed by MessagePack."""
    return WIRE_VERSION + _encoder.encode(message)


def decode_link(frame: bytes) -> LinkMessage | WireError:
    """Decode a message that arrived on a link.

    The message or error is not wrapped in a `Result`: wrapping each message would
    take a twentieth of a gate's processing time.
    """
    return _decode_frame(frame, _decode_link_message, LINK_MESSAGE_MAX_BYTES)


def encode_member(kind: str, sender: Sender, message: Any) -> bytes:
    """Encode a member message in an envelope; deflate the envelope if it is large."""
    body = msgspec.Raw(_encoder.encode(message))
    payload = _encoder.encode(Envelope(kind, sender, body))
    if len(payload) <= DEFLATE_ABOVE_BYTES:
        return WIRE_VERSION + payload
    return WIRE_VERSION_DEFLATED + zlib.compress(payload, DEFLATE_LEVEL)


def decode_member(frame: bytes) -> Result[Envelope, WireError]:
    """Decode the envelope of a member message; its body stays encoded."""
    if frame[:1] == WIRE_VERSION_DEFLATED and len(frame) <= MEMBER_MESSAGE_MAX_BYTES:
        return _inflate(frame[1:]).bind(
            lambda payload: _decode_result(
                WIRE_VERSION + payload, _decode_envelope, MEMBER_MESSAGE_MAX_BYTES
            )
        )
    return _decode_result(frame, _decode_envelope, MEMBER_MESSAGE_MAX_BYTES)


def _inflate(deflated: bytes) -> Result[bytes, WireError]:
    # A few bytes can inflate to gigabytes. Without a limit, a frame from an
    # untrusted sender could exhaust the memory of this process.
    inflater = zlib.decompressobj()
    try:
        payload = inflater.decompress(deflated, MEMBER_MESSAGE_MAX_BYTES)
    except zlib.error as error:
        return Error(WireError(f"can't inflate frame: {error}"))
    if not inflater.eof:
        return Error(WireError("deflated frame is truncated or too large"))
    return Ok(payload)


def _decode_result(frame, decode, max_bytes):
    message = _decode_frame(frame, decode, max_bytes)
    return Error(message) if isinstance(message, WireError) else Ok(message)


def _decode_frame(frame, decode, max_bytes):
    if len(frame) > max_bytes:
        return WireError(
            f"frame of {len(frame)} bytes exceeds the limit of {max_bytes}"
        )
    if frame[:1] != WIRE_VERSION:
        return WireError(f"wire version {frame[:1]!r} is not {WIRE_VERSION!r}")
    try:
        return decode(memoryview(frame)[1:])
    except INPUT_FAILURES as error:
        return WireError(shorten(str(error)))
