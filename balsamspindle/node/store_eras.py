"""What a node does when the store comes back from an older copy of itself."""

import threading
import time
from collections.abc import Callable

from balsamspindle.membership import Directory, Member
from balsamspindle.membership.fanout import Fanout
from balsamspindle.tables import StoreEras
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord, StoreCameBack

__all__ = ["NodeEras"]


# While callers wait for claims, how often peers are told again: messages get lost.
TELL_AGAIN_S = 1.0


class NodeEras:
    """Follows the eras of the store together with the other nodes.

    Attributes
    ----------
    known : StoreEras
        For all who call the store.
    """

    def __init__(
        self, events: EventLog, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._events = events
        self._clock = clock
        self._lock = threading.Lock()
        self._on_new: list[Callable[[], None]] = []
        self._on_wanted: list[Callable[[int], None]] = []
        self._wanted_era = 0
        self._told_s = float("-inf")
        self._tell: Callable[[StoreCameBack], None] = lambda message: None
        self.known = StoreEras(
            self._begin, lambda cause: events.emit("store_era_odd", cause=cause)
        )

    def on_new(self, handler: Callable[[], None]) -> None:
        """Have a callable called when an era begins; it must return at once."""
        self._on_new.append(handler)

    def on_wanted(self, handler: Callable[[int], None]) -> None:
        """Have a callable told an era in which callers wait for lost claims."""
        self._on_wanted.append(handler)

    def share(self, own: NodeRecord, directory: Directory, member: Member) -> None:
        """Tell peers of a new era, and hear of it from them."""
        fanout = Fanout(own, directory, "eras")

        def tell(message: StoreCameBack) -> None:
            with self._lock:
                addresses = fanout.choose()
            for address in addresses:
                member.send(address, message)

        self._tell = tell
        member.register({StoreCameBack: self._take})
        member.share_store_era(lambda: self.known.newest, self.known.record_era)

    def want_claims(self, era: int) -> None:
        """Take that callers here wait for the claims that the store has lost."""
        now_s = self._clock()
        if now_s - self._told_s < TELL_AGAIN_S and era <= self._wanted_era:
            return
        self._told_s = now_s
        self._want(era)
        self._tell(StoreCameBack(wants_claims=True))

    def _take(self, message: StoreCameBack) -> None:
        # The peer's era was taken with its word of itself.
        if message.wants_claims and self._want(self.known.newest):
            self._tell(message)

    def _want(self, era: int) -> bool:
        """Take an era whose claims are wanted; tell whether that is new here."""
        with self._lock:
            is_new = era > self._wanted_era
            self._wanted_era = max(self._wanted_era, era)
        if is_new:
            for handler in self._on_wanted:
                handler(era)
        return is_new

    def _begin(self, era: int) -> None:
        self._events.emit("store_came_back", era=era)
        self._tell(StoreCameBack())
        for handler in self._on_new:
            handler()
