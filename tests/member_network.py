"""Several real `Member` objects in one process, on a simulated clock.

Only the transport is simulated: a sent frame is queued, and delivered after
`LATENCY_S`. Connections can be cut in one direction.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable

from balsamspindle.membership.directory import Directory
from balsamspindle.membership.member import TICK_S, Member
from balsamspindle.membership.transport import (
    CONNECT_OVERHEAD_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    Route,
    Transport,
)
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.wire import BackendServerRecord

LATENCY_S = 0.0015
OPEN_CONNECTIONS = 64
FIRST_INCARNATION = 1_000


class FixedClock:
    """A clock that always returns the same time.

    Frames contain a time, and their compressed size depends on this time. The members
    limit the bytes that they send. With the real clock, the sizes of the frames would
    differ from run to run, and the members would send different frames in each run.
    """

    ignored_count = 0

    def tick(self, wall_s: float) -> int:
        return 1 << 57

    def observe(self, remote: int, wall_s: float) -> int:
        return remote


class RecordedEvents:
    """Records events in memory, in place of an `EventLog`."""

    def __init__(self) -> None:
        self.clock = FixedClock()
        self.emitted: list[tuple[str, dict]] = []
        self.counts: Counter[str] = Counter()

    def emit(self, event: str, **fields) -> int:
        self.counts[event] += 1
        self.emitted.append((event, fields))
        return 0


class MemoryTransport(Transport):
    """The transport of one member of a `MemberNetwork`."""

    def __init__(self, network: "MemberNetwork", address: str) -> None:
        self._network = network
        self.address = address
        self._open: dict[str, None] = {}
        # Takes an address; returns whether frames that this member sends on its own
        # connection to that address are delivered.
        self.can_connect: Callable[[str], bool] = lambda address: True
        self.received_bytes = 0

    def cost_bytes(self, address, size_bytes):
        connect_bytes = 0
        if address and address not in self._open:
            connect_bytes = CONNECT_OVERHEAD_BYTES
        return size_bytes + MESSAGE_OVERHEAD_BYTES + connect_bytes

    def send(self, address, frame):
        self._open.pop(address, None)
        self._open[address] = None
        if len(self._open) > OPEN_CONNECTIONS:
            self._open.pop(next(iter(self._open)))
        if self.can_connect(address):
            self._network.post(self.address, address, frame)
        return True

    def answer(self, route, frame):
        self._network.post(self.address, route.routing_id.decode(), frame)
        return True

    def receive(self, wait_s):
        return []

    def disconnect(self, address):
        self._open.pop(address, None)

    def wake(self):
        pass

    def close(self):
        pass


class FakeNode:
    """A real `Member` with its directory and events, and simulated backend servers."""

    def __init__(self, network, number, zone, region, incarnation, **settings):
        self.number = number
        self.node_id = f"node-{number:05d}"
        self.address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000"
        self.servers: tuple[BackendServerRecord, ...] = ()
        self.directory = Directory()
        self.events = RecordedEvents()
        self.configuration = CurrentConfiguration()
        self.transport = MemoryTransport(network, self.address)
        self.transport.can_connect = lambda address: network.can_connect(self, address)
        self.running = True
        self.settings = NodeSettings(
            self.node_id,
            region,
            zone,
            "127.0.0.1:1",
            self.address,
            self.address,
            "127.0.0.1:2",
            **settings,
        )
        self.member = Member(
            None,
            self.settings,
            self.settings.own_record(incarnation),
            self.directory,
            self.configuration,
            lambda: self.servers,
            self.events,
            self.transport,
            lambda: network.now_s,
        )

    def alive(self) -> set[str]:
        """Return the ids of the nodes that are alive in this node's directory."""
        return {record.node_id for record in self.directory.alive()}

    def set_servers(self, count: int, services: int = 50, boot_id: str = "1") -> None:
        """Replace this node's backend servers by `count` new ones."""
        self.servers = tuple(
            BackendServerRecord(
                f"server-{self.number:05d}-{one:02d}",
                f"team/service-{(self.number * 7 + one) % services:04d}",
                boot_id,
                6,
                "ready",
            )
            for one in range(count)
        )

    def knows_servers(self, boot_id: str, other: "FakeNode") -> bool:
        """Return whether this node's directory has all backend servers of node `other`.

        Each of them must have the given boot id. If the directory lacks the node or has
        it as dead, the result is whether `other` has no backend servers.
        """
        view = self.directory.view(other.node_id)
        if view is None or view.is_dead:
            return not other.servers
        known = {s.backend_server_id: s for s in view.full_record().backend_servers}
        return all(
            known.get(one.backend_server_id, one._replace(boot_id="")).boot_id
            == boot_id
            for one in other.servers
        )


