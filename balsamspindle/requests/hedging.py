"""Plans second attempts for idempotent requests whose first attempt has no reply."""

from collections.abc import Callable

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.forwarded import (
    ForwardedRequest,
    Hedge,
    Step,
    route_id,
)
from balsamspindle.requests.placement_selection import Selection
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.services.picker import Picker
from balsamspindle.wire import Reply

__all__ = ["HedgePlanner"]


class HedgePlanner:
    """Decides when and where a second attempt starts while the first has no reply.

    Parameters
    ----------
    select_placement : callable
        Returns the next placement for a request; None if there is none.
    blocked : callable
        Returns the refusal of a request that crashes backend servers; None for any
        other request.
    clock : callable
        Returns the present time on the monotonic clock, in s.
    """

    def __init__(
        self,
        picker: Picker,
        sender: AttemptSender,
        retries: RetryPolicy,
        select_placement: Callable[[ForwardedRequest], Selection | None],
        blocked: Callable[[ForwardedRequest], Reply | None],
        clock: Callable[[], float],
    ) -> None:
        self._picker = picker
        self._sender = sender
        self._retries = retries
        self._select_placement = select_placement
        self._blocked = blocked
        self._clock = clock

    def plan(
        self, forwarded: ForwardedRequest, selected: Selection, now_s: float
    ) -> Hedge | None:
        """Return when and where a second attempt may start; None if it may not.

        A second attempt costs a retry token, unless the gates limit the service's
        retries. If the first attempt is at another gate, the token is spent when the
        second attempt starts. A first attempt at the own gate is ended before the
        second attempt starts, so this method spends the token before the first attempt.
        If no token is available, the first attempt is not ended early. `refund` returns
        the token if the second attempt is not made.
        """
        route, placement = forwarded.route, selected.placement
        if route.execution is not Execution.IDEMPOTENT:
            return None
        if route.target_ms and forwarded.search.step is Step.QUEUE:
            # All gates are busy. A second attempt would only make a queue longer.
            return None
        placements = self._picker.view(route.service).tiers[-1]
        if len(placements) <= len(forwarded.tried) + 1:
            return None
        remaining_s = forwarded.deadline_s - now_s
        is_own = self._sender.is_own(placement)
        hedge_delay_s = self._retries.hedge_delay_s(
            route.service, is_own, remaining_s, now_s, route_id(route)
        )
        # The time that the first attempt may wait for a slot is added to the delay,
        # because waiting for a slot does not mean that the backend server is slow.
        hedge_delay_s = min(
            remaining_s, hedge_delay_s + (selected.wait_max_ms or 0.0) / 1000
        )
        is_paid = False
        if is_own and hedge_delay_s < remaining_s:
            is_paid = self._retries.may_hedge(route.service, now_s, route.weight)
            hedge_delay_s = hedge_delay_s if is_paid else remaining_s
        return Hedge(
            hedge_delay_s, lambda: self._choose_second_placement(forwarded), is_paid
        )

    def refund(self, forwarded: ForwardedRequest, hedge: Hedge | None) -> None:
        """Refund the retry token of a second attempt that was not made.

        Does nothing if `plan` spent no token.
        """
        if hedge is not None and hedge.is_paid:
            self._retries.refund(forwarded.route.service)

    def _choose_second_placement(self, forwarded: ForwardedRequest) -> Placement | None:
        if self._blocked(forwarded) is not None:
            return None
        selected = self._select_placement(forwarded)
        if selected is None or self._sender.is_own(selected.placement):
            return None
        placement = selected.placement
        forwarded.wait_max_ms = selected.wait_max_ms
        route = forwarded.route
        if not self._retries.may_hedge(route.service, self._clock(), route.weight):
            return None
        return placement
