"""Records what the backend servers beside this node announced in their answers.

Terms belong to one lifetime of a backend server: after a restart it has none until an
answer names some. They stay in force between answers.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from balsamspindle.protocol.announced_terms import AnnouncedTerms
from balsamspindle.timeline import EventLog

__all__ = ["AnswerTiming", "TermsTable"]

LIFETIMES_MAX = 1000


class AnswerTiming(NamedTuple):
    """When an answer's request was sent and when the answer arrived, and its use.

    Attributes
    ----------
    may_end_limit : bool
        Whether the limit ends if the answer names none. Errors, refusals and incomplete
        answers may lack a header that the backend server's other answers have.
    """

    sent_s: float
    received_s: float
    may_end_limit: bool = True


@dataclass
class _Terms:
    """Terms of one lifetime.

    Attributes
    ----------
    named_s : float
        When the last answer that names a limit arrived.
    """

    boot_id: str
    limit_per_s: float | None = None
    is_leaving: bool = False
    named_s: float = 0.0


class TermsTable:
    """The terms of the backend servers beside this node, by id; thread-safe."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._lock = threading.Lock()
        self._terms: OrderedDict[str, _Terms] = OrderedDict()

    def limit_per_s(self, server_id: str, boot_id: str) -> float | None:
        """Return the limit that a backend server names; None if it names none."""
        with self._lock:
            terms = self._terms.get(server_id)
            is_same = terms is not None and terms.boot_id == boot_id
            return terms.limit_per_s if is_same else None

    def record_answer(
        self,
        server_id: str,
        boot_id: str,
        announced: AnnouncedTerms,
        timing: AnswerTiming,
    ) -> None:
        """Record the terms in an answer, and log changes.

        The limit ends only if an answer without a limit belongs to a request that was
        sent after the last answer with a limit arrived. Otherwise, a slow answer from
        before the limit would end it.
        """
        if announced.unreadable:
            self._events.emit(
                "backend_server_terms_unreadable",
                backend_server=server_id,
                value=", ".join(announced.unreadable),
            )
        with self._lock:
            terms = self._of_lifetime(server_id, boot_id)
            previous = terms.limit_per_s, terms.is_leaving
            terms.is_leaving |= announced.is_leaving
            if announced.limit_per_s is not None:
                terms.limit_per_s = announced.limit_per_s
                terms.named_s = timing.received_s
            elif _ends_limit(announced, timing, terms):
                terms.limit_per_s = None
            if (terms.limit_per_s, terms.is_leaving) == previous:
                return
            limit_per_s, is_leaving = terms.limit_per_s, terms.is_leaving
        self._events.emit(
            "backend_server_terms",
            backend_server=server_id,
            limit_per_s=limit_per_s,
            previous_per_s=previous[0],
            is_leaving=is_leaving or None,
        )

    def _of_lifetime(self, server_id: str, boot_id: str) -> _Terms:
        """Return the terms of a lifetime; discard those of an earlier lifetime."""
        terms = self._terms.get(server_id)
        if terms is None or terms.boot_id != boot_id:
            terms = self._terms[server_id] = _Terms(boot_id)
            if len(self._terms) > LIFETIMES_MAX:
                self._terms.popitem(last=False)
        return terms


def _ends_limit(announced: AnnouncedTerms, timing: AnswerTiming, terms: _Terms) -> bool:
    is_later = timing.sent_s > terms.named_s
    return timing.may_end_limit and is_later and not announced.unreadable
