"""Retry budget of a service, granted by the service's gates.

A repeat is a retry of a request that may already have reached a backend server.

A service's retry budget includes a fixed number of retries that does not depend on the
request rate. This number is divided among the nodes that grant retries. If every node
of a fleet of 35 granted retries, each node would get less than two of them. Nodes that
need no retries would leave their portion unused while other nodes refuse retries.
Therefore only gates grant repeats. A service has only a few gates, and every repeat
arrives at one of them. A gate that has used up its retries refuses the repeat, which is
then sent to the next gate.

When a backend server runs a repeat, it also makes its own calls to other services
again. At those services the calls look like new requests. The calling backend server's
node therefore sends with each call the fraction of its present runs that are repeats.
The gate of the called service counts the call as this fraction of a repeat.
"""

import threading
from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.heaviest_weight import HeaviestWeight
from balsamspindle.backend_servers.retry_window import RetryWindow, WeightCounts
from balsamspindle.settings.documents import RetryBudget

__all__ = ["RetryGrants"]

# Fraction of a service's repeats that last-resort attempts, which go to suspected
# backend servers, must leave to other attempts.
RESERVED_FROM_LAST_RESORTS_FRACTION = 0.5


class _ServiceState:
    """Retry window of one service, and who requested and got its repeats."""

    def __init__(self) -> None:
        self.window = RetryWindow()
        self.requested = WeightCounts()
        self.granted = WeightCounts()
        self.heaviest = HeaviestWeight()

    def unmet_demand(self, weight: float, reserved: float, now_s: float) -> float:
        """Return how many of the reserved repeats heavier requests may still use.

        Parameters
        ----------
        reserved : float
            Repeats that are reserved for requests heavier than `weight`, including
            those that they have used.
        """
        requested = self.requested.heavier_than(weight, now_s)
        used = self.granted.heavier_than(weight, now_s)
        return max(0.0, min(reserved, requested) - used)


class RetryGrants:
    """Grants repeats at one gate within the retry budget; thread-safe.

    Parameters
    ----------
    budget : callable
        Returns the retry budget of a service at a given time, including this gate's
        portion of the fleet's fixed number of retries.
    """

    def __init__(self, budget: Callable[[str, float], RetryBudget]) -> None:
        self._budget = budget
        self._lock = threading.Lock()
        self._services: dict[str, _ServiceState] = {}
        self._running = 0
        self._running_repeats = 0

    def record_first_attempt(
        self,
        service: str,
        weight: float,
        now_s: float,
        may_repeat: bool = True,
        repeat_fraction: float = 0.0,
    ) -> None:
        """Count a request that is sent to a backend server for the first time.

        Parameters
        ----------
        may_repeat : bool
            Whether the request may be repeated. Half of the service's repeats are
            reserved for the greatest weight among the recent requests that may be
            repeated. If requests that are never repeated counted as well, half of all
            grants could stay unused while repeats of lighter requests are refused. An
            example is 67 refusals within 15 s.
        repeat_fraction : float
            Probability that the request was sent by a run that is a repeat.
        """
        with self._lock:
            state = self._state(service)
            if may_repeat:
                state.heaviest.record(weight, now_s)
            state.window.record_request(self._budget(service, now_s), now_s)
            if repeat_fraction:
                state.window.record_retries(repeat_fraction, now_s)

    def record_run_start(self, is_repeat: bool) -> None:
        """Count the start of a run at a backend server of this node."""
        with self._lock:
            self._running += 1
            self._running_repeats += is_repeat

    def record_run_end(self, is_repeat: bool) -> None:
        """Count the end of a run at a backend server of this node."""
        with self._lock:
            self._running -= 1
            self._running_repeats -= is_repeat

    def repeat_fraction(self) -> float:
        """Return the fraction of this node's present runs that are repeats, 0 to 1."""
        with self._lock:
            return (
                self._running_repeats / self._running if self._running_repeats else 0.0
            )

    def try_grant(
        self,
        service: str,
        weight: float,
        now_s: float,
        is_last_resort: bool = False,
        run_was_lost: bool = False,
    ) -> bool:
        """Grant a repeat and return True, or return False if the budget forbids it.

        Parameters
        ----------
        is_last_resort : bool
            Whether the attempt goes to a suspected backend server. About 70% of the
            runs there fail, while the same repeats could succeed at healthy backend
            servers. Half of all repeats are therefore reserved for other attempts.
        run_was_lost : bool
            Whether an earlier run of the request was lost or is about to be lost; see
            `Ticket`. Such a request may use the repeats reserved for heavier requests.
            The heavier requests are repeated because they failed at their backend
            servers. This request would have been answered if its run had not been lost.
        """
        budget = self._budget(service, now_s)
        if not budget.fleet_per_s_min:
            # Gates do not limit the repeats of this service: each sending node limits
            # its own repeats.
            return True
        with self._lock:
            state = self._state(service)
            state.heaviest.record(weight, now_s)
            allowed = state.window.allowed(budget, now_s)
            reserved = 0.0
            if not run_was_lost:
                reserved = allowed * state.heaviest.reserved_fraction(weight)
            if budget.reserves_by_demand:
                state.requested.record(weight, now_s)
                reserved = state.unmet_demand(weight, reserved, now_s)
            if is_last_resort:
                reserved = max(reserved, allowed * RESERVED_FROM_LAST_RESORTS_FRACTION)
            if not state.window.try_spend(budget, now_s, reserved):
                return False
            state.granted.record(weight, now_s)
            return True

    def try_grant_resend(self, service: str, now_s: float) -> bool:
        """Grant a further send of an attempt at its own backend server.

        The gate alone decides on such a send, also for services whose other repeats
        are limited by the sending nodes. These have `RetryBudget.per_s_min` here.
        """
        budget = self._budget(service, now_s)
        if not budget.fleet_per_s_min:
            budget = msgspec.structs.replace(budget, fleet_per_s_min=budget.per_s_min)
        with self._lock:
            return self._state(service).window.try_spend(budget, now_s)

    def return_grant(self, service: str) -> None:
        """Add a grant back to the retry budget because its repeat did not run.

        A gate without a free slot refuses repeats for which it has spent a grant. If
        these grants stayed spent, an overload would use up the budget without a single
        run.
        """
        with self._lock:
            self._state(service).window.refund()

    def services(self) -> list[str]:
        """Return the services that had requests at this gate."""
        with self._lock:
            return sorted(self._services)

    def remaining(self, service: str, now_s: float) -> float:
        """Return how many repeats could be granted now; negative after too many."""
        with self._lock:
            return self._state(service).window.remaining(
                self._budget(service, now_s), now_s
            )

    def _state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())
