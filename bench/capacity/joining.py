"""Time and bytes until a joining node has the records of nearly all nodes.

The bench runs two members: the joiner, and a source that has all records. In a fleet,
the joiner sends each request to a different peer. In this bench, the source answers the
requests to all peers. Its byte cap is set too high to have an effect, so that only the
byte cap of the joiner and the intervals between its requests limit the time.
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
    """Return time and bytes of a join, and the additional time per 1,000 nodes.

    Time and bytes are those of the largest fleet in `NODE_COUNTS`.
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
    """A node that joins a fleet and receives all records, on a simulated clock."""

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
        """Return the simulated seconds until the joiner has 99.9 % of the records.

        Raises
        ------
        TimeoutError
            When this takes more than a simulated hour.
        """
        start_s = self.now_s
        while len(self.directory.alive()) < KNOWN_NODES_FRACTION * self._nodes:
            if self.now_s - start_s > JOIN_TIMEOUT_S:
                raise TimeoutError(
                    f"{len(self.directory.alive())} nodes known at the time limit"
                )
            self.now_s += TICK_S
            self.joiner.tick(self.now_s)
            # Deliver several times, so that the reply to a request arrives within the
            # same tick.
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
        """Queue a frame that the source or the joiner sends."""
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
            # Only one peer, the source, is simulated as a member. The ack to each ping
            # is therefore created here, whichever peer the ping was sent to. An ack
            # contains no news, because the joiner receives the records in pages.
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
