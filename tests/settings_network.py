"""A simulated network for settings gossip between many nodes, without sockets."""

from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.gossip import SettingsGossip
from balsamspindle.settings.rows import next_chain
from balsamspindle.wire import encode
from balsamspindle.wire.settings_messages import SettingsDelta
from tests.settings_utils import node_record


class History:
    """Makes successive changes of settings, like the platform's change log."""

    def __init__(self) -> None:
        self.revision, self.chain = 0, ""

    def change(self, documents) -> SettingsDelta:
        previous = self.chain
        self.revision += 1
        self.chain = next_chain(previous, f"operation-{self.revision}")
        return SettingsDelta(self.revision, previous, self.chain, documents)


class EventNames:
    """An event log that records only the names of events."""

    def __init__(self) -> None:
        self.names = []

    def emit(self, event, **_fields):
        self.names.append(event)


class Network:
    """A `SettingsGossip` per node; messages are delivered through a list.

    Messages to the addresses in `unreachable` are lost, and so are the messages for
    which `is_lost` returns True.
    """

    def __init__(self, count: int, zones: int = 3) -> None:
        self.records = [node_record(number, zones) for number in range(count)]
        self.configurations = [CurrentConfiguration() for _ in self.records]
        self.events = [EventNames() for _ in self.records]
        self.sent: list[tuple[str, object]] = []
        self.received_bytes = [0] * count
        self.received = [0] * count
        self.unreachable: set[str] = set()
        self.is_lost = lambda message: False
        self.now_s = 0.0
        self.nodes = [
            SettingsGossip(
                record,
                lambda: self.records,
                lambda address, message: self.sent.append((address, message)),
                self.configurations[number],
                self.events[number],
            )
            for number, record in enumerate(self.records)
        ]

    def run(self, rounds: int = 1) -> None:
        """Advance the clock, let all nodes tick, and deliver all messages.

        Parameters
        ----------
        rounds : int
            How often this is done, 0.1 s apart.
        """
        for _ in range(rounds):
            self.now_s += 0.1
            for node in self.nodes:
                node.tick(self.now_s)
            while self.sent:
                messages, self.sent = self.sent, []
                for address, message in messages:
                    if address in self.unreachable or self.is_lost(message):
                        continue
                    self._deliver(int(address[1:]), message)

    def announce(self, receiver: int, sender: int) -> None:
        """Let a node receive a member message, which has its sender's revision."""
        node = self.nodes[receiver]
        address = self.records[sender].member_address
        revision = self.configurations[sender].revision
        node.receive_revision(address, revision, self.now_s)
        while not node._inbox.empty():
            node.handle(node._inbox.get(), self.now_s)

    def _deliver(self, number, message) -> None:
        self.received[number] += 1
        self.received_bytes[number] += len(encode(message))
        self.nodes[number].handle(message, self.now_s)

    def revisions(self) -> set[int]:
        """Return the set of revisions that are in force at the nodes."""
        return {configuration.revision for configuration in self.configurations}
