"""The part of a node that knows which requests crash backend servers."""

import time
from collections.abc import Callable

from balsamspindle.crashes import CrashBook, Quarantine
from balsamspindle.crashes.keeper import QuarantineKeeper
from balsamspindle.crashes.live_servers import count_live_servers
from balsamspindle.crashes.records import CrashNews
from balsamspindle.crashes.spread import CrashSpread
from balsamspindle.crashes.verdicts import Case
from balsamspindle.membership import Directory, Member
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["CrashSide"]


class CrashSide:
    """Joins what is known of crashes to the node's other parts.

    Parameters
    ----------
    send : callable
        Takes a member address and news; safe from any thread.

    Attributes
    ----------
    book : CrashBook
    keeper : QuarantineKeeper or None
        Set where the node uses a platform.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        events: EventLog,
        send: Callable[[str, CrashNews], None],
    ) -> None:
        self._directory = directory
        self._events = events
        self.keeper: QuarantineKeeper | None = None
        self.book = CrashBook(self._count_servers, self._note_quarantine)
        self._spread = CrashSpread(own, directory, self.book, send, time.monotonic)

    def share(self, member: Member) -> None:
        """Hear of peers what they know, and tell them."""
        member.register({CrashNews: self._spread.take})
        member.share_crash_digest(self.book.digest, self._spread.compare)

    def tell(self, news: CrashNews, now_s: float) -> None:
        """Pass on what is new here."""
        self._spread.tell(news, now_s)

    def stop(self) -> None:
        """Write nothing more into the store."""
        if self.keeper is not None:
            self.keeper.stop()

    def _count_servers(self, service: str) -> int:
        placements = self._directory.placements(service)
        return count_live_servers(placements, self.book.has_ended)

    def _note_quarantine(
        self, quarantine: Quarantine, ended: list[str], case: Case
    ) -> None:
        """Say which request crashes backend servers, and which ones it ended."""
        event = "quarantine_lifted" if quarantine.is_lifted else "request_quarantined"
        self._events.emit(
            event,
            content=f"{quarantine.content:016x}",
            term=quarantine.term,
            blocked_ms=quarantine.left_ms,
            backend_servers=",".join(ended) or None,
            ran_ms=",".join(f"{hit.ran_s * 1000:.0f}" for hit in case.hits) or None,
            crashes=case.crashes or None,
            servers=case.servers or None,
        )
        if self.keeper is not None:
            self.keeper.note(quarantine, time.time())
