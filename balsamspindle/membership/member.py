"""The member task: tells peers what this node knows, and hears them."""

import random
import threading
import time
from collections.abc import Callable

import msgspec
import zmq

from balsamspindle.membership.budget import ByteBudget
from balsamspindle.membership.channel import Channel, Peer
from balsamspindle.membership.directory import Directory, NodeState
from balsamspindle.membership.settings_exchange import SettingsExchange
from balsamspindle.membership.transport import ZmqTransport
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    BackendServerRecord,
    Hello,
    NodeRecord,
    Sender,
)

__all__ = ["Member"]

HELLO_INTERVAL_S = 0.5
HELLO_PEERS = 3
SILENCE_TIMEOUT_S = 3.0
BYTES_PER_S = 9000.0


class Member:
    """One node's part in the membership protocol.

    Parameters
    ----------
    own : NodeRecord
        This node's first record.
    backend_servers : callable
        Returns the records of this node's backend servers.

    Attributes
    ----------
    channel : Channel
        For other parts that exchange messages with peers.
    """

    def __init__(
        self,
        context: zmq.Context,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        configuration: CurrentConfiguration,
        backend_servers: Callable[[], tuple[BackendServerRecord, ...]],
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._configuration = configuration
        self._backend_servers = backend_servers
        self._events = events
        self._random = random.Random(f"{own.node_id}/{own.incarnation}")
        self._stopped = threading.Event()
        self._record = own
        self._transport = ZmqTransport(context, settings.member_address)
        self.channel = Channel(
            self._transport,
            self._sender,
            ByteBudget(BYTES_PER_S, time.monotonic()),
            events,
        )
        self.channel.register("hello", Hello, self._hello)
        SettingsExchange(self.channel, configuration, events)

    def run(self) -> None:
        """Take part until `stop` is called."""
        next_hello_s = time.monotonic()
        while not self._stopped.is_set():
            now_s = time.monotonic()
            if now_s >= next_hello_s:
                self._round(now_s)
                next_hello_s = now_s + HELLO_INTERVAL_S
            self.channel.receive(next_hello_s - time.monotonic(), time.monotonic)
        self._transport.close()

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()

    def leave(self) -> None:
        """Tell the peers that this node is going."""
        self._record = msgspec.structs.replace(
            self._record,
            version=self._record.version + 1,
            state=NodeState.LEAVING.value,
        )

    def _round(self, now_s: float) -> None:
        self.refresh(now_s)
        for node_id in self._directory.remove_silent(
            self._record.node_id, SILENCE_TIMEOUT_S, now_s
        ):
            self._events.emit("node_silent", peer=node_id)
        hello = Hello(self._record, self._directory.records())
        addresses = self._peer_addresses()
        chosen = self._random.sample(addresses, min(HELLO_PEERS, len(addresses)))
        for address in chosen:
            self.channel.send(address, hello, now_s)

    def refresh(self, now_s: float) -> None:
        """Bring this node's own record up to date."""
        servers = self._backend_servers()
        if servers != self._record.backend_servers:
            self._record = msgspec.structs.replace(
                self._record,
                version=self._record.version + 1,
                backend_servers=servers,
            )
        self._directory.update(self._record, now_s)
        self._directory.heard(self._record.node_id, now_s)

    def _peer_addresses(self) -> list[str]:
        known = {record.member_address for record in self._directory.records()}
        known.update(self._settings.seed_addresses)
        known.discard(self._record.member_address)
        return sorted(known)

    def _hello(self, peer: Peer, hello: Hello, now_s: float) -> None:
        for record in (hello.sender, *hello.records):
            if record.node_id != self._record.node_id:
                self._learn(record, now_s)
        self._directory.heard(peer.node_id, now_s)

    def _learn(self, record: NodeRecord, now_s: float) -> None:
        if self._directory.update(record, now_s):
            self._events.emit(
                "node_learned",
                peer=record.node_id,
                peer_incarnation=record.incarnation,
                version=record.version,
                state=record.state,
            )

    def _sender(self) -> Sender:
        return Sender(
            self._record.node_id,
            self._record.incarnation,
            self._record.member_address,
            self._configuration.revision,
            self._events.clock.tick(time.time()),
        )
