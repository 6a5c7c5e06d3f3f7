"""Decides whether a request is retried and when its caller may send it again.

If the only limit were a number of attempts per request, retries would multiply the load
while all backend servers of a service fail. The retries of a service are therefore
limited to a fraction of its requests.
"""

import random
import threading
from collections.abc import Callable
from enum import StrEnum

import msgspec

from balsamspindle.backend_servers.heaviest_weight import HeaviestWeight
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.latency_estimate import LatencyEstimate
from balsamspindle.requests.retry_after import RetryAfterEstimator
from balsamspindle.requests.retry_tokens import RetryTokens
from balsamspindle.settings.documents import ATTEMPTS_MAX, RetryBudget
from balsamspindle.wire import Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["RetryPolicy", "best_reply", "is_shed", "is_success"]

# A request gets no further attempt after this many refusals with a reason of
# `_TRY_ELSEWHERE_REASONS`. Each refusal costs a round trip.
TRY_ELSEWHERE_MAX = 120
ERROR_STATUS_MIN = 500
ROUTES_MAX = 1000
SHED_STATUSES = frozenset({429, 503})
# A request gets no further attempt after this many gates denied its retry because their
# retry budgets were used up. If three of about ten gates have no retries remaining, the
# other gates hardly have any.
DENIALS_MAX = 3
# The same where gates reserve repeats by demand. What is left then differs from gate to
# gate: each has a few repeats in ten seconds, and one that many heavier requests asked
# has none for lighter ones.
DENIALS_BY_DEMAND_MAX = 6


class RetryCost(StrEnum):
    """What another attempt costs in retry tokens after a reply."""

    # No other attempt is allowed.
    FINAL = "final"
    # The next attempt costs no token. For example, the ingress selected an unsuitable
    # gate, because the ingress's information was outdated.
    FREE = "free"
    # The next attempt costs no token after a request's first reply with this reason,
    # and one token after each further reply with the same reason. The attempts did not
    # run. After the first reply, another gate may have a free slot. Further replies
    # indicate that all gates are busy.
    FIRST_FREE = "first_free"
    # The next attempt costs one token.
    PAID = "paid"


_REFUSAL_COSTS = {
    Reason.NO_BACKEND_SERVER: RetryCost.FREE,
    Reason.DRAINING: RetryCost.FREE,
    # The gate's node or the ingress's node would stop before the run ends. At a faster
    # backend server, the run may end in time.
    Reason.NODE_STOPPING: RetryCost.FREE,
    Reason.UNREACHABLE: RetryCost.FREE,
    Reason.NO_FREE_LINK: RetryCost.FREE,
    Reason.DAMAGED: RetryCost.FREE,
    Reason.CLAIM_MOVED: RetryCost.FREE,
    Reason.NO_FREE_SLOT: RetryCost.FIRST_FREE,
    Reason.DEADLINE: RetryCost.FIRST_FREE,
    Reason.DUPLICATE: RetryCost.PAID,
    Reason.SUSPECTED: RetryCost.FREE,
    Reason.WOULD_WAIT: RetryCost.FREE,
    Reason.RETRY_BUDGET: RetryCost.FREE,
    Reason.SHED: RetryCost.PAID,
}


# A retry is free after the gate of a leaving node has cancelled the run, or announced
# that it may cancel the run. The retry budget protects a failing service from more
# load, but here no backend server failed. There are at most as many of these retries as
# the gate has slots. If they cost tokens, they would use up the budget, and requests
# would fail although they have time for a retry.
_LOST_RUN_COSTS = {Reason.GATE_ENDING: RetryCost.FREE, Reason.CANCELLED: RetryCost.FREE}

_TRY_ELSEWHERE_REASONS = frozenset(
    {Reason.SUSPECTED, Reason.WOULD_WAIT, Reason.RETRY_BUDGET}
)


def is_shed(reply: Reply) -> bool:
    """Return whether the backend server refused the request because of overload."""
    return reply.outcome is Outcome.ANSWERED and reply.status in SHED_STATUSES


def is_success(reply: Reply) -> bool:
    """Return whether a reply is an answer with a status below 500 other than 429.

    Only the latencies of successful answers are used for the latency estimate.
    """
    is_answer = reply.outcome is Outcome.ANSWERED and not is_shed(reply)
    return is_answer and reply.status < ERROR_STATUS_MIN


def best_reply(replies: list[Reply]) -> Reply:
    """Return the last answer of a backend server, even a 503; else the last reply.

    If the last reply states a wait that is too long, the returned reply contains the
    shortest wait that any of the gates stated.
    """
    answers = [reply for reply in replies if reply.outcome is Outcome.ANSWERED]
    best = answers[-1] if answers else replies[-1]
    if best.reason is not Reason.WOULD_WAIT:
        return best
    waits_ms = [
        reply.retry_after_ms
        for reply in replies
        if reply.reason is Reason.WOULD_WAIT and reply.retry_after_ms
    ]
    return msgspec.structs.replace(best, retry_after_ms=min(waits_ms, default=0.0))


