"""The latest changes that came in force, stored for peers that lack them."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from balsamspindle.wire.settings_messages import SettingsDelta

__all__ = ["RecentChanges", "changed_documents", "difference"]

CHANGES_MAX = 512
BYTES_MAX = 1024 * 1024
# Maximum size of the changes in one answer; an answer with a single change may be
# larger. An answer larger than the byte cap ever allows would never be sent.
ANSWER_MAX_BYTES = 32 * 1024
# Number of older revisions that a node lists in a pull. They reach back some seconds
# when a few changes are accepted each second.
OLDER_REVISIONS_MAX = 16


def difference(
    before: Mapping[str, bytes], after: Mapping[str, bytes]
) -> dict[str, bytes | None]:
    """Return the added and changed documents by path, and None for removed ones."""
    changed: dict[str, bytes | None] = {
        path: document
        for path, document in after.items()
        if before.get(path) != document
    }
    changed.update(dict.fromkeys(before.keys() - after.keys()))
    return changed


def changed_documents(
    documents: Mapping[str, bytes], changed: Mapping[str, bytes | None]
) -> dict[str, bytes]:
    """Return the documents after a change; a None in `changed` removes a document."""
    after = {**documents, **changed}
    return {path: document for path, document in after.items() if document is not None}


class _RecentChange(NamedTuple):
    """A change and the documents it replaced; None for a document that it added."""

    delta: SettingsDelta
    replaced: dict[str, bytes | None]


class RecentChanges:
    """Consecutive changes up to the revision in force, limited in number and size."""

    def __init__(self) -> None:
        self._changes: deque[_RecentChange] = deque()
        self._bytes = 0

    def append(
        self, delta: SettingsDelta, documents: Mapping[str, bytes] | None = None
    ) -> None:
        """Add the change that just came in force.

        Parameters
        ----------
        documents : mapping, optional
            The documents in force before the change.
        """
        replaced = {path: (documents or {}).get(path) for path in delta.documents}
        self._changes.append(_RecentChange(delta, replaced))
        self._bytes += _size(delta)
        while len(self._changes) > CHANGES_MAX or self._bytes > BYTES_MAX:
            self._bytes -= _size(self._changes.popleft().delta)

    def clear(self) -> None:
        """Discard all changes; used when a whole configuration came in force."""
        self._changes.clear()
        self._bytes = 0

    def changes_above(self, revision: int) -> list[SettingsDelta]:
        """Return the changes after a revision, as many as fit into one message.

        The list is empty if the change directly after the revision is not stored.
        """
        answer: list[SettingsDelta] = []
        answer_bytes = 0
        for delta, _ in self._changes:
            if not answer and delta.base_revision != revision:
                continue
            answer_bytes += _size(delta)
            if answer and answer_bytes > ANSWER_MAX_BYTES:
                break
            answer.append(delta)
        return answer

    def older_revisions(self) -> tuple[int, ...]:
        """Return the latest revisions before the one in force, newest first."""
        bases = [delta.base_revision for delta, _ in self._changes]
        return tuple(bases[: -OLDER_REVISIONS_MAX - 1 : -1])

    def documents_at(
        self, revision: int, chain: str, documents: Mapping[str, bytes]
    ) -> dict[str, bytes] | None:
        """Return the documents of an older revision.

        Returns None if no stored change both applies directly to `revision` and
        follows the history of changes whose digest is `chain`.

        Parameters
        ----------
        chain : str
            Digest of the history of changes up to the older revision.
        documents : mapping
            The documents in force now.
        """
        restored_documents: dict[str, bytes | None] = {}
        for delta, replaced in reversed(self._changes):
            restored_documents.update(replaced)
            if delta.base_revision == revision and delta.previous_chain == chain:
                return changed_documents(documents, restored_documents)
        return None


def _size(delta: SettingsDelta) -> int:
    documents = delta.documents.items()
    return sum(len(path) + len(document or b"") for path, document in documents)
