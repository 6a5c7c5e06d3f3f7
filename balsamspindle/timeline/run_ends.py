"""Counts of how runs ended, by the health that the gate assumed at their start.

A run is one execution of a request by a backend server. Runs fail for two main reasons,
and the counts show which reason is more frequent:

- The backend server is sick and its gate has not detected that. Faster detection helps.
- The gate suspects the backend server, but uses it for a trial or because no healthy
  backend server is available. A different selection of backend servers helps.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.timeline.merge import TimelineEvent

__all__ = ["AssumedHealth", "RunEnd", "RunEnds", "count_run_ends"]

ERROR_STATUS_MIN = 500
# An error within this time after the start of the run is attributed to the backend
# server itself. A later error occurred during the work, most often because a call to
# another service failed.
FAST_ERROR_MS = 20.0


class AssumedHealth(StrEnum):
    """Health of a backend server as assumed by its gate when a run started there."""

    HEALTHY = "well"
    SUSPECTED = "suspected"
    ON_TRIAL = "on_trial"
    # The start of the run is not among the events, because the log is incomplete or
    # was written by another version.
    NOT_SEEN = "not_seen"


class RunEnd(StrEnum):
    """How a run ended.

    Attributes
    ----------
    SERVED
        With a status below `ERROR_STATUS_MIN`.
    FAST_ERROR
        With a status of `ERROR_STATUS_MIN` or above, in less than `FAST_ERROR_MS`.
    SLOW_ERROR
        With a status of `ERROR_STATUS_MIN` or above, after a longer time.
    NO_ANSWER
        Without a status.
    """

    SERVED = "served"
    FAST_ERROR = "fast_error"
    SLOW_ERROR = "slow_error"
    NO_ANSWER = "no_answer"


class RunEnds(NamedTuple):
    """Counts of the runs in some events.

    Attributes
    ----------
    counts : dict
        Number of runs with each end, by service and assumed health.
    left_out : int
        Number of runs whose start or service is not among the events.
    """

    counts: dict[tuple[str, AssumedHealth], Counter[RunEnd]]
    left_out: int


_HEALTH_BY_EVENT = {
    "backend_server_suspected": AssumedHealth.SUSPECTED,
    "backend_server_on_trial": AssumedHealth.ON_TRIAL,
    "backend_server_readmitted": AssumedHealth.HEALTHY,
}


def count_run_ends(events: Iterable[TimelineEvent]) -> RunEnds:
    """Count runs by service, by the health that their gate assumed, and by end.

    Parameters
    ----------
    events : iterable of TimelineEvent
        Events of all nodes, in the order of their hybrid time.
    """
    health: dict[str, AssumedHealth] = {}
    health_at_start: dict[tuple[str, str], AssumedHealth] = {}
    services: dict[str, str] = {}
    ended: list[tuple[str, AssumedHealth, RunEnd]] = []
    for event in events:
        details = event.details
        server, request = details.get("backend_server", ""), details.get("request", "")
        match event.event:
            case "request_ended" if "service" in details:
                services[request] = details["service"]
            case "attempt_dispatched":
                health_at_start[request, server] = health.get(
                    server, AssumedHealth.HEALTHY
                )
            case "attempt_ended":
                assumed_health = health_at_start.pop(
                    (request, server), AssumedHealth.NOT_SEEN
                )
                ended.append((request, assumed_health, _classify_end(details)))
            case name if name in _HEALTH_BY_EVENT:
                health[server] = _HEALTH_BY_EVENT[name]
    counts: dict[tuple[str, AssumedHealth], Counter[RunEnd]] = defaultdict(Counter)
    left_out = 0
    for request, assumed_health, end in ended:
        if assumed_health is AssumedHealth.NOT_SEEN or request not in services:
            left_out += 1
        else:
            counts[services[request], assumed_health][end] += 1
    return RunEnds(dict(counts), left_out)


def _classify_end(details: dict[str, str]) -> RunEnd:
    status = details.get("status", "")
    if not status.isdigit():
        return RunEnd.NO_ANSWER
    if int(status) < ERROR_STATUS_MIN:
        return RunEnd.SERVED
    is_fast = _to_float(details.get("ran_ms")) < FAST_ERROR_MS
    return RunEnd.FAST_ERROR if is_fast else RunEnd.SLOW_ERROR


def _to_float(text: str | None) -> float:
    try:
        return float(text or 0.0)
    except ValueError:
        return 0.0
