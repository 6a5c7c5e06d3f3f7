"""The member task: this node's part in the membership protocol."""

import random
import threading
import time
from collections.abc import Callable
from typing import Any

import zmq

from balsamspindle.membership.budget import ByteBudget, Importance
from balsamspindle.membership.channel import Channel, Handler, Peer
from balsamspindle.membership.directory import Directory
from balsamspindle.membership.gossip import Gossiper
from balsamspindle.membership.knowledge import Knowledge
from balsamspindle.membership.own_record import OwnRecord
from balsamspindle.membership.probing import Prober
from balsamspindle.membership.recent_max import RecentMax
from balsamspindle.membership.sync import AntiEntropy
from balsamspindle.membership.transport import Transport, ZmqTransport
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog
from balsamspindle.wire import BackendServerRecord, NodeRecord, Sender

__all__ = ["Member"]

TICK_S = 0.2
# A gap between two ticks that no busy machine explains: the process slept.
PAUSE_S = 2.0
# Settings are sent within a bucket of their own. At 45,000 changes a day of a
# kilobyte each, passed on to 1.25 peers in the mean, a node sends 0.7 KB/s; one
# change of 2,000 routes, passed on to five peers, takes 300 to 450 KB at once.
SETTINGS_BYTES_PER_S = 1_000.0
SETTINGS_BURST_BYTES = 1_000_000.0
# As long as scrapers take between two looks.
LAG_MEMORY_S = 15.0


