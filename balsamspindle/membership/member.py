"""The member task, which runs the membership protocol of one node."""

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
from balsamspindle.membership.membership_state import MembershipState
from balsamspindle.membership.own_record import OwnRecord
from balsamspindle.membership.probing import Prober
from balsamspindle.membership.recent_max import RecentMax
from balsamspindle.membership.sync import AntiEntropy
from balsamspindle.membership.transport import Transport, ZmqTransport
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog
from balsamspindle.wire import BackendServerRecord, NodeRecord, Sender

__all__ = ["Member"]

# Interval between two runs of `Member.tick`.
TICK_S = 0.2
# A gap between two ticks that is longer than this means that the process was suspended.
# The load of a busy machine causes only shorter gaps.
PAUSE_MIN_S = 2.0
# Byte budget of settings messages. At 45,000 changes of 1 KB a day, each sent to 1.25
# peers on average, a node sends 0.7 KB/s. A single change of 2,000 routes, sent to five
# peers, needs 300 to 450 KB at once.
SETTINGS_BYTES_PER_S = 1_000.0
SETTINGS_BURST_BYTES = 1_000_000.0
# Window of the maximum in `Member.lag_s`. It is the usual interval between two metrics
# scrapes, so each scrape includes all delays since the previous scrape.
LAG_WINDOW_S = 15.0


class Member:
    """Runs the membership protocol of one node.

    Parameters
    ----------
    own : NodeRecord
        Record of this node at its start.
    backend_servers : callable
        Returns the current records of this node's backend servers.
    transport : Transport, default=None
        None to create a ZeroMQ transport on the member address in `settings`.

    Attributes
    ----------
    channel : Channel
        Used by other parts of the node to exchange messages with peers.
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
        self._lag = RecentMax(LAG_WINDOW_S)
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
        self.state = MembershipState(self._own, directory, events)
        rng = random.Random(f"{own.node_id}/{own.incarnation}")
        self._gossiper = Gossiper(self.channel, self.state, rng)
        self._prober = Prober(
            self.channel,
            self._transport,
            self.state,
            self._gossiper,
            settings.seed_addresses,
            events,
            rng,
        )
        self.anti_entropy = AntiEntropy(self.channel, self.state, rng)
        self.channel.on_peer(self._compare_with_unknown_peer)
        self.state.start(now_s())

    def register(
        self,
        handlers: dict[type, Callable[[Any], None]],
        on_peer_revision: Callable[[str, int, float], None] | None = None,
    ) -> None:
        """Register handlers of tagged message types and of settings revisions.

        `on_peer_revision` is called with the address and the settings revision
        of each message's sender, and the present time. All callables run in the
        member task and must not block.
        """
        for message_type, handler in handlers.items():
            kind = message_type.__struct_config__.tag
            self.channel.register(kind, message_type, _message_only(handler))
        if on_peer_revision is not None:
            self.channel.on_peer(
                lambda peer, now_s: on_peer_revision(
                    peer.address, peer.settings_revision, now_s
                )
            )

    def share_crash_digest(
        self, own_digest: Callable[[], int], on_peer: Callable[[str, int, float], None]
    ) -> None:
        """Send a digest of crash records with each message; receive peers' digests.

        Parameters
        ----------
        own_digest : callable
            Returns this node's digest.
        on_peer : callable
            Called in the member task with a peer's address, its digest and the
            current time.
        """
        self._crash_digest = own_digest
        self.channel.on_peer(
            lambda peer, now_s: on_peer(peer.address, peer.crash_digest, now_s)
        )

    def share_store_era(
        self, own_era: Callable[[], int], on_peer: Callable[[int], None]
    ) -> None:
        """Send the newest store era with each message; receive peers' eras.

        Most nodes call the store rarely, so the store's own answers would inform
        them late of a new era. `on_peer` is called in the member task with the
        newest era that a peer knows.
        """
        self._store_era = own_era
        self.channel.on_peer(lambda peer, now_s: on_peer(peer.store_era))

    def send(
        self,
        address: str,
        message: Any,
        importance: Importance = Importance.URGENT,
    ) -> None:
        """Send a message of a registered type; callable from any thread.

        The message is dropped if the byte cap refuses it, and the caller is not
        notified. A caller that needs delivery has to repeat the message.
        """
        self.channel.call_soon(
            lambda: self.channel.send(address, message, self._now_s(), importance)
        )

    def send_settings(self, address: str, message: Any) -> None:
        """Send a message with importance `SETTINGS`; callable from any thread."""
        self.channel.call_soon(lambda: self._send_settings(address, message))

    def _send_settings(self, address: str, message: Any) -> None:
        """Send a message with settings; emit an event if it is not sent."""
        now_s = self._now_s()
        if self.channel.send(address, message, now_s, Importance.SETTINGS):
            return
        self._events.emit(
            "settings_not_sent",
            peer=address,
            kind=message.__struct_config__.tag,
            cause="refused by the byte cap or by the transport",
        )

    def set_contacts(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses to contact besides the seeds; callable from any thread."""
        self.channel.call_soon(
            lambda: self._prober.set_contacts(addresses, self._now_s())
        )

    @property
    def isolated(self) -> bool:
        """Whether this node got no answer from any peer for a few seconds."""
        return self._prober.isolated

    def lag_s(self, now_s: float) -> float:
        """Return the longest recent delay of a tick; large in an overloaded process."""
        return self._lag.value(now_s)

    def run(self) -> None:
        """Run the protocol until `stop` is called, then close the transport."""
        while not self._stopped.is_set():
            wait_s = self._last_tick_s + TICK_S - self._now_s()
            self.channel.receive(wait_s, self._now_s)
            if self._now_s() >= self._last_tick_s + TICK_S:
                self.tick(self._now_s())
        self._transport.close()

    def tick(self, now_s: float) -> None:
        """Run all periodic work that is due."""
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        self._lag.record(gap_s - TICK_S, now_s)
        if gap_s > PAUSE_MIN_S:
            self._resume_after_pause(gap_s, now_s)
        self.state.update_servers(self._backend_servers(), now_s)
        self._prober.tick(now_s)
        self.state.expire(now_s)
        self._gossiper.tick(now_s)
        self.anti_entropy.tick(now_s)

    def stop(self) -> None:
        """Make `run` return soon; callable from any thread."""
        self._stopped.set()
        self._transport.wake()

    def leave(self) -> None:
        """Announce to the peers that this node is leaving; callable from any thread."""
        self.channel.call_soon(self._leave)

    def _leave(self) -> None:
        self.state.announce_leaving(self._now_s())
        self.tick(self._now_s())

    def _resume_after_pause(self, gap_s: float, now_s: float) -> None:
        """Reset this node's state after the process was suspended.

        The time-outs of probes and suspicions passed while this node did not
        run. If this node acted on these time-outs, it would declare healthy nodes
        dead. So it discards its probes, suspicions and queued verdicts. Peers may have
        declared this node dead, so it announces that it is alive and soon
        compares its directory with a peer's.
        """
        self._events.emit("node_woke_up", gap_s=f"{gap_s:.1f}")
        self.state.suspicions.clear()
        self.state.queue.remove_verdicts()
        self._prober.reset(now_s)
        self.state.announce_alive(now_s)
        self.anti_entropy.compare_soon(now_s)

    def _compare_with_unknown_peer(self, peer: Peer, now_s: float) -> None:
        """Start a comparison of directories with a peer that the directory lacks."""
        if self.state.directory.view(peer.node_id) is None:
            self.anti_entropy.start_comparison(peer, now_s)

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
