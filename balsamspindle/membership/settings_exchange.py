"""Settings from peers: asked for when a peer has a newer revision."""

from expression import Result

from balsamspindle.membership.budget import Importance
from balsamspindle.membership.channel import Channel, Peer
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog
from balsamspindle.wire import SettingsRequest, SettingsSnapshot

__all__ = ["SettingsExchange"]


class SettingsExchange:
    """Asks peers for newer settings and answers peers that ask."""

    def __init__(
        self, channel: Channel, configuration: CurrentConfiguration, events: EventLog
    ) -> None:
        self._channel = channel
        self._configuration = configuration
        self._events = events
        channel.register("settings_request", SettingsRequest, self._answer)
        channel.register("settings_snapshot", SettingsSnapshot, self._offer)
        channel.on_peer(self._ask)

    def _ask(self, peer: Peer, now_s: float) -> None:
        own_revision = self._configuration.revision
        if peer.settings_revision <= own_revision:
            return
        if self._channel.answer(
            peer, SettingsRequest(own_revision), now_s, Importance.URGENT
        ):
            self._events.emit("settings_requested", peer=peer.node_id)

    def _answer(self, peer: Peer, request: SettingsRequest, now_s: float) -> None:
        configuration = self._configuration.get()
        if configuration is None or configuration.revision <= request.above_revision:
            return
        snapshot = SettingsSnapshot(configuration.revision, configuration.documents)
        self._channel.answer(peer, snapshot, now_s, Importance.URGENT)

    def _offer(self, peer: Peer, snapshot: SettingsSnapshot, now_s: float) -> None:
        match self._configuration.offer(snapshot.revision, snapshot.documents):
            case Result(tag="ok", ok=True):
                self._events.emit(
                    "settings_in_force", revision=snapshot.revision, source="peer"
                )
            case Result(tag="error", error=faults):
                self._events.emit(
                    "settings_refused",
                    revision=snapshot.revision,
                    cause=faults[0].message,
                )
