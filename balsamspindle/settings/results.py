"""How an edit of the settings ends: accepted, not accepted, or not known."""

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
    """The change is accepted at this revision."""

    revision: int
    operation_id: str = ""


class InvalidSettings(msgspec.Struct, frozen=True):
    """Not accepted: the change would make settings with these faults."""

    faults: list[Fault]

    @property
    def message(self) -> str:
        """All faults with their paths, one a line."""
        return "\n".join(f"{fault.path}: {fault.message}" for fault in self.faults)


class NotOwner(msgspec.Struct, frozen=True):
    """Not accepted: the key shown does not open this subtree."""

    message: str


class SettingsConflict(msgspec.Struct, frozen=True):
    """Not accepted: somebody else changed the subtree meanwhile.

    Attributes
    ----------
    author, paths, revision
        Who changed what, at which revision.
    """

    message: str
    author: str = ""
    revision: int = 0
    paths: list[str] = []


class SettingsUnavailable(msgspec.Struct, frozen=True):
    """Not accepted: the platform could not be used; nothing was written."""

    message: str


class Withdrawn(msgspec.Struct, frozen=True):
    """Not accepted, and it can't be accepted any more: it was settled so."""

    message: str


class NotKnown(msgspec.Struct, frozen=True):
    """No reply to a write: ask `SettingsStore.settle` with the operation id."""

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
