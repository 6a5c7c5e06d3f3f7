"""A retry storm: attempts for each request when backend servers fail.

The ingress's own code over a fake gate with simulated time; our retry budget
against the baseline, three attempts for each request. All figures are counts.

    python -m bench.retry_storm
"""

import io
import random
import socket
from enum import StrEnum
from typing import NamedTuple

import zmq

from balsamspindle.membership import Directory
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.requests.links import LinkPool
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RetryBudget, RouteDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import BackendServerRecord, Dispatch, NodeRecord, Reply

__all__ = ["Failure", "StormResult", "run_storm"]

SERVICE = "crew/vacancies"
ROUTE = RouteDocument(service=SERVICE, execution=Execution.IDEMPOTENT)
SERVERS = 6
REQUESTS = 600
ARRIVAL_INTERVAL_S = 0.02
WORK_S = 0.05
BASELINE_ATTEMPTS = 3
SEEDS = range(5)


class Failure(StrEnum):
    """How a failing backend server fails."""

    HANG = "hang"
    BROKEN = "broken"
    SHED = "shed"
    BUSY = "busy"


class StormResult(NamedTuple):
    """Counts for each request.

    Attributes
    ----------
    attempts : float
        Messages to a gate.
    runs : float
        Requests that reached a backend server.
    answered : float
        Part of the requests with an answer that is no 503.
    """

    attempts: float
    runs: float
    answered: float


class FixedAttempts(RetryPolicy):
    """The baseline: a count for each request, whatever the others do."""

    def may_retry(self, service, execution, replies, deadline_s, now_s, **_):
        """Tell whether the count is not reached and time is left."""
        return len(replies) < BASELINE_ATTEMPTS and now_s < deadline_s

    def may_hedge(self, service, now_s, weight=1.0):
        """Tell that a further attempt costs nothing."""
        return True

    def hedge_delay_s(self, service, is_own, left_s, now_s, route_id=0):
        """Return an equal share of the time for each attempt."""
        return left_s / 2


class _Gate:
    """Answers for all backend servers, in simulated time."""

    def __init__(self, failure: Failure, failing: int) -> None:
        self._failure = failure
        self._failing = failing
        self.now_s = 0.0
        self.attempts = 0
        self.runs = 0

    def cancel(self, attempt_id) -> None:
        """Do nothing: no attempt lasts in real time."""

    def repeat_fraction(self) -> float:
        """See `Gate.repeat_fraction`."""
        return 0.0

    def handle(self, dispatch: Dispatch, received_s: float) -> Reply:
        """Answer, or fail as the backend server does."""
        self.attempts += 1
        number = int(dispatch.backend_server_id.rpartition("-")[2])
        if number >= self._failing:
            return self._work(dispatch, WORK_S, Outcome.ANSWERED, None, 200)
        match self._failure:
            case Failure.HANG:
                time_s = dispatch.remaining_ms / 1000
                return self._work(dispatch, time_s, Outcome.UNKNOWN, Reason.SILENCE)
            case Failure.BROKEN:
                return self._work(
                    dispatch, WORK_S, Outcome.UNKNOWN, Reason.BROKEN_ANSWER
                )
            case Failure.SHED:
                return self._work(dispatch, 0.001, Outcome.ANSWERED, None, 503)
        return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.NO_FREE_SLOT)

    def _work(self, dispatch, time_s, outcome, reason, status=0) -> Reply:
        self.runs += 1
        self.now_s += time_s
        return Reply(
            dispatch.attempt_id, outcome, reason, status=status, free_slots=SERVERS
        )


def run_storm(failure: Failure, failing: int, policy: type, seed: int) -> StormResult:
    """Forward seeded requests while some of the backend servers fail.

    Parameters
    ----------
    failing : int
        Of the `SERVERS` backend servers.
    policy : type
        `RetryPolicy` or `FixedAttempts`.
    """
    gate = _Gate(failure, failing)
    servers = tuple(
        BackendServerRecord(f"server-{number}", SERVICE, "1", SERVERS, "ready")
        for number in range(SERVERS)
    )
    own = NodeRecord("own", seed, 1, "r", "z", "-", "-", "alive", servers)
    directory = Directory()
    directory.update(own, 0.0)
    events = EventLog("own", seed, HybridClock(), io.StringIO())
    links = LinkPool(zmq.Context.instance(), events)
    retries = policy(lambda service: RetryBudget())
    picker = Picker(own, directory, CurrentConfiguration())
    forwarder = Forwarder(
        own, picker, gate, links, events, None, retries, lambda: gate.now_s
    )
    arrivals = random.Random(seed)
    arrived_s, answered = 0.0, 0
    near, far = socket.socketpair()
    with near, far:
        caller = HttpConnection(near, HttpLimits())
        for number in range(REQUESTS):
            arrived_s += arrivals.expovariate(1 / ARRIVAL_INTERVAL_S)
            # Requests overlap: each begins at its own time.
            gate.now_s = arrived_s
            reply = forwarder.forward(_request(caller, number, arrived_s))
            answered += reply.outcome is Outcome.ANSWERED and reply.status == 200
    return StormResult(
        gate.attempts / REQUESTS, gate.runs / REQUESTS, answered / REQUESTS
    )


def _request(caller, number: int, arrived_s: float) -> ForwardedRequest:
    request = CallerRequest("GET", f"/{number}")
    deadline_s = arrived_s + ROUTE.timeout_ms / 1000
    return ForwardedRequest(f"{number}", caller, request, ROUTE, deadline_s)


def main() -> None:
    """Print the means of all seeds."""
    print("                   budget                    three attempts")
    print("failing            attempts runs  answered   attempts runs  answered")
    for failure in Failure:
        for failing in (1, 3, SERVERS):
            columns = []
            for policy in (RetryPolicy, FixedAttempts):
                results = [run_storm(failure, failing, policy, seed) for seed in SEEDS]
                means = [
                    sum(part) / len(results) for part in zip(*results, strict=True)
                ]
                columns.append(f"{means[0]:8.2f} {means[1]:5.2f} {means[2]:8.1%}")
            print(f"{failing} of {SERVERS} {failure:10} {'   '.join(columns)}")


if __name__ == "__main__":
    main()
