"""The documents of the fleet's settings: services, routes, customers, limits.

The path of a document is ``TEAM/services/NAME``, ``TEAM/routes/NAME``,
``TEAM/customers/NAME`` or ``TEAM/limits/NAME``. All documents whose paths start with
the same team form a subtree, which that team owns.
"""

import re
from typing import Annotated, Literal

import msgspec

from balsamspindle.protocol.api_keys import KEY_DIGEST_BYTES
from balsamspindle.protocol.outcomes import Execution

__all__ = [
    "ATTEMPTS_MAX",
    "DOCUMENT_TYPES",
    "NAME_PATTERN",
    "CallerLimits",
    "CustomerDocument",
    "Detection",
    "RetryBudget",
    "RouteDocument",
    "ServiceDocument",
    "ServiceShare",
    "document_type",
    "encode_document",
]

# A request that failed on this many backend servers is not worth another attempt.
ATTEMPTS_MAX = 5

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


KeyDigest = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}\Z",
        extra_json_schema={"description": "a key's digest, in hexadecimal digits"},
    ),
]
CustomerName = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[!-~]{1,128}\Z",
        extra_json_schema={"description": "1 to 128 visible ASCII characters"},
    ),
]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Detection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a service's backend servers are ejected, and how long they are held out.

    Attributes
    ----------
    threshold : float
        A backend server is ejected when its score reaches this value. The score
        measures the evidence that the backend server has failed. With a higher value,
        failures are detected later and false ejections are rarer.
    error_rate_healthy, error_rate_sick : float
        Error rates of a healthy and of a failing backend server, between which
        a statistical test decides.
    slow_factor : float
        A request is slow if it takes more than this many times the 99th
        percentile of latency at the service's other backend servers.
    pause_ms : float
        How long a healthy backend server may stop answering, for example
        during garbage collection or while it waits for a lock. All slow
        requests within this time count as one slow request.
    hold_out_s, hold_out_max_s : float
        Length of a backend server's first hold-out, and the maximum length of
        its later hold-outs.
    hold_out_growth : float
        Factor by which each hold-out is longer than the one before.
    trial_successes : int
        Number of consecutive successful requests that end a trial.
    calm_s : float
        Each time that a backend server has been in service for this long without
        an ejection, the length of its next hold-out is divided by
        `hold_out_growth`, down to `hold_out_s`.
    independent_errors : bool
        Whether backend servers fail independently of each other and some are
        failing at any time. If True, a single error ejects a backend server:
        where one backend server in four is failing, an error comes from a
        failing one far more often than from a healthy one. If False, an error
        counts for less while other backend servers have errors too.
    slow_ms_min : float
        A request that takes less than this never counts as slow.
    """

    threshold: Positive = 10.0
    error_rate_healthy: Fraction = 0.01
    error_rate_sick: Fraction = 0.3
    slow_factor: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    pause_ms: Positive = 500.0
    hold_out_s: Positive = 5.0
    hold_out_growth: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    hold_out_max_s: Positive = 300.0
    trial_successes: Annotated[int, msgspec.Meta(ge=1)] = 5
    calm_s: Positive = 600.0
    independent_errors: bool = False
    slow_ms_min: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class RetryBudget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many retries are allowed: a fraction of the requests, and a minimum rate.

    Attributes
    ----------
    fraction : float
        Allowed retries per request, over about the last ten seconds.
    per_s_min : float
        Retries per second that each node may always make.
    fleet_per_s_min : float
        Retries per second that all nodes together may always make, divided
        equally among the nodes. If above 0, it replaces `per_s_min`.
    on_errors : bool
        Whether an idempotent request is also retried after a backend server
        answered it with status 500 or above.
    reserves_by_demand : bool
        Lighter requests leave half of the retries to heavier ones. With True, they
        leave of this half only what heavier requests asked for within ten seconds and
        did not get. Otherwise much of the half stays unused where heavier requests
        come often and seldom fail. Takes effect where `fleet_per_s_min` is above 0.
    """

    fraction: Fraction = 0.1
    per_s_min: Positive = 1.0
    fleet_per_s_min: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    on_errors: bool = False
    reserves_by_demand: bool = False


class ServiceDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service and the rules for its backend servers.

    Attributes
    ----------
    floor_fraction : float
        Fraction of the service's known capacity that stays in use however many
        backend servers are ejected.
    probe_path : str
        Path of the backend servers' health endpoint.
    cold_start_s : float
        Time in which a new backend server's capacity rises to its full value.
    queue_max : int
        Number of requests that may wait for a slot at one gate.
    orders_routes_within_customers : bool
        Whether, of requests whose customers have the same weight, those of the heavier
        route go first. Otherwise a customer's weight hides which of its requests are
        urgent.
    calls_inherit_importance : bool
        Whether a call that a backend server makes while it runs a request is as
        important as this request. Suits services whose short calls compete for slots
        with other, longer requests.
    reserves_places : bool
        Whether a request that has to wait reserves a place at two gates. Suits services
        whose backend servers have few slots and are all busy at times.
    admits_by_level : bool
        Whether ingresses refuse at once what the service has no room for, the least
        important requests first. Suits services with more demand than room at times.
    """

    floor_fraction: Fraction = 0.6
    detection: Detection = Detection()
    retry_budget: RetryBudget = RetryBudget()
    probe_path: AbsolutePath = "/health"
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    queue_max: Annotated[int, msgspec.Meta(ge=0)] = 32
    orders_routes_within_customers: bool = False
    calls_inherit_importance: bool = False
    reserves_places: bool = False
    admits_by_level: bool = False


class ServiceShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of several services that share a route's requests."""

    service: ServiceName
    weight: Annotated[float, msgspec.Meta(ge=0)]


class RouteDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which requests go to a service, and how they are sent.

    Attributes
    ----------
    host : str
        Host name without port; ``*`` matches any.
    path_prefix : str
        Matches whole segments: ``/a`` matches ``/a`` and ``/a/b``, not ``/ab``.
        With a slash at its end, ``/a/`` matches itself and all paths below it,
        but not ``/a``.
    service : str
        Name of a service document, ``TEAM/NAME``.
    shares : tuple of ServiceShare
        If not empty, requests go to these services in proportion to their
        weights, and `service` is not used. A request for which the selected
        service has no capacity is refused, not moved to another service.
    timeout_ms : float
        Time limit of the whole request, retries included.
    weight : float
        Value of one answered request. Under overload, requests with the
        lowest weight are shed first.
    attempts_max : int
        Maximum number of backend servers to which one request is sent.
    target_ms : float
        Time within which an answer has its full value; 0 if the route does not
        specify a target. A request may wait for a fraction of the target in queues
        of its own zone. If the gates there report longer waits, the ingress sends
        the request to gates in other zones. The target also determines the
        request's position in the queue of a gate.
    allows_anonymous : bool
        Whether requests without a customer's key are served.
    """

    service: ServiceName
    execution: Execution
    host: Host = "*"
    path_prefix: AbsolutePath = "/"
    methods: Annotated[tuple[Method, ...], msgspec.Meta(min_length=1)] = ("GET",)
    timeout_ms: Positive = 2000.0
    weight: Positive = 1.0
    shares: tuple[ServiceShare, ...] = ()
    attempts_max: Annotated[int, msgspec.Meta(ge=1)] = ATTEMPTS_MAX
    target_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    allows_anonymous: bool = True


class CustomerDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer: its keys, its request limit and its weight.

    Attributes
    ----------
    name : str
        Name that is sent to backend servers with the customer's requests.
    key_digests : tuple of str
        Digests of all valid keys. A customer has two valid keys while it changes
        from one key to the next.
    rate_per_s : float
        Requests per second over all nodes together; 0 for no limit.
    burst : float
        Number of requests by which the customer may exceed the rate at once.
    weight : float or None
        Used instead of the route's weight; if None, the route's weight is used.
    """

    name: CustomerName
    key_digests: tuple[KeyDigest, ...] = ()
    rate_per_s: NonNegative = 0.0
    burst: NonNegative = 0.0
    weight: Positive | None = None


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the size and the time of requests, for all callers.

    If several documents set limits, the strictest value of each field applies, so
    that no team's document can loosen another team's limits.
    """

    head_max_bytes: Annotated[int, msgspec.Meta(ge=1024)]
    body_max_bytes: Annotated[int, msgspec.Meta(ge=0)]
    head_timeout_ms: Positive
    idle_timeout_ms: Positive


DOCUMENT_TYPES: dict[str, type] = {
    "services": ServiceDocument,
    "routes": RouteDocument,
    "customers": CustomerDocument,
    "limits": CallerLimits,
}


# Fields that earlier releases do not know. These releases cannot read a document that
# contains them.
_LATER_FIELDS: dict[type, tuple[str, ...]] = {
    ServiceDocument: (
        "orders_routes_within_customers",
        "calls_inherit_importance",
        "reserves_places",
        "admits_by_level",
    ),
    RetryBudget: ("reserves_by_demand",),
}


def encode_document(document: msgspec.Struct) -> bytes:
    """Encode a document, without the later fields that have their defaults.

    While nodes of two releases form one fleet, both can read documents that use no
    setting of the newer one.
    """
    return msgspec.json.encode(_known_fields(document))


def _known_fields(document: msgspec.Struct) -> dict[str, object]:
    later = _LATER_FIELDS.get(type(document), ())
    fields = {}
    for field in msgspec.structs.fields(document):
        value = getattr(document, field.name)
        if field.name in later and value == field.default:
            continue
        is_struct = isinstance(value, msgspec.Struct)
        fields[field.name] = _known_fields(value) if is_struct else value
    return fields


def document_type(path: str) -> type | None:
    """Return the type of the document at a path, or None for an invalid path."""
    segments = path.split("/")
    if len(segments) != 3:
        return None
    team, kind, name = segments
    if not (NAME_PATTERN.match(team) and NAME_PATTERN.match(name)):
        return None
    return DOCUMENT_TYPES.get(kind)
