"""Retry storms: attempts for each request when backend servers fail.

The bench runs the ingress's forwarder with a simulated gate and simulated time. It
compares the retry budget of the forwarder with a baseline policy that allows three
attempts for each request. All figures are counts, which do not depend on the machine.

    python -m bench.retry_storm
"""

import io
import random
import socket
from enum import StrEnum
from typing import NamedTuple

import zmq

from balsamspindle.backend_servers.open_runs import OpenRuns
from balsamspindle.membership import Directory
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.requests.link_pool import LinkPool
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
    """How an attempt at a failing backend server ends."""

    # No answer until the deadline.
    HANG = "hang"
    # An incomplete answer.
    BROKEN = "broken"
    # Status 503 after 1 ms.
    SHED = "shed"
    # The gate refuses the attempt, because no slot is free.
    BUSY = "busy"


class StormResult(NamedTuple):
    """Means over all requests of a simulation.

    Attributes
    ----------
    attempts : float
        Attempts that reached a gate.
    runs : float
        Attempts that reached a backend server.
    answered : float
        Fraction of the requests that were answered with status 200.
    """

    attempts: float
    runs: float
    answered: float


class FixedAttempts(RetryPolicy):
    """Baseline policy: a fixed limit on attempts per request, and no retry budget."""

    def may_retry(self, service, execution, replies, deadline_s, now_s, **_):
        """Return whether the limit and the deadline allow a further attempt."""
        return len(replies) < BASELINE_ATTEMPTS and now_s < deadline_s

    def may_hedge(self, service, now_s, weight=1.0):
        """Return True: the baseline has no budget to spend."""
        return True

    def hedge_delay_s(self, service, is_own, remaining_s, now_s, route_id=0):
        """Return half of the remaining time; the hedge gets the other half."""
        return remaining_s / 2


class _SimulatedGate:
    """Simulates a gate and its backend servers, some of which fail."""

    def __init__(self, failure: Failure, failing: int) -> None:
        self._failure = failure
        self._failing = failing
        self.now_s = 0.0
        self.open_runs = OpenRuns()
        self.attempts = 0
        self.runs = 0

    def cancel(self, attempt_id) -> None:
        """Do nothing: each simulated attempt has ended when `handle` returns."""

    def repeat_fraction(self) -> float:
        """See `Gate.repeat_fraction`."""
        return 0.0

    def handle(self, dispatch: Dispatch, received_s: float) -> Reply:
        """Simulate an attempt, advance the clock to its end, and return the reply."""
        self.attempts += 1
        number = int(dispatch.backend_server_id.rpartition("-")[2])
        if number >= self._failing:
            return self._reply_after(dispatch, WORK_S, Outcome.ANSWERED, None, 200)
        match self._failure:
            case Failure.HANG:
                duration_s = dispatch.remaining_ms / 1000
                return self._reply_after(
                    dispatch, duration_s, Outcome.UNKNOWN, Reason.SILENCE
                )
            case Failure.BROKEN:
                return self._reply_after(
                    dispatch, WORK_S, Outcome.UNKNOWN, Reason.BROKEN_ANSWER
                )
            case Failure.SHED:
                return self._reply_after(dispatch, 0.001, Outcome.ANSWERED, None, 503)
        return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.NO_FREE_SLOT)

    def _reply_after(self, dispatch, duration_s, outcome, reason, status=0) -> Reply:
        self.runs += 1
        self.now_s += duration_s
        return Reply(
            dispatch.attempt_id, outcome, reason, status=status, free_slots=SERVERS
        )


def run_storm(failure: Failure, failing: int, policy: type, seed: int) -> StormResult:
    """Forward seeded requests while backend servers fail, and return the figures.

    Parameters
    ----------
    failing : int
        Number of failing backend servers, of `SERVERS`.
    policy : type
        `RetryPolicy` or `FixedAttempts`.
    """
    gate = _SimulatedGate(failure, failing)
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
    arrival_s, answered = 0.0, 0
    near, far = socket.socketpair()
    with near, far:
        caller = HttpConnection(near, HttpLimits())
        for number in range(REQUESTS):
            arrival_s += arrivals.expovariate(1 / ARRIVAL_INTERVAL_S)
            # Requests overlap in time but are simulated one after another. So the clock
            # may have to go back to the arrival of this request.
            gate.now_s = arrival_s
            reply = forwarder.forward(_request(caller, number, arrival_s))
            answered += reply.outcome is Outcome.ANSWERED and reply.status == 200
    return StormResult(
        gate.attempts / REQUESTS, gate.runs / REQUESTS, answered / REQUESTS
    )


def _request(caller, number: int, arrival_s: float) -> ForwardedRequest:
    request = CallerRequest("GET", f"/{number}")
    deadline_s = arrival_s + ROUTE.timeout_ms / 1000
    return ForwardedRequest(f"{number}", caller, request, ROUTE, deadline_s)


def main() -> None:
    """Print the mean figures of all seeds for each failure and both retry policies."""
    print("                   budget                    three attempts")
    print("failing            attempts runs  answered   attempts runs  answered")
    for failure in Failure:
        for failing in (1, 3, SERVERS):
            columns = []
            for policy in (RetryPolicy, FixedAttempts):
                results = [run_storm(failure, failing, policy, seed) for seed in SEEDS]
                means = [
                    sum(column) / len(results) for column in zip(*results, strict=True)
                ]
                columns.append(f"{means[0]:8.2f} {means[1]:5.2f} {means[2]:8.1%}")
            print(f"{failing} of {SERVERS} {failure:10} {'   '.join(columns)}")


if __name__ == "__main__":
    main()
