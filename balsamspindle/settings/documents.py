"""The documents of the fleet's settings: services and routes.

A document lives at ``TEAM/services/NAME`` or ``TEAM/routes/NAME``. The first
segment is the subtree that one team owns.
"""

import re
from typing import Annotated, Literal

import msgspec

from balsamspindle.requests.outcomes import Execution

__all__ = [
    "DOCUMENT_TYPES",
    "NAME_PATTERN",
    "Detection",
    "RetryBudget",
    "RouteDocument",
    "ServiceDocument",
    "document_type",
]

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9.-]{0,63}\Z")
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
ServiceName = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9.-]*/[a-z0-9][a-z0-9.-]*\Z",
        extra_json_schema={"description": "the name of a service, TEAM/NAME"},
    ),
]
Host = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\*|[A-Za-z0-9.-]+)\Z",
        extra_json_schema={"description": "a host name without port, or *"},
    ),
]
AbsolutePath = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^/[^?#\s]*\Z",
        extra_json_schema={"description": "a path that starts with /, without query"},
    ),
]


class Detection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The trade between detection time and false ejections.

    Attributes
    ----------
    threshold : float
        Evidence that ejects: higher is slower and errs less often.
    error_rate_healthy, error_rate_sick : float
        The two error rates that the test tells apart.
    slow_factor : float
        What counts as slow: over so many times the 99th percentile of the
        service's other backend servers.
    pause_ms : float
        Time that a healthy backend server may stand still (a pause of its
        runtime, a lock): what is slow within it counts once.
    hold_out_s, hold_out_max_s : float
        Time without work after an ejection: the first one, and the bound of
        its doublings.
    trial_successes : int
        Good requests in a row that end a trial.
    """

    threshold: Positive = 10.0
    error_rate_healthy: Fraction = 0.01
    error_rate_sick: Fraction = 0.3
    slow_factor: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    pause_ms: Positive = 500.0
    hold_out_s: Positive = 5.0
    hold_out_max_s: Positive = 300.0
    trial_successes: Annotated[int, msgspec.Meta(ge=1)] = 5


class RetryBudget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retries allowed, as a fraction of requests and a small floor.

    Attributes
    ----------
    fraction : float
        Retries per request, over the last ten seconds or so.
    per_s_min : float
        Retries a second that are always allowed.
    """

    fraction: Fraction = 0.1
    per_s_min: Positive = 1.0


class ServiceDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service and the rules for its backend servers.

    Attributes
    ----------
    floor_fraction : float
        Part of the known capacity that ejection never goes below.
    probe_path : str
        Path of the backend servers' health endpoint.
    cold_start_s : float
        Time over which a new backend server's capacity ramps up.
    queue_max : int
        Requests that may wait for a slot at one gate.
    """

    floor_fraction: Fraction = 0.6
    detection: Detection = Detection()
    retry_budget: RetryBudget = RetryBudget()
    probe_path: AbsolutePath = "/health"
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    queue_max: Annotated[int, msgspec.Meta(ge=0)] = 32


class RouteDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which requests go to a service, and how.

    Attributes
    ----------
    host : str
        Host name without port; ``*`` takes any.
    path_prefix : str
        Whole segments: ``/a`` takes ``/a`` and ``/a/b``, not ``/ab``.
    service : str
        Name of a service document, ``TEAM/NAME``.
    timeout_ms : float
        Time for the whole request, retries included.
    weight : float
        Worth of one answered request; the lightest is shed first.
    """

    service: ServiceName
    execution: Execution
    host: Host = "*"
    path_prefix: AbsolutePath = "/"
    methods: Annotated[tuple[Method, ...], msgspec.Meta(min_length=1)] = ("GET",)
    timeout_ms: Positive = 2000.0
    weight: Positive = 1.0


DOCUMENT_TYPES: dict[str, type] = {
    "services": ServiceDocument,
    "routes": RouteDocument,
}


def document_type(path: str) -> type | None:
    """Return the type of the document at a path, or None for a wrong path."""
    segments = path.split("/")
    if len(segments) != 3:
        return None
    team, kind, name = segments
    if not (NAME_PATTERN.match(team) and NAME_PATTERN.match(name)):
        return None
    return DOCUMENT_TYPES.get(kind)
