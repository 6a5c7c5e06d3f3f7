"""Which requests were answered lately, known crash or not."""

import math

__all__ = ["ANSWER_HOLDS_S", "RecentAnswers"]

# News of a crash, and of a quarantine, may come so much later than an answer.
ANSWER_HOLDS_S = 10.0
ANSWERS_MAX = 10_000


class RecentAnswers:
    """Remembers answers for `ANSWER_HOLDS_S` and up to twice that.

    Load: each answer of each request. Two tables take turns, so that nothing is
    searched for old entries and no lock is taken; two threads that turn them at the
    same moment lose one table.
    """

    def __init__(self) -> None:
        self._new: dict[int, float] = {}
        self._old: dict[int, float] = {}
        self._turned_s = -math.inf

    def note(self, content: int, now_s: float) -> None:
        """Take that a request was answered."""
        if now_s - self._turned_s > ANSWER_HOLDS_S or len(self._new) >= ANSWERS_MAX:
            self._old, self._new, self._turned_s = self._new, {}, now_s
        self._new[content] = now_s

    def answered_s(self, content: int) -> float:
        """Return when a request was answered last; minus infinity for not lately."""
        found = self._new.get(content)
        return self._old.get(content, -math.inf) if found is None else found