def _retry_cost(reply: Reply, execution: Execution, retries_errors: bool) -> RetryCost:
    """Return what another attempt costs after a reply.

    A non-idempotent request is retried only with proof that it did not run. An attempt
    without a reply may have run. A 503 from a backend server is no proof either.
    """
    match reply.outcome:
        case Outcome.NOT_RUN:
            return _REFUSAL_COSTS.get(reply.reason, RetryCost.FINAL)
        case Outcome.UNKNOWN if execution is Execution.IDEMPOTENT:
            return _LOST_RUN_COSTS.get(reply.reason, RetryCost.PAID)
        case Outcome.ANSWERED if execution is Execution.IDEMPOTENT:
            is_error = retries_errors and reply.status >= ERROR_STATUS_MIN
            return RetryCost.PAID if is_shed(reply) or is_error else RetryCost.FINAL
    return RetryCost.FINAL


def _is_below_limits(replies: list[Reply], attempts_max: int, denials_max: int) -> bool:
    """Return whether another attempt is within the limits on a request's attempts."""
    try_elsewhere = sum(reply.reason in _TRY_ELSEWHERE_REASONS for reply in replies)
    denials = sum(reply.reason is Reason.RETRY_BUDGET for reply in replies)
    # `GATE_ENDING` is only a notice that the gate's node is leaving; the attempt stays
    # open. The attempt is counted when its reply arrives.
    notices = sum(reply.reason is Reason.GATE_ENDING for reply in replies)
    sent = len(replies) - sum(map(is_refusal, replies)) - notices
    return (
        sent < attempts_max
        and denials < denials_max
        and len(replies) - try_elsewhere < ATTEMPTS_MAX
        and try_elsewhere < TRY_ELSEWHERE_MAX
    )


def _denials_max(budget: RetryBudget, run_was_lost: bool) -> int:
    """Return how many gates may deny a request's repeats before it gets no other."""
    if run_was_lost:
        return TRY_ELSEWHERE_MAX
    return DENIALS_BY_DEMAND_MAX if budget.reserves_by_demand else DENIALS_MAX


class _ServiceState:
    """The retry tokens and the estimates of one service at this ingress."""

    def __init__(self) -> None:
        self.tokens = RetryTokens()
        self.latencies: dict[int, LatencyEstimate] = {}
        self.retry_after = RetryAfterEstimator()
        self.heaviest = HeaviestWeight()

    def latency(self, route_id: int) -> LatencyEstimate:
        """Return the latency estimate of a route; create it if there is none."""
        latency = self.latencies.get(route_id)
        if latency is None:
            if len(self.latencies) >= ROUTES_MAX:
                del self.latencies[next(iter(self.latencies))]
            latency = self.latencies[route_id] = LatencyEstimate()
        return latency


