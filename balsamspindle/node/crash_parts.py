"""Creates the parts of a node that handle requests which crash backend servers."""

import time
from collections.abc import Callable

from balsamspindle.crashes import CrashHistory, Quarantine
from balsamspindle.crashes.gossip import CrashGossip
from balsamspindle.crashes.live_servers import count_live_servers
from balsamspindle.crashes.quarantine_store import QuarantineStore
from balsamspindle.crashes.records import CrashUpdate
from balsamspindle.crashes.verdicts import CauseEvidence
from balsamspindle.membership import Directory, Member
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["CrashParts"]

# Time from a node's start until it has received the crashes that its peers know. A
# node that decided earlier would quarantine requests that cause no crash.
CATCH_UP_S = 3.0


class CrashParts:
    """Connects a node's crash history with its event log, its peers and the store.

    Parameters
    ----------
    send : callable
        Sends an update to a member address; called from any thread.

    Attributes
    ----------
    history : CrashHistory
    quarantine_store : QuarantineStore or None
        Set by the node after construction; None if it uses no platform.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        events: EventLog,
        send: Callable[[str, CrashUpdate], None],
    ) -> None:
        self._directory = directory
        self._events = events
        self.quarantine_store: QuarantineStore | None = None
        self.history = CrashHistory(
            self._count_servers,
            self._report_quarantine,
            time.monotonic() + CATCH_UP_S,
        )
        self._gossip = CrashGossip(own, directory, self.history, send, time.monotonic)

    def connect(self, member: Member) -> None:
        """Exchange crash records with peers through a member."""
        member.register({CrashUpdate: self._gossip.receive})
        member.share_crash_digest(self.history.digest, self._gossip.compare_digest)

    def share(self, update: CrashUpdate, now_s: float) -> None:
        """Send an update of this node's crash history to peers."""
        self._gossip.share(update, now_s)

    def stop(self) -> None:
        """Stop writing quarantines to the store."""
        if self.quarantine_store is not None:
            self.quarantine_store.stop()

    def _count_servers(self, service: str) -> int:
        placements = self._directory.placements(service)
        return count_live_servers(placements, self.history.has_ended)

    def _report_quarantine(
        self, quarantine: Quarantine, ended: list[str], evidence: CauseEvidence
    ) -> None:
        """Emit an event when a quarantine begins or is lifted, and store the change."""
        event = "quarantine_lifted" if quarantine.is_lifted else "request_quarantined"
        self._events.emit(
            event,
            content=f"{quarantine.content_hash:016x}",
            term=quarantine.term,
            blocked_ms=quarantine.left_ms,
            backend_servers=",".join(ended) or None,
            ran_ms=",".join(f"{crash.ran_s * 1000:.0f}" for crash in evidence.crashes)
            or None,
            crashes=evidence.service_crash_count or None,
            servers=evidence.server_count or None,
        )
        if self.quarantine_store is not None:
            self.quarantine_store.record(quarantine, time.time())
