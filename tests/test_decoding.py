"""The decoders of input from outside the process, and that nothing bypasses them."""

import ast
import inspect
import io
import json
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import balsamspindle
from balsamspindle.load.caller import answer_fault
from balsamspindle.membership.channel import Channel, Route
from balsamspindle.protocol.decoding import (
    DEPTH_MAX,
    MESSAGE_MAX_CHARACTERS,
    InputError,
    JsonDecoder,
    MsgpackDecoder,
    convert_input,
    decode_json,
)
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import Ping, Sender, encode_member
from balsamspindle.wire.codec import WIRE_VERSION, WireError, decode_link, decode_member
from tests.odd_inputs import ODD_BODIES

PACKAGE = Path(balsamspindle.__file__).parent
# The decoders themselves, and the reader of the product's own log lines, which decodes
# nothing but strings.
DECODING_MODULES = {"protocol/decoding.py", "timeline/events.py"}
DECODING_NAMES = {
    "msgspec": {"convert", "from_builtins", "yaml", "toml"},
    "json": {"decode", "Decoder", "load", "loads", "JSONDecoder"},
    "msgpack": {"decode", "Decoder", "unpackb", "loads"},
    "pickle": {"load", "loads"},
    "ast": {"literal_eval"},
}
MALFORMED = {
    "empty",
    "no JSON",
    "not UTF-8",
    "lone surrogate",
    "surrogate bytes",
    "byte order mark",
    "400 digits",
    "negative, 400 digits",
    "5,000 digits",
    "1e999",
    "NaN",
    "nested 65",
    "nested 900",
    "nested 3,000",
    "nested 20,000",
    "nested within a field",
    "nested within an unknown field",
}


