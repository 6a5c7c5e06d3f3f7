"""Messages that carry the fleet's settings from node to node.

Each message contains the sender's member address, because an answer is sent as a
separate message to that address.
"""

import msgspec

__all__ = [
    "SETTINGS_MESSAGES",
    "SettingsDelta",
    "SettingsDeltas",
    "SettingsNotice",
    "SettingsPage",
    "SettingsPagePull",
    "SettingsPull",
]


class SettingsDelta(msgspec.Struct, frozen=True):
    """One accepted change of the settings, as nodes apply it.

    Attributes
    ----------
    previous_chain, chain : str
        Digests of the history of changes, without and with this change.
    documents : dict of str to bytes or None
        The changed documents by path, each complete and as JSON; None for a removed
        document.
    accepted_ms : int
        Wall-clock time at which the writer's change was accepted.
    restart : bool
        Whether the change can't be applied to an earlier revision. All settings must
        then be loaded again.
    previous_revision : int
        Revision in force before the change; -1 stands for `revision` minus one.
    """

    revision: int
    previous_chain: str
    chain: str
    documents: dict[str, bytes | None]
    accepted_ms: int = 0
    restart: bool = False
    previous_revision: int = -1

    @property
    def base_revision(self) -> int:
        """Revision to which the change applies."""
        if self.previous_revision >= 0:
            return self.previous_revision
        return self.revision - 1


class SettingsNotice(msgspec.Struct, tag="settings_notice", frozen=True):
    """Node to node: a revision is in force at the sender and can be pulled from it."""

    address: str
    revision: int


class SettingsPull(msgspec.Struct, tag="settings_pull", frozen=True):
    """Node to node: send the changes after a revision.

    Attributes
    ----------
    above_revision : int
        Revision in force at the sender of the pull; -1 if it has no settings.
    older_revisions : tuple of int
        Revisions in force before `above_revision`, newest first. The sender of the
        pull still has the documents of these revisions, so the receiver may also send
        the changes after one of them.
    """

    address: str
    above_revision: int
    older_revisions: tuple[int, ...] = ()


class SettingsDeltas(msgspec.Struct, tag="settings_deltas", frozen=True):
    """Node to node: the requested changes, oldest first.

    Attributes
    ----------
    revision : int
        Revision in force at the sender. If it is higher than the revision of the last
        change in this message, the receiver pulls again.
    """

    address: str
    revision: int
    deltas: list[SettingsDelta]


class SettingsPagePull(msgspec.Struct, tag="settings_page_pull", frozen=True):
    """Node to node: send one page of all settings; revision -1 accepts any revision."""

    address: str
    revision: int
    page: int


class SettingsPage(msgspec.Struct, tag="settings_page", frozen=True):
    """Node to node: one page of all settings at one revision.

    Attributes
    ----------
    page, page_count : int
        Number of the page, counted from 0, and the number of pages.
    body : bytes
        Compressed documents (see `balsamspindle.settings.pages`).
    """

    address: str
    revision: int
    chain: str
    page: int
    page_count: int
    body: bytes


SETTINGS_MESSAGES = (
    SettingsDeltas,
    SettingsNotice,
    SettingsPage,
    SettingsPagePull,
    SettingsPull,
)
