"""Event-log entries for settings that a node gets from its peers.

They show from whom and when the node learned of a revision, from whom it requested
the revision, and which requests were not answered.
"""

from balsamspindle.timeline import EventLog
from balsamspindle.wire.settings_messages import SettingsDelta, SettingsNotice

__all__ = ["GossipLog"]


class GossipLog:
    """Logs how one node gets settings from its peers; used by one task alone."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        # Highest revision that a peer announced, and when it was first announced.
        self._announced_revision = -1
        self._announced_s = 0.0

    def announced(
        self, notice: SettingsNotice, own_revision: int, now_s: float
    ) -> None:
        """Log a revision that is newer than all that peers announced before."""
        if notice.revision <= self._announced_revision:
            return
        self._announced_revision, self._announced_s = notice.revision, now_s
        self._events.emit(
            "settings_announced",
            peer=notice.address,
            offered_revision=notice.revision,
            revision=own_revision,
        )

    def pulled(self, notice: SettingsNotice, own_revision: int, now_s: float) -> None:
        """Log a request for the revision that a peer announced."""
        self._emit_pull("settings_pulled", notice, own_revision, now_s)

    def unanswered(
        self, notice: SettingsNotice, own_revision: int, now_s: float
    ) -> None:
        """Log that a peer did not answer a request in time."""
        self._emit_pull("settings_pull_unanswered", notice, own_revision, now_s)

    def read_store(
        self,
        behind_since_s: float | None,
        heard_s: float,
        own_revision: int,
        now_s: float,
    ) -> None:
        """Log that the store is read since peers may not deliver a change in time."""
        is_behind = behind_since_s is not None
        since_s = behind_since_s if is_behind else heard_s
        self._events.emit(
            "settings_catch_up",
            revision=own_revision,
            after_ms=round((now_s - since_s) * 1000),
            cause="no peer sent a newer revision" if is_behind else "no peer was heard",
        )

    def in_force(
        self, address: str, revision: int, now_s: float, accepted_ms: int | None = None
    ) -> None:
        """Log that settings from a peer came in force."""
        was_announced = revision == self._announced_revision
        self._events.emit(
            "settings_in_force",
            revision=revision,
            source="peer",
            peer=address,
            accepted_ms=accepted_ms,
            announced_ms=self._announced_ms(now_s) if was_announced else None,
        )

    def diverged(self, address: str, last: SettingsDelta, own_revision: int) -> None:
        """Log changes that belong to another history of changes."""
        self._events.emit(
            "settings_diverged",
            peer=address,
            revision=own_revision,
            offered_revision=last.revision,
            cause="the peer has a different history of changes",
        )

    def not_applied(
        self, address: str, deltas: list[SettingsDelta], own_revision: int
    ) -> None:
        """Log changes that do not follow any revision that this node has."""
        self._events.emit(
            "settings_not_applied",
            peer=address,
            revision=own_revision,
            base_revision=deltas[0].base_revision,
            offered_revision=deltas[-1].revision,
            cause="this node lacks the revision to which the changes apply",
        )

    def refused(self, address: str, error: ValueError) -> None:
        """Log pages that can't be decoded."""
        self._events.emit("settings_refused", peer=address, cause=str(error))

    def no_source(self, peer_count: int) -> None:
        """Log that a node without settings gets none."""
        self._events.emit(
            "settings_no_source",
            peers=peer_count,
            cause="neither the platform nor a peer sent settings",
        )

    def _emit_pull(
        self, event: str, notice: SettingsNotice, own_revision: int, now_s: float
    ) -> None:
        self._events.emit(
            event,
            peer=notice.address,
            offered_revision=notice.revision,
            revision=own_revision,
            announced_ms=self._announced_ms(now_s),
        )

    def _announced_ms(self, now_s: float) -> int:
        """Return the time since a peer first announced the highest known revision."""
        return round((now_s - self._announced_s) * 1000)
