"""How a node without settings takes all of them from its peers.

It asks several peers for their revision, takes the highest of those that
answer in time, and pulls the pages from all that have it: each peer sends
within its own byte cap, so many peers are faster than one.
"""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.settings.pages import documents_of_pages
from balsamspindle.wire.settings_messages import SettingsPage

__all__ = ["Join", "JoinStep", "PageRequest"]

OFFERS_WANTED = 8
OFFERS_WAIT_S = 0.3
PAGE_TIMEOUT_S = 1.0
PAGES_MAX = 4096
# A peer that is at its byte cap drops a page and can send it a little later.
MISSES_MAX = 3


class JoinStep(StrEnum):
    """What a joining node does next."""

    ASK = "ask"
    WAIT = "wait"
    PULL = "pull"


class PageRequest(NamedTuple):
    """A page to ask a peer for."""

    address: str
    revision: int
    page: int


class Join:
    """Offers of peers, and the pages pulled from the best of them.

    Attributes
    ----------
    revision : int
        Of the pages that are being pulled; -1 before.
    offered_revision : int
        Highest revision that a peer offered; -1 before the first offer.
    """

    def __init__(self) -> None:
        self._offers: dict[str, int] = {}
        self._first_offer_s = 0.0
        self._asked: dict[str, tuple[int, float]] = {}
        self._misses: Counter[str] = Counter()
        self._pages: dict[int, bytes] = {}
        self._pages_revision = -1
        self._page_count = 1
        self.revision = -1
        self.offered_revision = -1

    def offer(self, address: str, revision: int, now_s: float) -> None:
        """Take a peer's word that it has settings of a revision."""
        if not self._offers:
            self._first_offer_s = now_s
        self._offers[address] = revision
        self.offered_revision = max(self.offered_revision, revision)

    def next_step(self, now_s: float) -> JoinStep:
        """Return what to do now."""
        if self.revision >= 0:
            return JoinStep.PULL
        if not self._offers:
            return JoinStep.ASK
        waited_s = now_s - self._first_offer_s
        if len(self._offers) < OFFERS_WANTED and waited_s < OFFERS_WAIT_S:
            return JoinStep.WAIT
        # The first peer to answer may be one that was cut off and lags: a
        # node that booted from it would serve settings older than those it
        # had before it was replaced. So the highest of several counts.
        self._begin(max(self._offers.values()))
        return JoinStep.PULL

    def requests(self, now_s: float) -> list[PageRequest]:
        """Return the pages to ask for now, one at a time from each peer."""
        self._drop_silent(now_s)
        asked = {page for page, _ in self._asked.values()}
        wanted = [
            page
            for page in range(self._page_count)
            if page not in self._pages and page not in asked
        ]
        idle = [
            address
            for address, revision in self._offers.items()
            if revision == self.revision and address not in self._asked
        ]
        requests = [
            PageRequest(address, self.revision, page)
            for address, page in zip(idle, wanted, strict=False)
        ]
        for request in requests:
            self._asked[request.address] = (request.page, now_s)
        return requests

    def take(self, page: SettingsPage) -> bool:
        """Take a page; return True when all are there."""
        self._asked.pop(page.address, None)
        self._misses.pop(page.address, None)
        if page.revision < self.revision or not _is_sound(page):
            return False
        if page.revision > self.revision:
            # The peer has moved on meanwhile and no longer has the old pages.
            self._begin(page.revision)
        self._offers[page.address] = page.revision
        self._page_count = page.page_count
        self._pages[page.page] = page.body
        return len(self._pages) == page.page_count

    def documents(self) -> dict[str, bytes]:
        """Return the documents of all pages; ValueError for damaged ones."""
        try:
            return documents_of_pages(self._pages[n] for n in sorted(self._pages))
        finally:
            self._offers.clear()
            self._pages.clear()
            self._begin(-1)

    def _begin(self, revision: int) -> None:
        self.revision = revision
        self._asked.clear()
        if revision >= 0 and revision != self._pages_revision:
            self._pages_revision = revision
            self._page_count = 1
            self._pages.clear()

    def _drop_silent(self, now_s: float) -> None:
        """Forget peers that stopped answering; begin anew without any."""
        for address, (_, asked_s) in list(self._asked.items()):
            if now_s - asked_s <= PAGE_TIMEOUT_S:
                continue
            del self._asked[address]
            self._misses[address] += 1
            if self._misses[address] >= MISSES_MAX:
                del self._misses[address]
                self._offers.pop(address, None)
        if self.revision not in self._offers.values():
            self._begin(-1)


def _is_sound(page: SettingsPage) -> bool:
    return 0 <= page.page < page.page_count <= PAGES_MAX
