"""Second attempts beside a silent one, for requests that may be repeated."""

from collections.abc import Callable

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.forwarded import (
    ForwardedRequest,
    Rescue,
    Step,
    route_id,
)
from balsamspindle.requests.placing import Placing
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.services.picker import Picker
from balsamspindle.wire import Reply

__all__ = ["Rescuer"]


class Rescuer:
    """Tells how long to wait for an attempt, and where else to try.

    Parameters
    ----------
    pick : callable
        Returns the next place for a request, None where there is none.
    blocked : callable
        Returns the refusal of a request that crashes backend servers.
    clock : callable
        Tells the present time.
    """

    def __init__(
        self,
        picker: Picker,
        sender: AttemptSender,
        retries: RetryPolicy,
        pick: Callable[[ForwardedRequest], Placing | None],
        blocked: Callable[[ForwardedRequest], Reply | None],
        clock: Callable[[], float],
    ) -> None:
        self._picker = picker
        self._sender = sender
        self._retries = retries
        self._pick = pick
        self._blocked = blocked
        self._clock = clock

    def rescue(
        self, forwarded: ForwardedRequest, placing: Placing, now_s: float
    ) -> Rescue | None:
        """Return what may be done when the next attempt is silent."""
        route, placement = forwarded.route, placing.placement
        if route.execution is not Execution.IDEMPOTENT:
            return None
        if route.target_ms and forwarded.search.step is Step.QUEUE:
            # It queues because all others are busy; a second one would only
            # make their queues longer.
            return None
        places = self._picker.view(route.service).tiers[-1]
        if len(places) <= len(forwarded.tried) + 1:
            return None
        left_s = forwarded.deadline_s - now_s
        is_own = self._sender.is_own(placement)
        patience_s = self._retries.patience_s(
            route.service, is_own, left_s, now_s, route_id(route)
        )
        # While it waits for a slot its backend server is not silent.
        patience_s = min(left_s, patience_s + (placing.wait_max_ms or 0.0) / 1000)
        is_paid = False
        if is_own and patience_s < left_s:
            is_paid = self._retries.may_hedge(route.service, now_s, route.weight)
            patience_s = patience_s if is_paid else left_s
        return Rescue(patience_s, lambda: self._choose_second(forwarded), is_paid)

    def give_back(self, forwarded: ForwardedRequest, rescue: Rescue | None) -> None:
        """Take back what a second attempt was to cost, if it was not made."""
        if rescue is not None and rescue.is_paid:
            self._retries.give_back(forwarded.route.service)

    def _choose_second(self, forwarded: ForwardedRequest) -> Placement | None:
        if self._blocked(forwarded) is not None:
            return None
        placing = self._pick(forwarded)
        if placing is None or self._sender.is_own(placing.placement):
            return None
        placement = placing.placement
        forwarded.wait_max_ms = placing.wait_max_ms
        route = forwarded.route
        if not self._retries.may_hedge(route.service, self._clock(), route.weight):
            return None
        return placement
