"""One real member before a fleet that does as it does.

A fleet of equals is symmetric: on average each node receives what it sends.
So a single `Member` with the records of the whole fleet is enough to see what
the fleet costs one node: what it sends comes back to it as if from random
peers, peers answer its probes, and news of changes reaches it at the fleet's
rate. Nothing else of the fleet is simulated.
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

__all__ = ["Mirror"]

# Digest buckets in which two nodes differ while news is on its way.
DIFFERING_BUCKETS = 10
_STATES = ("draining", "gone", "ready", "ready")
_decoders = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in (("ping", Ping), ("ack", Ack), ("gossip", Gossip))
}


class Mirror:
    """A member of a full fleet, on a clock of its own.

    Attributes
    ----------
    cpu_s : float
        Processor time of the member alone.
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
        self._steps: dict[str, int] = {}
        records = list(synthetic.node_records(size))
        for record in records:
            self.directory.update(record, self.now_s)
        self.records = records
        self.peers = [
            Sender(record.node_id, record.incarnation, record.member_address, -1)
            for record in records[1:]
        ]
        self._by_address = {peer.address: peer for peer in self.peers}
        self.member = self._make_member(records[0])

    def run(self, duration_s: float) -> None:
        """Let a time of the mirror's clock pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._feed_changes()
            self._turn_around()
            started_s = time.process_time()
            self.member.tick(self.now_s)
            self.cpu_s += time.process_time() - started_s

    def post(self, source: str, target: str, frame: bytes, opened: bool = False):
        """Take what the member sends, for `run` to turn around."""
        self._sent.append((target, frame))

    def take(self, kind: str, message, peer: Sender | None = None) -> None:
        """Have a message reach the member."""
        peer = peer or self._random.choice(self.peers)
        frame = encode_member(kind, peer, message)
        route = Route(routing_id=peer.address.encode())
        started_s = time.process_time()
        self.member.channel.receive_frame(route, frame, self.now_s)
        self.cpu_s += time.process_time() - started_s

    def change(self) -> NodeNews:
        """Return fresh news of one backend server of a random node."""
        view = self.directory.view(self._random.choice(self.peers).node_id)
        server_id = self._random.choice(sorted(view.entries))
        step = self._steps.get(server_id, 0)
        self._steps[server_id] = step + 1
        record = view.entries[server_id].record._replace(
            state=_STATES[step % len(_STATES)], boot_id=f"{step // 2:032x}"
        )
        entry = ServerEntry(view.version + 1, record)
        return NodeNews(view.record.node_id, view.record.incarnation, servers=[entry])

    def _make_member(self, own) -> Member:
        address = own.member_address
        settings = NodeSettings(
            own.node_id, own.region, own.availability_zone, *[address] * 4
        )
        return Member(
            None,
            settings,
            msgspec.structs.replace(own, incarnation=own.incarnation + 1),
            self.directory,
            CurrentConfiguration(),
            lambda: own.backend_servers,
            RecordedEvents(),
            MemoryTransport(self, address),
            lambda: self.now_s,
        )

    def _feed_changes(self) -> None:
        self._changes_due += self.changes_per_s * TICK_S
        while self._changes_due >= 1:
            self._changes_due -= 1
            self.take("gossip", Gossip([self.change()]))

    def _turn_around(self) -> None:
        """Give back what was sent, as its like from other nodes."""
        sent, self._sent = self._sent, []
        for address, frame in sent:
            envelope = decode_member(frame).ok
            decoder = _decoders.get(envelope.kind)
            message = decoder.decode(envelope.body) if decoder else None
            match message:
                case Ping():
                    # Its answer, and the ping that some peer sends us.
                    peer = self._by_address.get(address)
                    self.take("ack", Ack(message.sequence, news=self._ack_news), peer)
                    self.take("ping", Ping(1, self.member.state.own.node_id))
                    self.take("gossip", Gossip(message.news))
                case Ack():
                    self._ack_news = message.news
                case Gossip():
                    self.take("gossip", message)
                case _ if envelope.kind == "sync_request":
                    self.take("sync_request", self._other_digests())

    def _other_digests(self) -> SyncRequest:
        """Return a peer's digests: ours but for some buckets."""
        digests = bytearray(self.directory.digests())
        for bucket in self._random.sample(range(len(digests) // 4), DIFFERING_BUCKETS):
            digests[4 * bucket] ^= 1
        return SyncRequest(bytes(digests))
