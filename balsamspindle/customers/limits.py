"""Enforces customers' limits over all nodes together.

A request of a customer with a limit is forwarded only after a granter of the customer
has granted it (see `balsamspindle.customers.granters`). This node queries the granter
for its zone first. If that granter does not grant the request, this node queries the
granter for the whole fleet. If a granter can't be reached, this node queries another
node in its place, which may grant only a much smaller fraction of the limit. A request
that no node grants is not run.
"""

import itertools
import threading
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from balsamspindle.customers.buckets import Buckets, Denial
from balsamspindle.customers.granters import Granters, Limit, Scope
from balsamspindle.settings.documents import CustomerDocument
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.limit_messages import LimitAnswer, LimitQuestion, LimitReturn

__all__ = ["Grant", "Limiter", "LimitLinks"]

# A node that has just started does not know most of the other nodes yet, so it would
# select itself as the granter of every customer. `Limiter.is_ready` returns False for
# this long after the start.
DISCOVERY_S = 1.0
KNOWN_LIMITS_MAX = 100_000


class LimitLinks(Protocol):
    """Sends messages about customers' limits to other nodes."""

    def request_grant(
        self, node: NodeRecord, question: LimitQuestion
    ) -> LimitAnswer | None:
        """Query a node for a grant; return None if the node can't be reached."""

    def send(self, node: NodeRecord, message: LimitReturn) -> None:
        """Send a message that may get lost."""


class Grant(NamedTuple):
    """Permission to run one request; refunded if the request does not run.

    Attributes
    ----------
    node : NodeRecord or None
        The node that granted the request; None for this node, or if the customer has
        no limit.
    """

    customer: str
    node: NodeRecord | None = None
    scope: Scope = Scope.ZONE
    is_limited: bool = True


class _KnownLimit(NamedTuple):
    limit: Limit
    revision: int


class Limiter:
    """Acquires grants for this node's requests, and grants requests of other nodes.

    Parameters
    ----------
    granters : dict of Scope to Granters
        Protected by this object's lock, so no other object may use them.
    """

    def __init__(
        self,
        own: NodeRecord,
        granters: dict[Scope, Granters],
        links: LimitLinks,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = own
        self._granters = granters
        self._links = links
        self._clock = clock
        self._started_s = clock()
        self._buckets = {scope: Buckets(clock()) for scope in granters}
        self._lock = threading.Lock()
        self._known_limits: dict[str, _KnownLimit] = {}
        self._question_numbers = itertools.count(1)

    def is_ready(self, now_s: float) -> bool:
        """Return whether `DISCOVERY_S` has elapsed since this node started."""
        return now_s - self._started_s >= DISCOVERY_S

    def refresh(self, now_s: float) -> None:
        """Update the granters from the directory; to be called once a second."""
        with self._lock:
            self._update_granters(now_s)

    def acquire(
        self, customer: CustomerDocument, revision: int
    ) -> Grant | Denial | None:
        """Acquire a grant for one request.

        If no node grants the request, returns the denial with the shortest wait, or
        None if no node could be reached.
        """
        if not customer.rate_per_s:
            return Grant(customer.name, is_limited=False)
        denial = None
        for scope in self._granters:
            question = LimitQuestion(
                next(self._question_numbers),
                customer.name,
                customer.rate_per_s,
                customer.burst,
                revision,
                scope,
            )
            match self._request_grant(question, scope):
                case Grant() as grant:
                    return grant
                case Denial() as other:
                    denial = min(denial or other, other)
        return denial

    def _request_grant(
        self, question: LimitQuestion, scope: Scope
    ) -> Grant | Denial | None:
        """Query the scope's granter, or the next node if the granter is unreachable."""
        for node in self._ranked(question.customer, scope):
            if node.node_id == self._own.node_id:
                grant = Grant(question.customer, scope=scope)
                return self._try_spend(question, scope) or grant
            answer = self._links.request_grant(node, question)
            if answer is not None:
                grant = Grant(question.customer, node, scope)
                return grant if answer.is_granted else Denial(answer.wait_ms / 1000)
        return None

    def refund(self, grant: Grant) -> None:
        """Return an unused grant to its granting node; its request did not run."""
        if not grant.is_limited:
            return
        if grant.node is None:
            self._buckets[grant.scope].refund(grant.customer)
        else:
            message = LimitReturn(grant.customer, grant.scope)
            self._links.send(grant.node, message)

    def answer(self, question: LimitQuestion) -> LimitAnswer:
        """Return the answer to another node's question: a grant or a denial."""
        denial = self._try_spend(question, Scope(question.scope))
        wait_ms = denial.wait_s * 1000 if denial else 0.0
        return LimitAnswer(question.number, denial is None, wait_ms, self._clock())

    def receive_return(self, message: LimitReturn) -> None:
        """Refund the token of a grant that another node returns unused."""
        self._buckets[Scope(message.scope)].refund(message.customer)

    def _ranked(self, customer: str, scope: Scope) -> tuple[NodeRecord, ...]:
        with self._lock:
            self._update_granters(self._clock())
            return self._granters[scope].ranked(customer)

    def _try_spend(self, question: LimitQuestion, scope: Scope) -> Denial | None:
        """Spend a token of this node's bucket; return a denial if there is none."""
        now_s = self._clock()
        with self._lock:
            self._update_granters(now_s)
            limit = self._newest_limit(question)
            rate = self._granters[scope].own_rate(question.customer, limit, now_s)
        return self._buckets[scope].try_spend(question.customer, rate, now_s)

    def _update_granters(self, now_s: float) -> None:
        for scope, granters in self._granters.items():
            if granters.update():
                self._buckets[scope].keep_only(granters.is_own, now_s)

    def _newest_limit(self, question: LimitQuestion) -> Limit:
        """Return the customer's limit from the question with the newest settings.

        Each question contains the limit in its sender's settings, and their revision.
        A node with older settings may send a limit that is no longer in force, so the
        limit of the highest revision received so far is used.
        """
        known = self._known_limits.get(question.customer)
        if known is None or question.revision >= known.revision:
            limit = Limit(question.rate_per_s, question.burst)
            known = _KnownLimit(limit, question.revision)
            if len(self._known_limits) >= KNOWN_LIMITS_MAX:
                self._known_limits.clear()
            self._known_limits[question.customer] = known
        return known.limit
