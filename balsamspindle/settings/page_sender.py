"""Sends the pages of all settings to peers that download them."""

from collections.abc import Callable
from typing import Any

from balsamspindle.settings.configuration import Configuration, CurrentConfiguration
from balsamspindle.settings.pages import pages_of_documents
from balsamspindle.wire.settings_messages import SettingsPage

__all__ = ["PageSender"]

# Number of revisions for which a node stores the pages that it sends to peers. A page
# is a compressed part of a revision's documents; see `pages_of_documents`.
PAGED_REVISIONS_MAX = 2


class PageSender:
    """Builds and sends pages of the settings in force; used by one task alone.

    Parameters
    ----------
    own_address : str
        Member address of this node.
    send : callable
        Sends a message to a member address.
    """

    def __init__(
        self,
        own_address: str,
        send: Callable[[str, Any], None],
        configuration: CurrentConfiguration,
    ) -> None:
        self._own_address = own_address
        self._send = send
        self._configuration = configuration
        self._pages_by_revision: dict[int, tuple[str, list[bytes]]] = {}

    def send_page(self, address: str, revision: int, page: int) -> None:
        """Send a page; send the first page of the revision in force if it is newer."""
        own = self._configuration.get()
        if own is None:
            return
        if revision not in self._pages_by_revision:
            self._build_pages(own)
            if revision != own.revision:
                revision, page = own.revision, 0
        chain, pages = self._pages_by_revision[revision]
        if 0 <= page < len(pages):
            body = pages[page]
            self._send(
                address,
                SettingsPage(
                    self._own_address, revision, chain, page, len(pages), body
                ),
            )

    def _build_pages(self, own: Configuration) -> None:
        """Build the pages of a configuration if they have not been built yet.

        The pages of the previous revision are kept, so that peers that are
        downloading them can finish.
        """
        if own.revision in self._pages_by_revision:
            return
        self._pages_by_revision[own.revision] = (
            own.chain,
            pages_of_documents(own.documents),
        )
        while len(self._pages_by_revision) > PAGED_REVISIONS_MAX:
            del self._pages_by_revision[min(self._pages_by_revision)]
