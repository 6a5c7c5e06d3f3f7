"""Outcomes of an edit of the settings: accepted, not accepted, or unknown."""

import msgspec

from balsamspindle.settings.validation import Fault

__all__ = [
    "Accepted",
    "EditError",
    "InvalidSettings",
    "NotKnown",
    "NotOwner",
    "SettingsConflict",
    "SettingsUnavailable",
    "Withdrawn",
]


class Accepted(msgspec.Struct, frozen=True):
    """The edit was accepted and became revision `revision`."""

    revision: int
    operation_id: str = ""


class InvalidSettings(msgspec.Struct, frozen=True):
    """Not accepted: the settings after the edit would have the listed faults."""

    faults: list[Fault]

    @property
    def message(self) -> str:
        """All faults with their paths, one per line."""
        return "\n".join(f"{fault.path}: {fault.message}" for fault in self.faults)


class NotOwner(msgspec.Struct, frozen=True):
    """Not accepted: the submitted key does not permit edits of this subtree."""

    message: str


class SettingsConflict(msgspec.Struct, frozen=True):
    """Not accepted: another edit changed the subtree first.

    Attributes
    ----------
    author, paths, revision
        The author, the changed paths and the revision of the other edit.
    """

    message: str
    author: str = ""
    revision: int = 0
    paths: list[str] = []


class SettingsUnavailable(msgspec.Struct, frozen=True):
    """Not accepted: the platform did not answer; nothing was written."""

    message: str


class Withdrawn(msgspec.Struct, frozen=True):
    """Not accepted: the operation is recorded as withdrawn.

    A delayed write of the edit will fail, because it checks that the operation has no
    row.
    """

    message: str


class NotKnown(msgspec.Struct, frozen=True):
    """A write got no reply; `SettingsStore.settle` determines the outcome."""

    message: str
    operation_id: str = ""


EditError = (
    InvalidSettings
    | NotOwner
    | SettingsConflict
    | SettingsUnavailable
    | Withdrawn
    | NotKnown
)
