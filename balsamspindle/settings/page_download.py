"""Downloads all settings, page by page, from several peers.

A node without settings asks several peers for their revision, selects the highest
revision that is offered in time, and pulls the pages from all peers that offered this
revision. Each peer sends within its own byte cap, so several peers together send all
pages faster than one peer.
"""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.settings.pages import documents_of_pages
from balsamspindle.wire.settings_messages import SettingsPage

__all__ = ["DownloadStep", "PageDownload", "PageRequest"]

# A download starts after `OFFERS_WANTED` offers, or `OFFERS_WAIT_MAX_S` after the first
# offer if there are fewer by then.
OFFERS_WANTED = 8
OFFERS_WAIT_MAX_S = 0.3
PAGE_TIMEOUT_S = 1.0
PAGES_MAX = 4096
# A peer's offer is discarded after this many timeouts in a row, not after the first: a
# peer that has used up its byte cap drops a page, but can send the page when it is
# requested again.
TIMEOUTS_MAX = 3


class DownloadStep(StrEnum):
    """What a node without settings does next.

    Attributes
    ----------
    ASK
        Ask peers for their revisions.
    WAIT
        Wait for the offers of more peers.
    PULL
        Request pages of the selected revision.
    """

    ASK = "ask"
    WAIT = "wait"
    PULL = "pull"


class PageRequest(NamedTuple):
    """A page to request from a peer."""

    address: str
    revision: int
    page: int


class PageDownload:
    """Revisions that peers offered, and the pages received so far.

    Attributes
    ----------
    revision : int
        Revision that is being downloaded; -1 when there is no download.
    offered_revision : int
        Highest revision that a peer offered; -1 before the first offer.
    """

    def __init__(self) -> None:
        self._offers: dict[str, int] = {}
        self._first_offer_s = 0.0
        self._requested: dict[str, tuple[int, float]] = {}
        self._timeouts: Counter[str] = Counter()
        self._pages: dict[int, bytes] = {}
        self._pages_revision = -1
        self._page_count = 1
        self.revision = -1
        self.offered_revision = -1

    def record_offer(self, address: str, revision: int, now_s: float) -> None:
        """Record that a peer has the settings of a revision."""
        if not self._offers:
            self._first_offer_s = now_s
        self._offers[address] = revision
        self.offered_revision = max(self.offered_revision, revision)

    def next_step(self, now_s: float) -> DownloadStep:
        """Return the next step; select the revision once enough peers have offered."""
        if self.revision >= 0:
            return DownloadStep.PULL
        if not self._offers:
            return DownloadStep.ASK
        waited_s = now_s - self._first_offer_s
        if len(self._offers) < OFFERS_WANTED and waited_s < OFFERS_WAIT_MAX_S:
            return DownloadStep.WAIT
        # The node awaits several offers and selects the highest revision, because the
        # first peer to answer may have been partitioned from the fleet and may offer an
        # old revision. With this revision, a node that replaces another one would route
        # requests by older settings than its predecessor.
        self._restart(max(self._offers.values()))
        return DownloadStep.PULL

    def next_requests(self, now_s: float) -> list[PageRequest]:
        """Return the pages to request now; each peer has at most one open request."""
        self._expire_requests(now_s)
        requested_pages = {page for page, _ in self._requested.values()}
        missing_pages = [
            page
            for page in range(self._page_count)
            if page not in self._pages and page not in requested_pages
        ]
        idle_peers = [
            address
            for address, revision in self._offers.items()
            if revision == self.revision and address not in self._requested
        ]
        requests = [
            PageRequest(address, self.revision, page)
            for address, page in zip(idle_peers, missing_pages, strict=False)
        ]
        for request in requests:
            self._requested[request.address] = (request.page, now_s)
        return requests

    def receive(self, page: SettingsPage) -> bool:
        """Store a page from a peer; return whether the download is complete."""
        self._requested.pop(page.address, None)
        self._timeouts.pop(page.address, None)
        if page.revision < self.revision or not _is_valid(page):
            return False
        if page.revision > self.revision:
            # The peer has put a newer revision in force and no longer keeps the pages
            # of the requested revision.
            self._restart(page.revision)
        self._offers[page.address] = page.revision
        self._page_count = page.page_count
        self._pages[page.page] = page.body
        return len(self._pages) == page.page_count

    def pop_documents(self) -> dict[str, bytes]:
        """Return the documents of all pages and reset the download.

        Raises
        ------
        ValueError
            A page is damaged.
        """
        try:
            return documents_of_pages(self._pages[n] for n in sorted(self._pages))
        finally:
            self._offers.clear()
            self._pages.clear()
            self._restart(-1)

    def _restart(self, revision: int) -> None:
        self.revision = revision
        self._requested.clear()
        if revision >= 0 and revision != self._pages_revision:
            self._pages_revision = revision
            self._page_count = 1
            self._pages.clear()

    def _expire_requests(self, now_s: float) -> None:
        """Expire requests that time out; discard offers of peers that do not answer.

        Resets the download if no peer still offers the revision that is downloaded.
        """
        for address, (_, requested_s) in list(self._requested.items()):
            if now_s - requested_s <= PAGE_TIMEOUT_S:
                continue
            del self._requested[address]
            self._timeouts[address] += 1
            if self._timeouts[address] >= TIMEOUTS_MAX:
                del self._timeouts[address]
                self._offers.pop(address, None)
        if self.revision not in self._offers.values():
            self._restart(-1)


def _is_valid(page: SettingsPage) -> bool:
    return 0 <= page.page < page.page_count <= PAGES_MAX