class MemberNetwork:
    """Delivers frames between nodes and advances the simulated clock."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self.nodes: dict[str, FakeNode] = {}
        self.delivers: Callable[[FakeNode, FakeNode], bool] = lambda source, target: (
            True
        )
        # Takes two nodes; returns whether frames from the source are delivered on a
        # connection that the source itself opened. `delivers` decides for all frames.
        self.allows_connection: Callable[[FakeNode, FakeNode], bool] = (
            lambda source, target: True
        )
        self._pending: list = []
        self._sequence = itertools.count()
        self.frames = 0

    def add(
        self, number, zone="zone-1", region="test", seeds=(), **options
    ) -> FakeNode:
        """Start a node; it replaces a node that has the same number."""
        incarnation = options.pop("incarnation", FIRST_INCARNATION)
        options["seed_addresses"] = tuple(node.address for node in seeds)
        node = FakeNode(self, number, zone, region, incarnation, **options)
        self.nodes[node.address] = node
        # Nodes tick at different times within `TICK_S`.
        self._schedule(self.now_s + TICK_S * ((number * 37 % 100) / 100), node, None)
        return node

    def add_many(self, count, zones=3, **options) -> list[FakeNode]:
        """Start nodes in turn; each has up to three seeds, the first started nodes."""
        nodes: list[FakeNode] = []
        for number in range(count):
            zone = f"zone-{number % zones}"
            nodes.append(self.add(number, zone, seeds=nodes[:3], **options))
        return nodes

    def introduce(self, nodes) -> None:
        """Add the nodes to each other's directories without sending messages."""
        records = [node.member.state.own.full_news() for node in nodes]
        for node in nodes:
            for record in records:
                node.directory.apply(record, self.now_s)

    def can_connect(self, source: FakeNode, address: str) -> bool:
        """Return whether frames on a node's own connection to an address arrive."""
        target = self.nodes.get(address)
        return target is None or self.allows_connection(source, target)

    def post(self, source: str, target: str, frame: bytes) -> None:
        """Queue a frame for delivery unless the link is cut or the target is down."""
        self.frames += 1
        source_node, target_node = self.nodes.get(source), self.nodes.get(target)
        if (
            source_node is None
            or target_node is None
            or not self.delivers(source_node, target_node)
        ):
            return
        self._schedule(self.now_s + LATENCY_S, target_node, (source, frame))

    def run(self, duration_s: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the clock by `duration_s`, or until `until` returns True.

        `until` is called once in each tick. Returns whether it returned True.
        """
        end_s = self.now_s + duration_s
        next_check_s = self.now_s
        while self._pending and self._pending[0][0] <= end_s:
            at_s, _, node, delivery = heapq.heappop(self._pending)
            self.now_s = max(self.now_s, at_s)
            self._step(node, delivery)
            if until is not None and self.now_s >= next_check_s:
                next_check_s = self.now_s + TICK_S
                if until():
                    return True
        self.now_s = end_s
        return until is not None and until()

    def pause(self, node: FakeNode) -> None:
        """Suspend a node; frames to the node are delivered after `resume`."""
        node.running = False

    def resume(self, node: FakeNode) -> None:
        """Resume a suspended node."""
        node.running = True

    def kill(self, node: FakeNode) -> None:
        """Remove a node without notice to the others; frames to it are lost."""
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def _step(self, node: FakeNode, delivery) -> None:
        if self.nodes.get(node.address) is not node:
            return
        if not node.running:
            self._schedule(self.now_s + TICK_S, node, delivery)
            return
        if delivery is None:
            node.member.tick(self.now_s)
            self._schedule(self.now_s + TICK_S, node, None)
            return
        source, frame = delivery
        node.transport.received_bytes += len(frame) + MESSAGE_OVERHEAD_BYTES
        route = Route(routing_id=source.encode())
        node.member.channel.receive_frame(route, frame, self.now_s)

    def _schedule(self, at_s: float, node: FakeNode, delivery) -> None:
        heapq.heappush(self._pending, (at_s, next(self._sequence), node, delivery))


def count_events(nodes, event: str) -> int:
    """Return how often these nodes together emitted an event."""
    return sum(node.events.counts[event] for node in nodes)
