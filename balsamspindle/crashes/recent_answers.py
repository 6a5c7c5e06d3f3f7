"""Records which requests were answered recently."""

import math

__all__ = ["ANSWER_VALID_S", "RecentAnswers"]

# How long an answer is used after this node has learned of it. During this time, a peer
# that does not know of the answer may still report a quarantine of the request, or a
# crash in which the request was lost.
ANSWER_VALID_S = 10.0
ANSWERS_MAX = 10_000


class RecentAnswers:
    """Stores each answer for `ANSWER_VALID_S` to twice as long; thread-safe.

    `record` is called for each answer to each request, so it neither takes a lock nor
    searches for old entries. New answers go into one of two tables. After
    `ANSWER_VALID_S`, the older table is discarded and new answers go into an empty one.
    If two threads do this at the same moment, one table of answers is lost.
    """

    def __init__(self) -> None:
        self._new: dict[int, float] = {}
        self._old: dict[int, float] = {}
        self._rotated_s = -math.inf

    def record(self, content_hash: int, now_s: float) -> None:
        """Record that a request was answered."""
        if now_s - self._rotated_s > ANSWER_VALID_S or len(self._new) >= ANSWERS_MAX:
            self._old, self._new, self._rotated_s = self._new, {}, now_s
        self._new[content_hash] = now_s

    def answered_s(self, content_hash: int) -> float:
        """Return the time of a request's last answer; minus infinity if not known."""
        found = self._new.get(content_hash)
        return self._old.get(content_hash, -math.inf) if found is None else found
