"""The latest changes that came in force, kept for peers that lack them."""

from collections import deque

from balsamspindle.wire.settings_messages import SettingsDelta

__all__ = ["RecentChanges"]

CHANGES_MAX = 512
BYTES_MAX = 1024 * 1024
# As for pages: what the byte cap never has room for would never be sent.
ANSWER_MAX_BYTES = 32 * 1024


class RecentChanges:
    """Consecutive changes up to the revision in force, bounded in size."""

    def __init__(self) -> None:
        self._deltas: deque[SettingsDelta] = deque()
        self._bytes = 0

    def append(self, delta: SettingsDelta) -> None:
        """Add the change that just came in force."""
        self._deltas.append(delta)
        self._bytes += _size(delta)
        while len(self._deltas) > CHANGES_MAX or self._bytes > BYTES_MAX:
            self._bytes -= _size(self._deltas.popleft())

    def clear(self) -> None:
        """Forget all: whole settings came in force."""
        self._deltas.clear()
        self._bytes = 0

    def above(self, revision: int) -> list[SettingsDelta]:
        """Return the changes that follow a revision, as many as one answer takes.

        Nothing when the change right after it is not kept.
        """
        if not self._deltas or self._deltas[0].revision > revision + 1:
            return []
        answer: list[SettingsDelta] = []
        answer_bytes = 0
        for delta in self._deltas:
            if delta.revision <= revision:
                continue
            answer_bytes += _size(delta)
            if answer and answer_bytes > ANSWER_MAX_BYTES:
                break
            answer.append(delta)
        return answer


def _size(delta: SettingsDelta) -> int:
    documents = delta.documents.items()
    return sum(len(path) + len(document or b"") for path, document in documents)
