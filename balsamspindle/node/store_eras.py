"""Shares eras of the store; a new era begins when an older copy is restored."""

import threading
import time
from collections.abc import Callable

from balsamspindle.membership import Directory, Member
from balsamspindle.membership.fanout import Fanout
from balsamspindle.tables import StoreEras
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NewStoreEra, NodeRecord

__all__ = ["NodeEras"]


# Shortest time between two messages in which a node requests that its peers write lost
# claims again. The node repeats the request while callers wait for these claims,
# because a message may be lost on the way.
CLAIMS_REQUEST_INTERVAL_S = 1.0


class NodeEras:
    """Shares eras of the store with peers; notifies parts of this node of new eras.

    Attributes
    ----------
    known : StoreEras
        The newest known era, for all clients of the store in this process.
    """

    def __init__(
        self, events: EventLog, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._events = events
        self._clock = clock
        self._lock = threading.Lock()
        self._new_era_handlers: list[Callable[[], None]] = []
        self._claims_request_handlers: list[Callable[[int], None]] = []
        self._requested_era = 0
        self._requested_s = float("-inf")
        self._notify_peers: Callable[[NewStoreEra], None] = lambda message: None
        self.known = StoreEras(
            self._report_new_era,
            lambda cause: events.emit("store_era_odd", cause=cause),
        )

    def on_new_era(self, handler: Callable[[], None]) -> None:
        """Register a handler for the start of each new era; it must not block."""
        self._new_era_handlers.append(handler)

    def on_claims_request(self, handler: Callable[[int], None]) -> None:
        """Register a callable for requests to write lost claims again.

        The callable takes the era. It is called once for each era, when this node makes
        its first such request or receives one from a peer.
        """
        self._claims_request_handlers.append(handler)

    def connect(self, own: NodeRecord, directory: Directory, member: Member) -> None:
        """Exchange new eras and requests for lost claims with peers via a member."""
        fanout = Fanout(own, directory, "eras")

        def notify_peers(message: NewStoreEra) -> None:
            with self._lock:
                addresses = fanout.choose()
            for address in addresses:
                member.send(address, message)

        self._notify_peers = notify_peers
        member.register({NewStoreEra: self._receive})
        member.share_store_era(lambda: self.known.newest, self.known.record_era)

    def request_claims(self, era: int) -> None:
        """Request that all nodes write lost claims again, because callers need them.

        Does nothing if two conditions hold. First, this method sent a request, for any
        era, less than `CLAIMS_REQUEST_INTERVAL_S` ago. Second, this node has recorded
        a request for `era` or a later era. A node records the requests that it makes
        and those that it receives from peers.
        """
        now_s = self._clock()
        if (
            now_s - self._requested_s < CLAIMS_REQUEST_INTERVAL_S
            and era <= self._requested_era
        ):
            return
        self._requested_s = now_s
        self._record_request(era)
        self._notify_peers(NewStoreEra(claims_requested=True))

    def _receive(self, message: NewStoreEra) -> None:
        # The message's `Sender` contains the peer's era, which was recorded before this
        # call.
        if message.claims_requested and self._record_request(self.known.newest):
            self._notify_peers(message)

    def _record_request(self, era: int) -> bool:
        """Record a request that nodes write their claims again in an era.

        Returns
        -------
        bool
            Whether no request for this era or a later one was recorded before.
        """
        with self._lock:
            is_new = era > self._requested_era
            self._requested_era = max(self._requested_era, era)
        if is_new:
            for handler in self._claims_request_handlers:
                handler(era)
        return is_new

    def _report_new_era(self, era: int) -> None:
        self._events.emit("store_came_back", era=era)
        self._notify_peers(NewStoreEra())
        for handler in self._new_era_handlers:
            handler()
