"""Time and bytes that a replaced node needs to learn the records of the fleet.

Two members are real: the joining node and one source of records. In a fleet, the
joining node sends each request to another peer; here the source replies in place
of all peers. Therefore the source has no effective byte cap, and only the joining
node's own cap and its request intervals limit the time.
"""

import msgspec

from balsamspindle.membership.directory import Directory
from balsamspindle.membership.member import TICK_S, Member
from balsamspindle.membership.transport import Route
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.wire import Ack, Ping, Sender, decode_member, encode_member
from bench.capacity import synthetic
from bench.capacity.sizes import LIMITS, LONG_RUN, FleetSize
from bench.capacity.slopes import fit_line
from tests.member_network import MemoryTransport, RecordedEvents

__all__ = ["JoinSimulation", "measure"]

NODE_COUNTS = (700, 1400, 2800, 5600)
JOIN_TIMEOUT_S = 3600.0
KNOWN_NODES_FRACTION = 0.999
UNCAPPED_BYTES_PER_S = 1e9
_decode_ping = msgspec.msgpack.Decoder(Ping).decode


def measure() -> dict[str, float]:
    """Return time and bytes of a join into the largest fleet, and the time's growth.

    The growth is given per 1,000 nodes of the fleet.
    """
    joins = [(nodes, JoinSimulation(LONG_RUN.scaled(nodes))) for nodes in NODE_COUNTS]
    times = [(nodes, join.run()) for nodes, join in joins]
    largest = joins[-1][1]
    return {
        "measured_nodes": NODE_COUNTS[-1],
        "known_s": times[-1][1],
        "known_s_per_1000_nodes": fit_line(times).slope * 1000,
        "received_bytes": largest.received_bytes,
        "sent_bytes": largest.joiner.budget.spent_bytes,
    }


class JoinSimulation:
    """The join of one node from one source, on a simulated clock."""

    def __init__(self, size: FleetSize) -> None:
        self.now_s = 1000.0
        self.received_bytes = 0
        self._nodes = size.nodes
        records = list(synthetic.node_records(size))
        self._peers = {
            record.member_address: Sender(
                record.node_id, record.incarnation, record.member_address
            )
            for record in records[1:]
        }
        self._source_address = records[1].member_address
        full_directory = Directory()
        for record in records:
            full_directory.update(record, self.now_s)
        self._joiner_frames: list[tuple[str, bytes]] = []
        self._source_frames: list[bytes] = []
        self._source = self._make_member(
            records[1], full_directory, UNCAPPED_BYTES_PER_S
        )
        self.directory = Directory()
        own = msgspec.structs.replace(records[0], backend_servers=())
        self.joiner = self._make_member(own, self.directory, LIMITS.control_bytes_per_s)

    def run(self) -> float:
        """Return the simulated seconds until the joiner knows 99.9 % of the nodes.

        Raises
        ------
        TimeoutError
            When the join takes longer than an hour.
        """
        start_s = self.now_s
        while len(self.directory.alive()) < KNOWN_NODES_FRACTION * self._nodes:
            if self.now_s - start_s > JOIN_TIMEOUT_S:
                raise TimeoutError(
                    f"{len(self.directory.alive())} nodes known at the time limit"
                )
            self.now_s += TICK_S
            self.joiner.tick(self.now_s)
            # A request and its reply arrive within one tick.
            for _ in range(3):
                self._deliver_frames()
        return self.now_s - start_s

    def _make_member(self, own, directory, bytes_per_s) -> Member:
        settings = NodeSettings(
            own.node_id,
            own.region,
            own.availability_zone,
            *[own.member_address] * 4,
            seed_addresses=(self._source_address,),
            member_bytes_per_s=bytes_per_s,
        )
        return Member(
            None,
            settings,
            msgspec.structs.replace(own, incarnation=own.incarnation + 1),
            directory,
            CurrentConfiguration(),
            lambda: own.backend_servers,
            RecordedEvents(),
            MemoryTransport(self, own.member_address),
            lambda: self.now_s,
        )

    def post(self, source: str, target: str, frame: bytes, opened: bool = False):
        """Queue a frame of the source or the joiner, in place of the network."""
        if source == self._source_address:
            self._source_frames.append(frame)
        else:
            self._joiner_frames.append((target, frame))

    def _deliver_frames(self) -> None:
        joiner_frames, self._joiner_frames = self._joiner_frames, []
        for address, frame in joiner_frames:
            self._deliver_to_peer(address, frame)
        source_frames, self._source_frames = self._source_frames, []
        for frame in source_frames:
            self._deliver_to_joiner(self._source_address, frame)

    def _deliver_to_peer(self, address: str, frame: bytes) -> None:
        envelope = decode_member(frame).ok
        if envelope.kind == "ping":
            # Acknowledge in place of the pinged peer. The ack carries no news, because
            # the joiner receives the records in pages.
            ack = Ack(_decode_ping(envelope.body).sequence)
            peer = self._peers[address]
            self._deliver_to_joiner(address, encode_member("ack", peer, ack))
        elif envelope.kind in ("sync_request", "pull", "page"):
            route = Route(routing_id=b"joiner")
            self._source.channel.receive_frame(route, frame, self.now_s)

    def _deliver_to_joiner(self, address: str, frame: bytes) -> None:
        self.received_bytes += len(frame)
        route = Route(routing_id=address.encode())
        self.joiner.channel.receive_frame(route, frame, self.now_s)
