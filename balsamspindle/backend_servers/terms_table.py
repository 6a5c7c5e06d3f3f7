"""Records what the backend servers beside this node announced in their answers.

Terms belong to one lifetime of a backend server: after a restart it has none until an
answer names some. They stay in force between answers.
"""

import math
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from balsamspindle.backend_servers.rate_limits import Allowance, RateLimit
from balsamspindle.protocol.announced_terms import AnnouncedTerms
from balsamspindle.wire import ServerTerms

__all__ = ["AnswerTiming", "TermsChange", "TermsTable"]

LIFETIMES_MAX = 1000


class AnswerTiming(NamedTuple):
    """When an answer's request was sent and when the answer arrived, and its use.

    Attributes
    ----------
    may_end_limit : bool
        Whether the limit ends if the answer names none. Errors, refusals and incomplete
        answers may lack a header that the backend server's other answers have.
    is_status_check : bool
        Whether the request was a status check. Its answer ends a limit only if the
        answer to the status check before it named one. Otherwise, the status endpoint
        may lack the header although answers to callers' requests have it.
    """

    sent_s: float
    received_s: float
    may_end_limit: bool = True
    is_status_check: bool = False


class TermsChange(NamedTuple):
    """The terms before and after a change."""

    previous: ServerTerms
    current: ServerTerms


@dataclass
class _Terms:
    """Terms of one lifetime.

    Attributes
    ----------
    rate : RateLimit or None
        None while the backend server names no limit.
    named_s : float
        When the last answer that names a limit arrived.
    is_answered : bool
        Whether an answer has shown this node's gate which limit is in force, or that
        none is. From then on, the gate knows the terms better than any ingress.
    is_named_by_checks : bool
        Whether the latest answer to a status check named a limit.
    is_shared : bool
        Whether ingresses may know terms of this lifetime, so that replies to them have
        to contain the current ones.
    """

    boot_id: str
    rate: RateLimit | None = None
    is_leaving: bool = False
    named_s: float = -math.inf
    is_answered: bool = False
    is_named_by_checks: bool = False
    is_shared: bool = False

    def limit_per_s(self) -> float | None:
        return None if self.rate is None else self.rate.limit_per_s

    def set_limit(self, limit_per_s: float | None, now_s: float) -> None:
        if limit_per_s is None:
            self.rate = None
        elif self.rate is None:
            self.rate = RateLimit(limit_per_s, now_s)
        else:
            self.rate.set_limit(limit_per_s, now_s)

    def to_wire(self) -> ServerTerms:
        return ServerTerms(self.boot_id, self.limit_per_s(), self.is_leaving)