class RetryPolicy:
    """Decides on retries and hedges for all services of one ingress.

    Parameters
    ----------
    budget : callable
        Returns a service's retry budget from the current settings.
    """

    # A hedge starts when the first attempt has taken SLOW_FACTOR times the 95th
    # percentile of the route's latency, or HEDGE_LATEST_FRACTION of the request's
    # remaining time, whichever is shorter.
    SLOW_FACTOR = 2.0
    HEDGE_LATEST_FRACTION = 1 / 3
    # An attempt at the own gate is ended early only after SLOWEST_FACTOR times the 99th
    # percentile of latency that the gate reported for the backend server. By then the
    # gate has counted the attempt as slow. If the attempt were ended before that, the
    # gate would not detect a backend server that hangs.
    SLOWEST_FACTOR = 3.0

    def __init__(self, budget: Callable[[str], RetryBudget]) -> None:
        self._budget = budget
        self._lock = threading.Lock()
        self._services: dict[str, _ServiceState] = {}

    def record_request(self, service: str, now_s: float, weight: float = 1.0) -> None:
        """Record a new request, which adds to the service's retry tokens."""
        with self._lock:
            state = self._state(service)
            state.heaviest.record(weight, now_s)
            state.tokens.record_request(self._budget(service), now_s)

    def record_answer(
        self, service: str, took_s: float, p99_ms: float = 0.0, route_id: int = 0
    ) -> None:
        """Record an answer's latency and the 99th percentile that its gate reported.

        The latency is recorded per route, because the latencies of a service's routes
        may differ tenfold, and the delays before hedges have to differ as much.
        """
        with self._lock:
            self._state(service).latency(route_id).record(took_s, p99_ms)

    def may_retry(
        self,
        service: str,
        execution: Execution,
        replies: list[Reply],
        deadline_s: float,
        now_s: float,
        is_paid: bool = False,
        attempts_max: int = ATTEMPTS_MAX,
        route_id: int = 0,
        weight: float = 1.0,
        run_was_lost: bool = False,
    ) -> bool:
        """Return whether to make another attempt; if so, spend the token that it costs.

        Parameters
        ----------
        replies : list of Reply
            Replies to the request's attempts so far, in order.
        is_paid : bool
            Whether a token was already spent on the attempt. The token is refunded if
            the attempt costs none or is not allowed.
        attempts_max : int
            Maximum number of attempts that reach a backend server.
        weight : float
            Weight of the request's route; some tokens are reserved for heavier routes.
        run_was_lost : bool
            See `ForwardedRequest.run_was_lost`. If True, the retry may be sent to
            further gates after `DENIALS_MAX` gates have denied it.
        """
        with self._lock:
            state = self._state(service)
            budget = self._budget(service)
            denials_max = _denials_max(budget, run_was_lost)
            cost = _retry_cost(replies[-1], execution, budget.on_errors)
            is_late = now_s + state.latency(route_id).mean_s >= deadline_s
            if is_late or not _is_below_limits(replies, attempts_max, denials_max):
                cost = RetryCost.FINAL
            if cost is not RetryCost.FINAL and budget.fleet_per_s_min:
                # The gates limit the service's retries, so this ingress does not.
                cost = RetryCost.FREE
            if cost is RetryCost.FIRST_FREE:
                reasons = [reply.reason for reply in replies]
                is_first = reasons.count(replies[-1].reason) == 1
                cost = RetryCost.FREE if is_first else RetryCost.PAID
            if cost is RetryCost.PAID:
                reserved = state.heaviest.reserved_fraction(weight)
                return is_paid or state.tokens.take(budget, now_s, reserved)
            if is_paid:
                state.tokens.refund()
            return cost is RetryCost.FREE

    def refund(self, service: str) -> None:
        """Refund the token that was spent on a retry that was not made."""
        with self._lock:
            self._state(service).tokens.refund()

    def is_final(self, service: str, reply: Reply) -> bool:
        """Return whether a reply goes to the caller even if other attempts are open."""
        is_error = reply.outcome is Outcome.ANSWERED and not is_shed(reply)
        return is_success(reply) or (is_error and not self._budget(service).on_errors)

    def gates_limit_retries(self, service: str) -> bool:
        """Return whether the gates, not this ingress, limit a service's retries."""
        return bool(self._budget(service).fleet_per_s_min)

    def may_hedge(self, service: str, now_s: float, weight: float = 1.0) -> bool:
        """Return whether a hedge is allowed; if so, spend the token that it costs.

        If the gates limit the service's retries, this ingress allows every hedge, and
        no token is spent. Otherwise, a hedge costs one token.
        """
        if self.gates_limit_retries(service):
            return True
        with self._lock:
            state = self._state(service)
            return state.tokens.take(
                self._budget(service), now_s, state.heaviest.reserved_fraction(weight)
            )

    def services(self) -> list[str]:
        """Return the services with requests at this ingress, sorted by name."""
        return sorted(self._services)

    def remaining_tokens(self, service: str, now_s: float) -> float:
        """Return the number of retry tokens that a service has now."""
        with self._lock:
            return self._state(service).tokens.remaining(self._budget(service), now_s)

    def hedge_delay_s(
        self,
        service: str,
        is_own: bool,
        remaining_s: float,
        now_s: float,
        route_id: int = 0,
    ) -> float:
        """Return the delay between the first two attempts of an idempotent request.

        Parameters
        ----------
        is_own : bool
            Whether the first attempt is at this node's own gate. Such an attempt is
            ended after the returned time, before the second attempt starts. The gate
            counts an attempt as slow only if it takes longer than the 99th percentile
            of latency. The returned time is therefore longer than this percentile.
            Otherwise, the gate would not detect a backend server that hangs.
        remaining_s : float
            Time until the request's deadline.

        Returns
        -------
        float
            Time in s. It is `remaining_s` if the first attempt may run until the
            deadline: for example, if no token is available, or if a retry would not
            end before the deadline.
        """
        with self._lock:
            state = self._state(service)
            latency = state.latency(route_id)
            if self.gates_limit_retries(service):
                if is_own:
                    # An attempt at the own gate is ended before its retry is sent. If
                    # gates limit the retries, all gates may deny the retry after that.
                    # The request would then fail, although the first attempt might
                    # still have been answered. So in this case, the first attempt may
                    # run until the deadline.
                    return remaining_s
            elif not state.tokens.available(self._budget(service), now_s):
                return remaining_s
        latest_s = remaining_s * self.HEDGE_LATEST_FRACTION
        if latency.p95_s is None:
            return latest_s
        hedge_delay_s = min(latest_s, latency.p95_s * self.SLOW_FACTOR)
        if not is_own:
            return hedge_delay_s
        hedge_delay_s = max(hedge_delay_s, latency.p99_s * self.SLOWEST_FACTOR)
        return hedge_delay_s if hedge_delay_s <= remaining_s / 2 else remaining_s

    def record_end(
        self,
        service: str,
        is_answered: bool,
        earliest_ms: float,
        rng: random.Random,
        now_s: float,
    ) -> float:
        """Record a request's end; return the time in ms until its caller may retry.

        Returns 0 for a request that was answered.

        Parameters
        ----------
        earliest_ms : float
            Lower bound of the returned time.
        """
        with self._lock:
            retry_after = self._state(service).retry_after
            retry_after.record(is_answered, now_s)
            return 0.0 if is_answered else retry_after.suggest_ms(earliest_ms, rng)

    def _state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        return state
