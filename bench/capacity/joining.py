"""How long a replaced node takes to know the fleet, and what that costs.

The joiner and one source are real members; the source stands for all peers,
since a joiner asks another one each time. So its byte cap is lifted: the time
is what the joiner's own cap and pace allow.
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

__all__ = ["Join", "measure"]

NODES = (700, 1400, 2800, 5600)
GIVE_UP_S = 3600.0
KNOWN_SHARE = 0.999
UNCAPPED_BYTES_PER_S = 1e9
_decode_ping = msgspec.msgpack.Decoder(Ping).decode


def measure() -> dict[str, float]:
    """Return time and bytes of a join, from its slopes."""
    joins = [(nodes, Join(LONG_RUN.scaled(nodes))) for nodes in NODES]
    times = [(nodes, join.run()) for nodes, join in joins]
    largest = joins[-1][1]
    return {
        "measured_nodes": NODES[-1],
        "known_s": times[-1][1],
        "known_s_per_1000_nodes": fit_line(times).slope * 1000,
        "received_bytes": largest.received_bytes,
        "sent_bytes": largest.joiner.budget.spent_bytes,
    }


class Join:
    """One joiner before one source, on a clock of their own."""

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
        full = Directory()
        for record in records:
            full.update(record, self.now_s)
        self._asked: list[tuple[str, bytes]] = []
        self._answered: list[bytes] = []
        self._source = self._member(records[1], full, UNCAPPED_BYTES_PER_S)
        self.directory = Directory()
        own = msgspec.structs.replace(records[0], backend_servers=())
        self.joiner = self._member(own, self.directory, LIMITS.control_bytes_per_s)

    def run(self) -> float:
        """Return the time until the joiner knows nearly all of the fleet."""
        start_s = self.now_s
        while len(self.directory.alive()) < KNOWN_SHARE * self._nodes:
            if self.now_s - start_s > GIVE_UP_S:
                raise TimeoutError(f"{len(self.directory.alive())} nodes known")
            self.now_s += TICK_S
            self.joiner.tick(self.now_s)
            # A question and its answer take less than a tick.
            for _ in range(3):
                self._carry()
        return self.now_s - start_s

    def _member(self, own, directory, bytes_per_s) -> Member:
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
        """Take what one of the two sends."""
        if source == self._source_address:
            self._answered.append(frame)
        else:
            self._asked.append((target, frame))

    def _carry(self) -> None:
        asked, self._asked = self._asked, []
        for address, frame in asked:
            self._ask(address, frame)
        answered, self._answered = self._answered, []
        for frame in answered:
            self._receive(self._source_address, frame)

    def _ask(self, address: str, frame: bytes) -> None:
        envelope = decode_member(frame).ok
        if envelope.kind == "ping":
            # Each peer answers for itself; its news is not needed here.
            ack = Ack(_decode_ping(envelope.body).sequence)
            peer = self._peers[address]
            self._receive(address, encode_member("ack", peer, ack))
        elif envelope.kind in ("sync_request", "pull", "page"):
            route = Route(routing_id=b"joiner")
            self._source.channel.receive_frame(route, frame, self.now_s)

    def _receive(self, address: str, frame: bytes) -> None:
        self.received_bytes += len(frame)
        route = Route(routing_id=address.encode())
        self.joiner.channel.receive_frame(route, frame, self.now_s)
