"""Simulates the messages that one member receives in a large fleet.

The simulation runs a single `Member`, which has the records of all nodes. All nodes of
a fleet behave in the same way, so on average each node receives as many messages as it
sends. Therefore, the messages that the member sends are delivered to the member itself,
as if random peers had sent them. Its probes are answered, and news of changes arrives
at the rate of the fleet. Nothing else of the fleet is simulated. The processor time and
the sent bytes of this member are those of an average node of the fleet.
"""

import random
import time

import msgspec

from balsamspindle.membership.directory import Directory
from balsamspindle.membership.member import TICK_S, Member
from balsamspindle.membership.transport import Route
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.wire import (
    Ack,
    Gossip,
    News,
    NodeNews,
    Ping,
    Sender,
    ServerEntry,
    SyncRequest,
    decode_member,
    encode_member,
)
from bench.capacity import synthetic
from bench.capacity.sizes import FleetSize
from tests.member_network import MemoryTransport, RecordedEvents

__all__ = ["MemberSimulation"]

# Number of digest buckets that differ between two nodes, because some news has reached
# only one of them.
DIFFERING_BUCKETS = 10
_STATES = ("draining", "gone", "ready", "ready")
_decoders = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in (("ping", Ping), ("ack", Ack), ("gossip", Gossip))
}


class MemberSimulation:
    """One member with the records of all nodes of a fleet, on a simulated clock.

    Attributes
    ----------
    cpu_s : float
        Processor time that the member used. It excludes the time of the simulation.
    """

    def __init__(self, size: FleetSize, changes_per_s: float, seed: int = 1) -> None:
        self.now_s = 1000.0
        self.cpu_s = 0.0
        self.directory = Directory()
        self.changes_per_s = changes_per_s
        self._random = random.Random(seed)
        self._sent: list[tuple[str, bytes]] = []
        self._changes_due = 0.0
        self._ack_news: list[News] = []
        self._turned: list[tuple[str, bytes]] = []
        self._change_counts: dict[str, int] = {}
        records = list(synthetic.node_records(size))
        for record in records:
            self.directory.update(record, self.now_s)
        self.records = records
        self.peers = [
            Sender(record.node_id, record.incarnation, record.member_address, -1)
            for record in records[1:]
        ]
        self._peer_by_address = {peer.address: peer for peer in self.peers}
        self.member = self._make_member(records[0])

    def run(self, duration_s: float) -> None:
        """Advance the simulated clock by `duration_s`.

        Before each tick of the member, delivers changes and the answers to its frames.
        """
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._deliver_changes()
            self._return_frames()
            started_s = time.process_time()
            self.member.tick(self.now_s)
            self.cpu_s += time.process_time() - started_s

    def post(self, source: str, target: str, frame: bytes, opened: bool = False):
        """Queue a frame that the member sends to a peer.

        At the next tick, `run` delivers it back to the member or answers it.
        """
        self._sent.append((target, frame))

    def deliver(self, kind: str, message, peer: Sender | None = None) -> None:
        """Deliver a message to the member, with `peer` as its sender.

        The default sender is a random peer.
        """
        peer = peer or self._random.choice(self.peers)
        frame = encode_member(kind, peer, message)
        route = Route(routing_id=peer.address.encode())
        started_s = time.process_time()
        self.member.channel.receive_frame(route, frame, self.now_s)
        self.cpu_s += time.process_time() - started_s

    def make_change(self) -> NodeNews:
        """Return the news that a random backend server has changed its state."""
        view = self.directory.view(self._random.choice(self.peers).node_id)
        server_id = self._random.choice(sorted(view.entries))
        change_count = self._change_counts.get(server_id, 0)
        self._change_counts[server_id] = change_count + 1
        record = view.entries[server_id].record._replace(
            state=_STATES[change_count % len(_STATES)],
            boot_id=f"{change_count // 2:032x}",
        )
        entry = ServerEntry(view.version + 1, record)
        return NodeNews(view.record.node_id, view.record.incarnation, servers=[entry])

    def _make_member(self, record) -> Member:
        address = record.member_address
        settings = NodeSettings(
            record.node_id, record.region, record.availability_zone, *[address] * 4
        )
        return Member(
            None,
            settings,
            msgspec.structs.replace(record, incarnation=record.incarnation + 1),
            self.directory,
            CurrentConfiguration(),
            lambda: record.backend_servers,
            RecordedEvents(),
            MemoryTransport(self, address),
            lambda: self.now_s,
        )

    def _deliver_changes(self) -> None:
        self._changes_due += self.changes_per_s * TICK_S
        while self._changes_due >= 1:
            self._changes_due -= 1
            self.deliver("gossip", Gossip([self.make_change()]))

    def _return_frames(self) -> None:
        """Deliver to the member what its peers would send for each queued frame.

        Pings and sync requests are answered. Gossip is returned as if from a peer. When
        the member sends an ack, the news in it is returned in the next ack that a peer
        sends to the member.
        """
        sent, self._sent = self._sent, []
        for address, frame in sent:
            envelope = decode_member(frame).ok
            decoder = _decoders.get(envelope.kind)
            message = decoder.decode(envelope.body) if decoder else None
            match message:
                case Ping():
                    # The pinged peer sends an ack, and a random peer sends a ping. The
                    # news in the ping returns as gossip.
                    peer = self._peer_by_address.get(address)
                    self.deliver(
                        "ack", Ack(message.sequence, news=self._ack_news), peer
                    )
                    self.deliver("ping", Ping(1, self.member.state.own.node_id))
                    self.deliver("gossip", Gossip(message.news))
                case Ack():
                    self._ack_news = message.news
                case Gossip():
                    self.deliver("gossip", message)
                case _ if envelope.kind == "sync_request":
                    self.deliver("sync_request", self._peer_digests())

    def _peer_digests(self) -> SyncRequest:
        """Return the member's digests with changes in `DIFFERING_BUCKETS` buckets."""
        digests = bytearray(self.directory.digests())
        for bucket in self._random.sample(range(len(digests) // 4), DIFFERING_BUCKETS):
            digests[4 * bucket] ^= 1
        return SyncRequest(bytes(digests))
