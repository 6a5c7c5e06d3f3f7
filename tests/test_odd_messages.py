"""Messages of peers whose values have valid types, and that no node sends."""

import math
import time
from itertools import product
from typing import Any

import pytest
import zmq
from msgspec import inspect

from balsamspindle.membership.transport import Route
from balsamspindle.node.process import NodeProcess
from balsamspindle.settings.process import NodeSettings
from balsamspindle.tables.eras import ERA_MAX, StoreEras
from balsamspindle.wire import Sender, encode_member
from tests.platform_fleet import PlatformFleet
from tests.settings_probes import configuration
from tests.utils import call, free_address, wait_until

ODD_INTEGERS = (0, -1, 1, 2**31, 2**53, 2**63, 2**64 - 1, -(2**63))
ODD_FLOATS = (math.nan, math.inf, -math.inf, 1e308, -1.0, 0.0)
ODD_TEXTS = ("", "x" * 1000, "\0", "٣", "a b", "10.0.0.1:0")
ITEMS = 2


def odd_value(kind: Any, number: int, part: float, text: str) -> Any:
    """Return MessagePack values of a type, whose leaves are odd where it allows."""

    def build(inner):
        return odd_value(inner, number, part, text)

    match kind:
        case inspect.IntType(ge=low, le=high):
            return min(max(number, low or number), high or number)
        case inspect.FloatType():
            return part
        case inspect.StrType(pattern=str()):
            return "10.0.0.9:9"
        case inspect.StrType(min_length=low, max_length=high):
            return (text or "x" * (low or 0))[:high]
        case inspect.BoolType():
            return True
        case inspect.BytesType():
            return text.encode()
        case inspect.EnumType(cls=cls):
            return next(iter(cls)).value
        case inspect.LiteralType(values=values):
            return values[0]
        case inspect.NoneType():
            return None
        case inspect.DictType(key_type=key, value_type=value):
            return {build(key): build(value)}
        case (
            inspect.VarTupleType(item_type=item, max_length=high)
            | inspect.ListType(item_type=item, max_length=high)
        ):
            return [build(item)] * min(ITEMS, high or ITEMS)
        case inspect.TupleType(item_types=items):
            return [build(item) for item in items]
        case inspect.NamedTupleType(fields=fields):
            return [build(field.type) for field in fields]
        case inspect.StructType(fields=fields, array_like=True, tag=tag):
            return [tag] * (tag is not None) + [build(field.type) for field in fields]
        case inspect.StructType(fields=fields, tag=tag, tag_field=name):
            value = {field.encode_name: build(field.type) for field in fields}
            return value | ({name: tag} if tag is not None else {})
        case inspect.UnionType(types=types):
            return build(next(one for one in types if one != inspect.NoneType()))
        case inspect.RawType():
            return []
    raise AssertionError(kind)


@pytest.fixture(scope="module")
def node():
    addresses = {
        name: free_address()
        for name in (
            "caller_address",
            "link_address",
            "member_address",
            "admin_address",
        )
    }
    process = NodeProcess(
        NodeSettings(node_id="own", region="r", availability_zone="z", **addresses)
    )
    yield process
    process.stop()


def message_types(node):
    return {
        kind: message_type
        for message_type, kind in node._member.channel._kinds_by_type.items()
    }


def odd_frames(node):
    """Yield frames of all kinds, from a peer, with each combination of odd leaves."""
    kinds = message_types(node)
    assert len(kinds) > 15
    senders = (Sender("peer", 2**53, "10.0.0.9:9"), Sender("p", 1, "10.0.0.8:9"))
    for leaves in product(ODD_INTEGERS, ODD_FLOATS, ODD_TEXTS):
        for kind, message_type in kinds.items():
            body = odd_value(inspect.type_info(message_type), *leaves)
            for sender in senders:
                yield kind, leaves, encode_member(kind, sender, body)


def test_odd_messages_of_peers_raise_nothing(node):
    """Guards against a peer's message that ends the member task of a node."""
    channel = node._member.channel
    failures = {}
    for kind, leaves, frame in odd_frames(node):
        try:
            channel.receive_frame(Route(address="10.0.0.9:9"), frame, 100.0)
        except Exception as error:
            failures.setdefault((kind, repr(error)[:150]), leaves)
    assert failures == {}
    # Most are of valid types, and reach their handlers.
    assert channel.counts["received"] > channel.counts["dropped_garbage"]


def test_a_node_goes_on_after_odd_messages_of_peers(node):
    """Guards against values that end a task of the node later than their arrival."""
    with PlatformFleet() as fleet:
        fleet.put_configuration(configuration(1, 1))
        [other] = fleet.start_nodes(1)
        wait_until(lambda: other.revision() >= 1, "the node has settings")
        host, _, port = other.admin_address.rpartition(":")
        context = zmq.Context()
        socket = context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.connect(f"tcp://{host}:{int(port) - 1}")
        for number, (_, _, frame) in enumerate(odd_frames(node)):
            socket.send(frame)
            if number % 500 == 0:
                time.sleep(0.05)
        # Tasks that pass the values on run each second.
        time.sleep(4.0)
        context.destroy(linger=0)
        assert other.process.poll() is None
        assert call(other.admin_address, "/status").status == 200
        assert call(other.admin_address, "/metrics").status == 200
        fleet.put_configuration(configuration(2, 1))
        wait_until(lambda: other.revision() >= 2, "the node follows the settings")
        log = other.log_path.read_text()
        assert "Traceback" not in log
        assert "event=task_failed" not in log


@pytest.mark.parametrize(
    "text", ["9" * 5000, "9" * 400, str(ERA_MAX + 1), "-1", "1.5", "", "NaN"]
)
def test_an_odd_era_in_an_answer_of_the_store_is_not_believed(text):
    """Guards against an era that ends the calling task, or hides all later answers."""
    causes = []
    eras = StoreEras(on_invalid=causes.append)
    assert eras.record_answer("3") == 3
    assert eras.record_answer(text) is None
    assert len(causes) == 1 and len(causes[0]) < 200
    assert eras.record_answer("3") == 3