class Member:
    """One node's part in the membership protocol.

    Parameters
    ----------
    own : NodeRecord
        This node's first record.
    backend_servers : callable
        Returns the records of this node's backend servers.
    transport : Transport, default=None
        ZeroMQ on the member address when None.

    Attributes
    ----------
    channel : Channel
        For other parts that exchange messages with peers.
    """

    def __init__(
        self,
        context: zmq.Context | None,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        configuration: CurrentConfiguration,
        backend_servers: Callable[[], tuple[BackendServerRecord, ...]],
        events: EventLog,
        transport: Transport | None = None,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._configuration = configuration
        self._backend_servers = backend_servers
        self._events = events
        self._now_s = now_s
        self._stopped = threading.Event()
        self._last_tick_s = now_s()
        self._lag = RecentMax(LAG_MEMORY_S)
        self._crash_digest: Callable[[], int] = lambda: 0
        self._store_era: Callable[[], int] = lambda: 0
        self._own = OwnRecord(own)
        self._transport = transport or ZmqTransport(
            context, settings.member_address, settings.fleet_keys
        )
        self.budget = ByteBudget(settings.member_bytes_per_s, now_s())
        self.settings_budget = ByteBudget(
            SETTINGS_BYTES_PER_S, now_s(), SETTINGS_BURST_BYTES
        )
        self.channel = Channel(
            self._transport, self._sender, self.budget, events, self.settings_budget
        )
        self.knowledge = Knowledge(self._own, directory, events)
        rng = random.Random(f"{own.node_id}/{own.incarnation}")
        self._gossiper = Gossiper(self.channel, self.knowledge, rng)
        self._prober = Prober(
            self.channel,
            self._transport,
            self.knowledge,
            self._gossiper,
            settings.seed_addresses,
            events,
            rng,
        )
        self.anti_entropy = AntiEntropy(self.channel, self.knowledge, rng)
        self.channel.on_peer(self._meet)
        self.knowledge.start(now_s())

    def register(
        self,
        handlers: dict[type, Callable[[Any], None]],
        on_peer_revision: Callable[[str, int], None] | None = None,
    ) -> None:
        """Hand messages of tagged types, and peers' settings revisions, on.

        The callables run in the member task and must return at once.
        """
        for message_type, handler in handlers.items():
            kind = message_type.__struct_config__.tag
            self.channel.register(kind, message_type, _message_only(handler))
        if on_peer_revision is not None:
            self.channel.on_peer(
                lambda peer, now_s: on_peer_revision(
                    peer.address, peer.settings_revision
                )
            )

    def share_crash_digest(
        self, own: Callable[[], int], on_peer: Callable[[str, int, float], None]
    ) -> None:
        """Tell with each message what is known of crashes; hear it of peers.

        Parameters
        ----------
        own : callable
            Returns this node's digest.
        on_peer : callable
            Told a peer's address and digest, and the present time, in the member
            task.
        """
        self._crash_digest = own
        self.channel.on_peer(
            lambda peer, now_s: on_peer(peer.address, peer.crash_digest, now_s)
        )

    def share_store_era(
        self, own: Callable[[], int], on_peer: Callable[[int], None]
    ) -> None:
        """Tell with each message the newest era of the store; hear it of peers.

        Most nodes call the store seldom, and would learn of a new era late.
        """
        self._store_era = own
        self.channel.on_peer(lambda peer, now_s: on_peer(peer.store_era))

    def send(
        self,
        address: str,
        message: Any,
        importance: Importance = Importance.URGENT,
    ) -> None:
        """Send a message of a registered type; callable from any thread.

        It is dropped when the byte cap has no room: the sender asks again.
        """
        self.channel.call_soon(
            lambda: self.channel.send(address, message, self._now_s(), importance)
        )

    def send_settings(self, address: str, message: Any) -> None:
        """Send a message of settings; callable from any thread."""
        self.send(address, message, Importance.SETTINGS)

    def contact(self, addresses: tuple[str, ...]) -> None:
        """Try nodes at these member addresses; callable from any thread."""
        self.channel.call_soon(lambda: self._prober.contact(addresses, self._now_s()))

    @property
    def isolated(self) -> bool:
        """Whether no peer has answered this node lately."""
        return self._prober.isolated

    def lag_s(self, now_s: float) -> float:
        """Return the longest delay of a tick lately: how busy this process is."""
        return self._lag.value(now_s)

    def run(self) -> None:
        """Take part until `stop` is called."""
        while not self._stopped.is_set():
            wait_s = self._last_tick_s + TICK_S - self._now_s()
            self.channel.receive(wait_s, self._now_s)
            if self._now_s() >= self._last_tick_s + TICK_S:
                self.tick(self._now_s())
        self._transport.close()

    def tick(self, now_s: float) -> None:
        """Do what is due."""
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        self._lag.note(gap_s - TICK_S, now_s)
        if gap_s > PAUSE_S:
            self._wake_up(gap_s, now_s)
        self.knowledge.refresh(self._backend_servers(), now_s)
        self._prober.tick(now_s)
        self.knowledge.expire(now_s)
        self._gossiper.tick(now_s)
        self.anti_entropy.tick(now_s)

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()
        self._transport.wake()

    def leave(self) -> None:
        """Tell the peers that this node is going."""
        self.channel.call_soon(self._leave)

    def _leave(self) -> None:
        self.knowledge.leave(self._now_s())
        self.tick(self._now_s())

    def _wake_up(self, gap_s: float, now_s: float) -> None:
        """Take up the work after this process did not run for a while.

        All its timers ran out while it slept: acting on them would declare
        nodes dead that answered well meanwhile. The others may hold this node
        dead. So it drops its timers and its claims about others, says that
        it is alive and compares what it knows.
        """
        self._events.emit("node_woke_up", gap_s=f"{gap_s:.1f}")
        self.knowledge.suspicions.clear()
        self.knowledge.queue.remove_claims()
        self._prober.restart(now_s)
        self.knowledge.assert_alive(now_s)
        self.anti_entropy.hurry(now_s)

    def _meet(self, peer: Peer, now_s: float) -> None:
        """Compare soon with a peer that this node does not know."""
        if self.knowledge.directory.view(peer.node_id) is None:
            self.anti_entropy.greet(peer, now_s)

    def _sender(self) -> Sender:
        return Sender(
            self._own.node_id,
            self._own.epoch.incarnation,
            self._own.header.member_address,
            self._configuration.revision,
            self._events.clock.tick(time.time()),
            self._crash_digest(),
            self._store_era(),
        )


def _message_only(handler: Callable[[Any], None]) -> Handler:
    return lambda peer, message, now_s: handler(message)
