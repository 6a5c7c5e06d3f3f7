"""Decoders for all input from outside the process.

Rows of the store, messages of peers, announcements, files and answers may have been
written by other programs, by other releases, or damaged. Every decoder here raises
`InputError` for input that it can't use, whatever is wrong with the input: its syntax,
its types, its depth, a number out of range, or text that is not UTF-8. Code that
decodes input handles that one error.

A value that is returned can be encoded again, compared, hashed and printed. Otherwise
an odd value would fail later, in the task that sends it to a peer.
"""

from functools import lru_cache
from typing import Any, Generic, TypeVar

import msgspec

__all__ = [
    "DEPTH_MAX",
    "INPUT_FAILURES",
    "InputError",
    "JsonDecoder",
    "MsgpackDecoder",
    "convert_input",
    "decode_json",
    "shorten",
]

# Levels of nesting of lists and maps without a type. Documents have fewer than 10. A
# value near the interpreter's recursion limit could be decoded here, and would fail in
# a task whose stack is already deeper.
DEPTH_MAX = 64
# An error may quote its input, which may be megabytes, and is written to the log.
MESSAGE_MAX_CHARACTERS = 200
DECODERS_MAX = 100

# `UnicodeError` is a `ValueError`. msgspec raises `RecursionError` for deep nesting and
# `OverflowError` for numbers above 64 bits.
INPUT_FAILURES = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)

T = TypeVar("T")


class InputError(ValueError):
    """Input from outside the process can't be used."""

    def __init__(self, message: str) -> None:
        super().__init__(shorten(message))


class JsonDecoder(Generic[T]):
    """Decodes JSON as one type."""

    def __init__(self, kind: type[T]) -> None:
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, body: bytes) -> T:
        """Return the decoded value.

        Raises
        ------
        InputError
        """
        try:
            # msgspec does not check the text of fields that the type does not have.
            body.decode()
            value = self._decoder.decode(body)
            _check_depth(value)
            # JSON has numbers of any size; MessagePack rejects those above 64 bits.
            msgspec.msgpack.encode(value)
        except INPUT_FAILURES as error:
            raise InputError(str(error)) from None
        return value


class MsgpackDecoder(Generic[T]):
    """Decodes MessagePack as one type that contains no untyped values.

    Attributes
    ----------
    decode_unguarded : callable
        Like `decode`, but raises one of `INPUT_FAILURES`. For messages on links: a call
        more takes a twentieth of the time of their decoding.
    """

    def __init__(self, kind: type[T]) -> None:
        self.decode_unguarded = msgspec.msgpack.Decoder(kind).decode

    def decode(self, body: bytes) -> T:
        """Return the decoded value.

        Raises
        ------
        InputError
        """
        try:
            return self.decode_unguarded(body)
        except INPUT_FAILURES as error:
            raise InputError(str(error)) from None


_json_decoder = lru_cache(DECODERS_MAX)(JsonDecoder)


def decode_json(body: bytes, kind: Any = Any) -> Any:
    """Decode JSON as a type, or as any value of limited depth.

    Raises
    ------
    InputError
    """
    return _json_decoder(kind).decode(body)


def convert_input(value: Any, kind: Any) -> Any:
    """Convert a decoded value to a type.

    Raises
    ------
    InputError
    """
    try:
        return msgspec.convert(value, kind)
    except INPUT_FAILURES as error:
        raise InputError(str(error)) from None


def shorten(text: str) -> str:
    """Return a text, cut after `MESSAGE_MAX_CHARACTERS`."""
    if len(text) <= MESSAGE_MAX_CHARACTERS:
        return text
    return f"{text[:MESSAGE_MAX_CHARACTERS]}..."


def _check_depth(value: Any) -> None:
    """Reject lists and maps that are nested too deeply; types bound all others."""
    if not isinstance(value, (dict, list)):
        return
    level = [value]
    for _ in range(DEPTH_MAX):
        level = [
            item
            for container in level
            if isinstance(container, (dict, list))
            for item in (
                container.values() if isinstance(container, dict) else container
            )
            if isinstance(item, (dict, list))
        ]
        if not level:
            return
    raise InputError(f"nested more than {DEPTH_MAX} levels deep")
