"""Nodes that spread settings through real members on a simulated network."""

from balsamspindle.settings.gossip import SettingsGossip
from balsamspindle.settings.reader_selection import is_reader
from balsamspindle.wire.settings_messages import SETTINGS_MESSAGES
from tests.member_network import FakeNode, MemberNetwork

__all__ = ["READERS_PER_ZONE", "SpreadingFleet", "SpreadingNode"]

# The readers read the store; the other nodes receive changes from them.
READERS_PER_ZONE = 8
STEP_S = 0.02


class SpreadingNode:
    """The member and the settings gossip task of one node of a `MemberNetwork`."""

    def __init__(self, network: MemberNetwork, node: FakeNode, read_store) -> None:
        self._network = network
        self.node = node
        self.record = node.settings.own_record(1_000)
        self.configuration = node.configuration
        self.gossip = SettingsGossip(
            self.record,
            node.directory.alive,
            node.member.send_settings,
            node.configuration,
            node.events,
            read_store=lambda: read_store(self),
        )
        node.member.register(
            dict.fromkeys(SETTINGS_MESSAGES, self._handle), self._receive_revision
        )

    def is_reader(self) -> bool:
        return is_reader(self.record, self.node.directory.alive(), READERS_PER_ZONE)

    def step(self) -> None:
        self.gossip.tick(self._network.now_s)
        self.node.member.channel.receive(0.0, lambda: self._network.now_s)

    def _handle(self, message) -> None:
        self.gossip.handle(message, self._network.now_s)

    def _receive_revision(self, address: str, revision: int, now_s: float) -> None:
        self.gossip.receive_revision(address, revision, now_s)
        while not self.gossip._inbox.empty():
            self._handle(self.gossip._inbox.get())


class SpreadingFleet:
    """Nodes of several zones that know each other and run on one simulated clock.

    Attributes
    ----------
    stored : tuple of int and dict, or None
        Revision and documents that the store returns; None if it is not reachable.
    catch_up_reads : int
        Number of reads of the store by nodes that peers may have left behind.
    """

    def __init__(self, count: int, zones: int) -> None:
        self.network = MemberNetwork()
        self.stored: tuple[int, dict[str, bytes]] | None = None
        self.catch_up_reads = 0
        fake_nodes = [
            self.network.add(number, f"zone-{number % zones}")
            for number in range(count)
        ]
        self.network.introduce(fake_nodes)
        self.nodes = [
            SpreadingNode(self.network, fake, self._read_store) for fake in fake_nodes
        ]
        self.readers = [node for node in self.nodes if node.is_reader()]

    def offer(self, revision: int, documents: dict[str, bytes], nodes=None) -> None:
        """Put settings in force at some nodes, by default at all."""
        for node in self.nodes if nodes is None else nodes:
            node.configuration.offer(revision, documents)

    def _read_store(self, node: SpreadingNode) -> None:
        self.catch_up_reads += 1
        if self.stored is not None:
            node.configuration.offer(*self.stored)

    def run_for(self, duration_s: float) -> None:
        """Advance the clock and run all nodes."""
        for _ in range(round(duration_s / STEP_S)):
            self.network.run(STEP_S)
            for node in self.nodes:
                node.step()

    def nodes_behind(self, revision: int) -> list[str]:
        """Return the ids of the nodes that do not have a revision in force."""
        return [
            node.node.node_id
            for node in self.nodes
            if node.configuration.revision < revision
        ]