def decoding_uses(source: str) -> list[str]:
    """Return the direct uses of decoders in a module's source."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute):
            owner = node.value
            name = owner.attr if isinstance(owner, ast.Attribute) else None
            name = owner.id if isinstance(owner, ast.Name) else name
            if node.attr in DECODING_NAMES.get(name, ()):
                found.append(f"{name}.{node.attr}, line {node.lineno}")
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            module = node.module.rpartition(".")[2]
            for alias in node.names:
                if alias.name in DECODING_NAMES.get(module, ()):
                    found.append(f"{module}.{alias.name}, line {node.lineno}")
    return found


def test_all_modules_decode_input_with_the_common_decoders():
    """Guards against a place that decodes input and handles only some failures."""
    uses = {
        name: decoding_uses(path.read_text())
        for path in PACKAGE.rglob("*.py")
        if (name := path.relative_to(PACKAGE).as_posix()) not in DECODING_MODULES
    }
    assert {name: found for name, found in uses.items() if found} == {}
    for source in (
        "import msgspec\nmsgspec.convert(a, int)",
        "import msgspec\nmsgspec.json.decode(a)",
        "d = msgspec.msgpack.Decoder(int)",
        "from msgspec import convert",
        "from msgspec.json import decode",
        "import json\njson.loads(a)",
    ):
        assert decoding_uses(source), source


def test_only_the_decoders_name_the_errors_of_libraries():
    """Guards against a list of errors that leaves out one way in which input fails."""
    names = ("MsgspecError", "ValidationError", "DecodeError", "RecursionError")
    named = {
        path.relative_to(PACKAGE).as_posix()
        for path in PACKAGE.rglob("*.py")
        if any(name in path.read_text() for name in names)
    }
    assert named <= DECODING_MODULES


@pytest.mark.parametrize("name", ODD_BODIES)
def test_odd_json_is_an_input_error_or_a_value_that_can_be_used(name):
    """Guards against input that ends the task that decodes it, or a later one."""
    body = ODD_BODIES[name]
    try:
        value = decode_json(body)
    except InputError as error:
        assert name in MALFORMED
        assert len(str(error)) <= MESSAGE_MAX_CHARACTERS + 3
        return
    assert name not in MALFORMED
    check_usable(value)


def check_usable(value) -> None:
    """Encode, print and compare a value on a stack with little room left."""
    limit = sys.getrecursionlimit()
    depth = len(inspect.stack())
    sys.setrecursionlimit(depth + 3 * DEPTH_MAX)
    try:
        msgspec.json.encode(value)
        msgspec.msgpack.encode(value)
        msgspec.to_builtins(value)
        repr(value)
        assert value == value
    finally:
        sys.setrecursionlimit(limit)


def test_the_deepest_value_can_be_used_on_a_deep_stack():
    """Guards against a value that is decoded on a shallow stack and fails later."""
    deepest = decode_json(b"[" * DEPTH_MAX + b"]" * DEPTH_MAX)
    check_usable(deepest)
    check_usable(decode_json(b'{"a": ' * 63 + b"[]" + b"}" * 63))
    for body in (b"[" * 65 + b"]" * 65, b'{"a": ' * 64 + b"[]" + b"}" * 64):
        with pytest.raises(InputError):
            decode_json(body)
        with pytest.raises(InputError):
            decode_json(body, dict[str, Any] if body[:1] == b"{" else list[Any])


_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=30,
)


class _Typed(msgspec.Struct):
    number: int = 0
    part: float = 0.0
    text: str = ""
    names: dict[str, Any] = {}


@settings(max_examples=300, deadline=None)
@given(value=_json_values, data=st.binary(max_size=200))
def test_any_bytes_and_values_give_an_input_error_or_a_value(value, data):
    """Guards against an error of a library that no caller handles."""
    text = json.dumps(value).encode()
    for body in (text, data, text[: len(text) // 2], text + data, b"\x81" + data):
        for kind in (Any, _Typed, dict[str, Any], list[int]):
            for decoder in (JsonDecoder(kind), MsgpackDecoder(kind)):
                try:
                    decoder.decode(body)
                except InputError:
                    continue
        for decode in (decode_link, decode_member):
            decode(WIRE_VERSION + body)
    for kind in (_Typed, int, list[str], dict[str, int]):
        try:
            convert_input(value, kind)
        except InputError:
            continue


def odd_msgpack() -> dict[str, bytes]:
    """Return MessagePack that no node sends."""
    return {
        "empty": b"",
        "unused code": b"\xc1",
        "truncated": b"\xdd\xff\xff\xff\xff",
        "not UTF-8": b"\x92\xa1a\xa1\xff",
        "nested 900": b"\x91" * 900 + b"\x90",
        "nested 20,000": b"\x91" * 20_000 + b"\x90",
        "unhashable key": b"\x81\x81\x01\x01\x01",
        "odd timestamp": b"\xd7\xff" + b"\xff" * 8,
        "NaN": b"\xcb\x7f\xf8" + b"\0" * 6,
        "null": b"\xc0",
        "map": b"\x80",
        "largest number": b"\xcf" + b"\xff" * 8,
        "long text": b"\xdb\x00\x00\x75\x30" + b"x" * 30_000,
        **{f"JSON: {name}": body for name, body in ODD_BODIES.items()},
    }


@pytest.mark.parametrize("name", odd_msgpack())
def test_odd_frames_are_errors_on_links_and_between_members(name):
    """Guards against a frame that ends the task of a link or of the members."""
    body = odd_msgpack()[name]
    for frame in (body, WIRE_VERSION + body, b"\x81" + body):
        assert isinstance(decode_link(frame), WireError)
        assert decode_member(frame).is_error()


def test_odd_messages_of_members_are_dropped_and_the_next_is_handled():
    """Guards against a message of a peer that ends the member task."""
    log = io.StringIO()
    events = EventLog("own", 1, HybridClock(), log)
    handled = []
    channel = Channel(None, lambda: Sender("own", 1, "10.0.0.1:80"), None, events)
    channel.register("ping", Ping, lambda peer, message, now_s: handled.append(message))
    peer = Sender("peer", 1, "10.0.0.2:80")
    for number, body in enumerate(odd_msgpack().values()):
        frame = encode_member("ping", peer, msgspec.Raw(body or b"\xc0"))
        channel.receive_frame(Route(address="10.0.0.2:80"), frame, 10.0 * number)
    assert handled == []
    events.flush()
    assert max(map(len, log.getvalue().splitlines())) < 1000
    frame = encode_member("ping", peer, Ping(1))
    channel.receive_frame(Route(address="10.0.0.2:80"), frame, 0.0)
    assert len(handled) == 1


def test_an_odd_answer_is_a_fragment():
    """Guards against an answer that ends a load generator."""
    for body in (b"", b"[]", b"[" * 20_000, b"7"):
        assert answer_fault(None, "/", body) == "fragment"
