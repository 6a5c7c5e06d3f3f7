"""Records which runs at this node's backend servers may wait for an arriving call.

A backend server that runs a request makes its calls at the node beside it. A call is
told from a caller's request by three properties:

- It carries no customer's key.
- Its deadline is not after that of an open run: calls expire with their parent.
- Nearly all requests of its route have had the first two properties here. Requests of
  callers arrive whether or not a run is open, and mostly with a later deadline than the
  runs that started before them.

If several open runs fit, the call counts as a call of the heaviest one, and of the
longest one among these.

A caller's request may have the same properties, so the parent found is never certain.
It only changes the order in which requests start and how repeats are counted. It ends
no request: a call ends when its own connection does, as any other request.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from balsamspindle.wire import AttemptId, Importance

__all__ = ["OpenRun", "OpenRuns", "Parent", "importance_of"]

# A call's deadline may be this much after its parent's: both are computed from times
# that are sent with a resolution of 1 ms, and a busy VM reads messages later.
DEADLINE_TOLERANCE_S = 0.02
# A route's requests are calls if at least this fraction of them fitted an open run. The
# rest allows for calls whose run has just ended here, because its caller left.
FITTING_FRACTION_MIN = 0.8
# Weight of the newest request in the moving average of the fitting fraction. The route
# of a caller that fits half of the time is recognized after about five requests.
SMOOTHING_FACTOR = 0.1
ROUTES_MAX = 1000


class OpenRun(NamedTuple):
    """A request that a backend server of this node runs; times are monotonic.

    Attributes
    ----------
    weight : float
        Weight with which the request got its slot.
    is_repeat : bool
        Whether the run repeats an earlier one of its request.
    """

    attempt_id: AttemptId
    request_id: str
    weight: float
    started_s: float
    deadline_s: float
    is_repeat: bool = False


class Parent(NamedTuple):
    """The run that probably waits for an arriving call.

    Attributes
    ----------
    repeat_fraction : float
        Fraction of the runs that can have made the call that are repeats.
    """

    run: OpenRun
    repeat_fraction: float = 0.0


class OpenRuns:
    """The open runs at the backend servers of one node; thread-safe.

    Parameters
    ----------
    inherits : callable, default=no service does
        Returns whether calls to a service are as important as the runs that wait for
        them (`ServiceDocument.calls_inherit_importance`).
    """

    def __init__(self, inherits: Callable[[str], bool] = lambda service: False) -> None:
        self.inherits = inherits
        self._lock = threading.Lock()
        self._runs: dict[AttemptId, OpenRun] = {}
        self._fitting_fractions: dict[int, float] = {}

    def begin(self, run: OpenRun) -> None:
        """Record that a run has started."""
        with self._lock:
            self._runs[run.attempt_id] = run

    def end(self, attempt_id: AttemptId) -> None:
        """Record that a run has ended."""
        with self._lock:
            self._runs.pop(attempt_id, None)

    def find_parent(
        self, service: str, route_id: int, customer: str, deadline_s: float
    ) -> Parent | None:
        """Return the run that probably waits for an arriving request, or None.

        Parameters
        ----------
        service : str
            Service to which the request goes.
        deadline_s : float
            The request's deadline, on the monotonic clock.
        """
        if customer or not self.inherits(service):
            return None
        latest_s = deadline_s - DEADLINE_TOLERANCE_S
        with self._lock:
            fitting = [run for run in self._runs.values() if run.deadline_s >= latest_s]
            fraction = self._record_arrival(route_id, bool(fitting))
        if not fitting or fraction < FITTING_FRACTION_MIN:
            return None
        run = max(fitting, key=lambda run: (run.weight, -run.started_s))
        repeats = sum(run.is_repeat for run in fitting)
        return Parent(run, repeats / len(fitting))

    def _record_arrival(self, route_id: int, fits: bool) -> float:
        """Record whether a request fits a run; return the fraction that does."""
        fractions = self._fitting_fractions
        if route_id not in fractions and len(fractions) >= ROUTES_MAX:
            del fractions[next(iter(fractions))]
        fraction = fractions.get(route_id, FITTING_FRACTION_MIN)
        fractions[route_id] = fraction + SMOOTHING_FACTOR * (fits - fraction)
        return fractions[route_id]


def importance_of(parent: Parent | None, now_s: float) -> Importance | None:
    """Return the importance of a call; None without a run that waits for it."""
    if parent is None:
        return None
    spent_s = max(0.0, now_s - parent.run.started_s)
    return Importance(parent.run.weight, spent_s * 1000)
