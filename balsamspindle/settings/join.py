"""How a node without settings takes all of them from its peers.

It asks several peers for their revision, takes the highest of those that
answer in time, and pulls that peer's settings page by page.
"""

from enum import StrEnum

from balsamspindle.settings.pages import documents_of_pages
from balsamspindle.wire.settings_messages import SettingsPage

__all__ = ["Join", "JoinStep"]

OFFERS_WANTED = 3
OFFERS_WAIT_S = 0.3
PAGE_TIMEOUT_S = 2.0
PAGES_MAX = 4096


class JoinStep(StrEnum):
    """What a joining node does next."""

    ASK = "ask"
    WAIT = "wait"
    PULL = "pull"


class Join:
    """Offers of peers, and the pages pulled from the best of them.

    Attributes
    ----------
    source : str or None
        Member address of the peer that the pages come from.
    revision : int
        Of the pages; -1 before the first page.
    """

    def __init__(self) -> None:
        self._offers: dict[str, int] = {}
        self._first_offer_s = 0.0
        self._heard_s = 0.0
        self._pages: dict[int, bytes] = {}
        self.source: str | None = None
        self.revision = -1

    def offer(self, address: str, revision: int, now_s: float) -> None:
        """Take a peer's word that it has settings of a revision."""
        if not self._offers:
            self._first_offer_s = now_s
        self._offers[address] = revision

    def next_step(self, now_s: float) -> JoinStep:
        """Return what to do now; `PULL` sets the source."""
        if self.source is not None:
            if now_s - self._heard_s <= PAGE_TIMEOUT_S:
                return JoinStep.WAIT
            # The peer stopped answering: begin again with the others.
            self._offers.pop(self.source, None)
            self._forget()
        if not self._offers:
            return JoinStep.ASK
        waited_s = now_s - self._first_offer_s
        if len(self._offers) < OFFERS_WANTED and waited_s < OFFERS_WAIT_S:
            return JoinStep.WAIT
        # The first peer to answer may be one that was cut off and lags: a
        # node that booted from it would serve settings older than those it
        # had before it was replaced. So the highest of several counts.
        self.source = max(self._offers, key=lambda address: self._offers[address])
        self._heard_s = now_s
        return JoinStep.PULL

    def take(self, page: SettingsPage, now_s: float) -> int | None:
        """Take a page; return the number of the next one, None when whole."""
        if page.page_count > PAGES_MAX:
            return None
        if page.revision != self.revision:
            self._pages.clear()
            self.revision = page.revision
        self._heard_s = now_s
        self._pages[page.page] = page.body
        missing = (n for n in range(page.page_count) if n not in self._pages)
        return next(missing, None)

    def documents(self) -> dict[str, bytes]:
        """Return the documents of all pages; ValueError for damaged ones."""
        try:
            return documents_of_pages(self._pages[n] for n in sorted(self._pages))
        finally:
            self._forget()

    def _forget(self) -> None:
        self.source = None
        self.revision = -1
        self._pages.clear()
