"""Decoders of the platform's durations, versions, bytes and bounds.

Every decoder raises `PlatformFormatError` for invalid text, with the text in the
message, and never returns a default value instead. A default of zero, for example,
would put a limit or a timeout in force that the operator did not set.
"""

import base64
import binascii
import re

import msgspec

from balsamspindle.protocol.decoding import InputError

__all__ = [
    "PlatformFormatError",
    "parse_bounds",
    "decode_value",
    "encode_value",
    "parse_duration_ms",
    "parse_version",
]

# Waits and timers can't be longer than some centuries; no timeout is a year.
DURATION_MAX_MS = 10 * 365 * 86_400_000.0

_duration = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)").fullmatch
_version = re.compile(r"[0-9a-f]{1,16}", re.IGNORECASE).fullmatch
_UNIT_MS = {"ms": 1.0, "s": 1000.0}


class PlatformFormatError(InputError):
    """A value from the platform does not have the agreed format."""


def parse_duration_ms(text: str) -> float:
    """Return the milliseconds of a duration such as ``1500ms`` or ``2.5s``."""
    found = _duration(text) if isinstance(text, str) else None
    if found is None:
        raise PlatformFormatError(f"{text!r} is no time: expected 1500ms or 2.5s")
    duration_ms = float(found[1]) * _UNIT_MS[found[2]]
    if duration_ms > DURATION_MAX_MS:
        raise PlatformFormatError(f"{text!r} exceeds {DURATION_MAX_MS:.0f} ms")
    return duration_ms


def parse_version(text: str) -> int:
    """Return a configuration's version, written in hexadecimal digits, as a number."""
    if not isinstance(text, str) or not _version(text):
        raise PlatformFormatError(
            f"invalid version {text!r}: expected hexadecimal digits, such as 0000000c"
        )
    return int(text, 16)


def parse_bounds(bounds: list[str]) -> dict[str, str]:
    """Return the values of bounds of the form ``name=value``, by name."""
    values: dict[str, str] = {}
    for bound in bounds:
        name, separator, value = bound.partition("=")
        if not separator:
            raise PlatformFormatError(f"invalid bound {bound!r}: expected name=value")
        values[name] = value
    return values


def encode_value(value: object) -> str:
    """Encode a row's value in the format of the store: JSON in base64."""
    return base64.b64encode(msgspec.json.encode(value)).decode()


def decode_value(text: str) -> bytes:
    """Decode the base64 text of a row's value."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise PlatformFormatError(
            f"the row's value is not valid base64: {error}"
        ) from None