class TermsTable:
    """The terms of the backend servers beside this node, by id; thread-safe.

    Parameters
    ----------
    on_leaving : callable
        Called with the id and the boot id of a backend server whenever it is recorded
        that it leaves.
    """

    def __init__(
        self, on_leaving: Callable[[str, str], object] = lambda *_: None
    ) -> None:
        self._on_leaving = on_leaving
        self._lock = threading.Lock()
        self._terms: OrderedDict[str, _Terms] = OrderedDict()

    def limit_per_s(self, server_id: str, boot_id: str) -> float | None:
        """Return the limit that a backend server names; None if it names none."""
        with self._lock:
            terms = self._get(server_id, boot_id)
            return None if terms is None else terms.limit_per_s()

    def shared(self, server_id: str) -> ServerTerms | None:
        """Return the terms that a reply reports; None if ingresses know none."""
        with self._lock:
            terms = self._terms.get(server_id)
            return terms.to_wire() if terms is not None and terms.is_shared else None

    def allowance(
        self, server_id: str, boot_id: str, now_s: float, weight: float = math.inf
    ) -> Allowance | None:
        """Return what a limit allows requests of a weight now; None without a limit."""
        with self._lock:
            terms = self._get(server_id, boot_id)
            if terms is None or terms.rate is None:
                return None
            return terms.rate.allowance(now_s, weight)

    def spend(self, server_id: str, boot_id: str, weight: float, now_s: float) -> bool:
        """Count a request that is sent; return False if there is no limit."""
        with self._lock:
            terms = self._get(server_id, boot_id)
            if terms is None or terms.rate is None:
                return False
            terms.rate.spend(weight, now_s)
            return True

    def refund(self, server_id: str, boot_id: str) -> None:
        """Uncount a request that was not sent after all."""
        with self._lock:
            terms = self._get(server_id, boot_id)
            if terms is not None and terms.rate is not None:
                terms.rate.refund()

    def record_answer(
        self,
        server_id: str,
        boot_id: str,
        announced: AnnouncedTerms,
        timing: AnswerTiming,
    ) -> TermsChange | None:
        """Record the terms in an answer; return what changed.

        The limit ends only if an answer without a limit belongs to a request that was
        sent after the last answer with a limit arrived. Otherwise, a slow answer from
        before the limit would end it. See `AnswerTiming` for answers to status checks.
        """
        with self._lock:
            terms = self._of_lifetime(server_id, boot_id)
            previous = terms.to_wire()
            names_limit = announced.limit_per_s is not None
            shows_limit = names_limit or _has_header(announced, timing, terms)
            terms.is_answered |= shows_limit
            terms.is_leaving |= announced.is_leaving
            if names_limit:
                terms.set_limit(announced.limit_per_s, timing.received_s)
                terms.named_s = timing.received_s
            elif shows_limit and timing.sent_s > terms.named_s:
                terms.set_limit(None, timing.received_s)
            if timing.is_status_check and timing.may_end_limit:
                terms.is_named_by_checks = names_limit
            change = self._change(previous, terms)
        if announced.is_leaving:
            self._on_leaving(server_id, boot_id)
        return change

    def adopt(
        self, server_id: str, known: ServerTerms, now_s: float
    ) -> TermsChange | None:
        """Record terms that an ingress knows; return what changed.

        The terms are ignored if the backend server has answered this gate: the gate's
        next reply tells the ingress the current ones.
        """
        limit_per_s = known.limit_per_s
        if limit_per_s is not None and not 0 <= limit_per_s < math.inf:
            return None
        with self._lock:
            terms = self._of_lifetime(server_id, known.boot_id)
            previous = terms.to_wire()
            terms.is_shared = True
            if not terms.is_answered:
                terms.is_leaving |= known.is_leaving
                if limit_per_s is not None and terms.limit_per_s() != limit_per_s:
                    terms.set_limit(limit_per_s, now_s)
                    terms.named_s = now_s
            change = self._change(previous, terms)
        if change is not None and change.current.is_leaving:
            self._on_leaving(server_id, known.boot_id)
        return change

    @staticmethod
    def _change(previous: ServerTerms, terms: _Terms) -> TermsChange | None:
        current = terms.to_wire()
        if current == previous:
            return None
        terms.is_shared = True
        return TermsChange(previous, current)

    def _get(self, server_id: str, boot_id: str) -> _Terms | None:
        terms = self._terms.get(server_id)
        return terms if terms is not None and terms.boot_id == boot_id else None

    def _of_lifetime(self, server_id: str, boot_id: str) -> _Terms:
        """Return the terms of a lifetime; discard those of an earlier lifetime."""
        terms = self._get(server_id, boot_id)
        if terms is None:
            terms = self._terms[server_id] = _Terms(boot_id)
            if len(self._terms) > LIFETIMES_MAX:
                self._terms.popitem(last=False)
        return terms


def _has_header(announced: AnnouncedTerms, timing: AnswerTiming, terms: _Terms) -> bool:
    """Return whether an answer would name the limit if one were in force."""
    is_informed = not timing.is_status_check or terms.is_named_by_checks
    return timing.may_end_limit and is_informed and not announced.unreadable
