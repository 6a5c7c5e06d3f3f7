"""Brings what one node learns of crashes to all nodes within a second.

Who hears news passes them on once, to a few peers: so they reach nearly all within
some hops of milliseconds, also while the platform is away. With each message between
members goes a digest of what its sender knows; where two differ and no news are under
way, they send each other all of it. So a node that missed news, was cut off or has
just started knows as much as the others within about a second of its first message.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable

from balsamspindle.crashes.book import CrashBook
from balsamspindle.crashes.records import CrashNews
from balsamspindle.membership.directory import Directory
from balsamspindle.membership.fanout import Fanout
from balsamspindle.wire import NodeRecord

__all__ = ["CrashSpread"]

# While own knowledge is that new the peer's may be on its way here.
SETTLES_WITHIN_S = 0.4
REPAIR_INTERVAL_S = 0.8
REPAIRED_KEPT = 1000
# What a peer is likely to have missed; where it knows less it is sent all.
RECENT_S = 15.0
# What one message tells; with six runs each some 5 KB.
CRASHES_PER_MESSAGE = 40
QUARANTINES_PER_MESSAGE = 100


class CrashSpread:
    """Sends and takes news of crashes; safe from all threads.

    Parameters
    ----------
    send : callable
        Takes a member address and a message; safe from any thread.
    clock : callable
        Tells the present time.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        book: CrashBook,
        send: Callable[[str, CrashNews], None],
        clock: Callable[[], float],
    ) -> None:
        self._fanout = Fanout(own, directory, "crashes")
        self._book = book
        self._send = send
        self._clock = clock
        self._lock = threading.Lock()
        self._changed_s = float("-inf")
        # When peers were sent something for their digest, while it differs.
        self._repaired_s: OrderedDict[str, float] = OrderedDict()

    def tell(self, news: CrashNews, now_s: float) -> None:
        """Pass on what is new here."""
        if not news.crashes and not news.quarantines:
            return
        with self._lock:
            self._changed_s = now_s
            addresses = self._fanout.choose()
        for address in addresses:
            self._send_all(address, news)

    def take(self, news: CrashNews) -> None:
        """Take a peer's news and pass on what was not known here."""
        now_s = self._clock()
        self.tell(self._book.take(news, now_s), now_s)

    def compare(self, address: str, digest: int, now_s: float) -> None:
        """Take a peer's digest; send it all where it knows something else."""
        is_same = digest == self._book.digest()
        with self._lock:
            if is_same:
                self._repaired_s.pop(address, None)
                return
            if now_s - self._changed_s < SETTLES_WITHIN_S:
                return
            repaired_s = self._repaired_s.get(address)
            if repaired_s is not None and now_s - repaired_s < REPAIR_INTERVAL_S:
                return
            self._repaired_s[address] = now_s
            self._repaired_s.move_to_end(address)
            if len(self._repaired_s) > REPAIRED_KEPT:
                self._repaired_s.popitem(last=False)
        if repaired_s is None:
            self._send_all(address, self._book.all(now_s, RECENT_S))
        else:
            self._send_all(address, self._book.all(now_s))

    def _send_all(self, address: str, news: CrashNews) -> None:
        """Send news in messages that each fit a node's byte cap.

        One goes in any case: an empty one shows the peer by its digest that this
        node knows less.
        """
        crashes, quarantines = news.crashes, news.quarantines
        is_first = True
        while is_first or crashes or quarantines:
            is_first = False
            message = CrashNews(
                crashes[:CRASHES_PER_MESSAGE], quarantines[:QUARANTINES_PER_MESSAGE]
            )
            self._send(address, message)
            crashes = crashes[CRASHES_PER_MESSAGE:]
            quarantines = quarantines[QUARANTINES_PER_MESSAGE:]
