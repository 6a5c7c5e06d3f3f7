"""How the platform writes times, versions, bytes and bounds.

Every decoder raises `PlatformFormatError` with the text that it could not
read: a value that was taken for zero would put a limit or a timeout in force
that nobody set.
"""

import base64
import binascii
import re

import msgspec

__all__ = [
    "PlatformFormatError",
    "bound_values",
    "decode_value",
    "encode_value",
    "parse_duration_ms",
    "parse_version",
]

_duration = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)").fullmatch
_version = re.compile(r"[0-9a-f]{1,16}", re.IGNORECASE).fullmatch
_UNIT_MS = {"ms": 1.0, "s": 1000.0}


class PlatformFormatError(ValueError):
    """Something of the platform is not written as agreed."""


def parse_duration_ms(text: str) -> float:
    """Return the milliseconds of a time such as ``1500ms`` or ``2.5s``."""
    found = _duration(text) if isinstance(text, str) else None
    if found is None:
        raise PlatformFormatError(f"{text!r} is no time: expected 1500ms or 2.5s")
    return float(found[1]) * _UNIT_MS[found[2]]


def parse_version(text: str) -> int:
    """Return the number of a configuration's version, in hexadecimal digits."""
    if not isinstance(text, str) or not _version(text):
        raise PlatformFormatError(f"{text!r} is no version: expected 0000000c")
    return int(text, 16)


def bound_values(bounds: list[str]) -> dict[str, str]:
    """Return the settings' bounds, ``name=value`` each, by name."""
    values: dict[str, str] = {}
    for bound in bounds:
        name, separator, value = bound.partition("=")
        if not separator:
            raise PlatformFormatError(f"{bound!r} is no bound: expected name=value")
        values[name] = value
    return values


def encode_value(value: object) -> str:
    """Return a row's value as the store keeps it: JSON in base64."""
    return base64.b64encode(msgspec.json.encode(value)).decode()


def decode_value(text: str) -> bytes:
    """Return the bytes of a row's value."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise PlatformFormatError(f"a row's value is not base64: {error}") from None
