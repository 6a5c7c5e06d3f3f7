"""Translates the operator's configuration into documents of the product's settings.

The operator writes the whole configuration as one row of the store. The configuration
is translated into documents of one team, named `TEAM`. The revision of the documents is
the configuration's version.
"""

import re
from collections.abc import Collection
from typing import Any, TypedDict

import msgspec
import xxhash

from balsamspindle.platform.settings import RetryBounds
from balsamspindle.platform.values import (
    PlatformFormatError,
    parse_duration_ms,
    parse_version,
)
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.protocol.decoding import InputError, convert_input
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.settings.documents import (
    CallerLimits,
    CustomerDocument,
    Detection,
    RetryBudget,
    RouteDocument,
    ServiceDocument,
    ServiceShare,
    encode_document,
)
from balsamspindle.settings.watcher import OperatorRow, WholeSettings

__all__ = ["TEAM", "operator_row", "service_name", "translate_configuration"]

TEAM = "operator"
TABLE, KEY = "op", "config"

# The platform's bounds limit the retries. Gates grant only these fractions of the
# limits, because they can't count exactly as the platform does. The platform counts
# requests in another time window. It also counts the requests that a backend server
# sends while it runs a retry; gates can only estimate their number.
RETRY_RATIO_USED_FRACTION = 0.8
RETRY_RATE_USED_FRACTION = 0.8

# On this platform many backend servers can fail at the same time, independently of each
# other and for some seconds. A failing backend server answers each request at once with
# an error or resets the connection. A healthy backend server fails single requests,
# too. An error alone does not show whether the backend server is failing, so the first
# trial follows soon after the error. Each failed trial makes the wait for the next
# trial longer.
HOLD_OUT_S, HOLD_OUT_MAX_S = 0.05, 1.0
HOLD_OUT_GROWTH = 4.0
TRIAL_SUCCESSES = 1
# Each second in service without an ejection divides the length of the next hold-out by
# `HOLD_OUT_GROWTH`. A backend server that keeps failing fails one trial after the
# other, so it is never in service for a second. If a backend server fails after a
# second in service, the error may well be a single failure.
HOLD_OUT_DECAY_S = 1.0
# Maximum number of attempts that wait at one gate. The gate refuses an attempt that
# can't end before its deadline, so this maximum only bounds memory.
QUEUE_MAX = 64

_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_is_valid_name = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}").fullmatch


class _WeightedCluster(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route as the operator writes it.

    Attributes
    ----------
    kind : str
        ``safe`` or ``download`` if a request may run more than once; see `_EXECUTIONS`.
    timeout : str
        Longest time until the caller gets an answer.
    target_latency : str
        Latency up to which an answer has its full value.
    retry_attempts : int
        Maximum number of backend servers to which one request is sent, including the
        first.
    priority : int
        0 is the most urgent.
    allow_anonymous : bool
        Whether requests without a key are accepted.
    """

    name: str
    hostname: str
    prefix: str
    kind: str
    timeout: str
    retry_attempts: int
    target_latency: str = "1s"
    priority: int = 0
    service: str | None = None
    weighted_clusters: list[_WeightedCluster] = []
    allow_anonymous: bool = False


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Tenant(msgspec.Struct):
    """A customer as the operator writes it; a rate of 0 means no limit."""

    name: str
    api_keys: list[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Configuration(msgspec.Struct):
    """The whole configuration; if `tenants` is None, no request needs a key."""

    version: str
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


# Execution by kind of route. Requests of other kinds may run at most once.
_EXECUTIONS = {
    "safe": Execution.IDEMPOTENT,
    # Requests with large answers.
    "download": Execution.IDEMPOTENT,
    "unsafe": Execution.NON_IDEMPOTENT,
    # Requests with large bodies.
    "upload": Execution.NON_IDEMPOTENT,
}


# The contract under which callers press for more room than the services have.
PRESSURE_CONTRACT = "pressure"


class _HardLoad(TypedDict):
    """Settings of services that can't serve their load at times."""

    orders_routes_within_customers: bool
    calls_inherit_importance: bool
    reserves_places: bool
    admits_by_level: bool


# Kinds of routes whose answers can occupy a link for longer than a short request runs.
_LARGE_ANSWER_KINDS = frozenset({"download"})


def operator_row(
    retries: RetryBounds, contracts: Collection[str] = frozenset()
) -> OperatorRow:
    """Return the row that stores the operator's configuration, with its decoder."""
    return OperatorRow(
        TABLE, KEY, lambda value: translate_configuration(value, retries, contracts)
    )


def service_name(name: str) -> str:
    """Return the product's name ``TEAM/NAME`` for a service of the platform."""
    return f"{TEAM}/{_document_name(name)}"


def translate_configuration(
    value: Any, retries: RetryBounds, contracts: Collection[str] = frozenset()
) -> WholeSettings:
    """Translate the operator's configuration into documents and their revision.

    Parameters
    ----------
    contracts : collection of str
        Names of the contracts in force.

    Raises
    ------
    PlatformFormatError
        If any part of the configuration is invalid. No part of the configuration may
        then come into force.
    """
    try:
        configuration = convert_input(value, _Configuration)
    except InputError as error:
        raise PlatformFormatError(f"invalid configuration: {error}") from None
    revision = parse_version(configuration.version)
    documents: dict[str, msgspec.Struct] = {}
    hard_load = _hard_load(configuration, contracts)
    for service in configuration.services:
        slowest_target_ms = max(
            (
                parse_duration_ms(route.target_latency)
                for route in configuration.routes
                if service.name in _route_services(route)
            ),
            default=0.0,
        )
        documents[_path("services", service.name)] = _service_document(
            service, slowest_target_ms, retries, hard_load
        )
    for route in configuration.routes:
        allows_anonymous = configuration.tenants is None or route.allow_anonymous
        documents[_path("routes", route.name)] = _route_document(
            route, allows_anonymous
        )
    documents |= _customer_documents(configuration.tenants or [])
    if configuration.limits is not None:
        documents[_path("limits", "callers")] = _caller_limits(configuration.limits)
    encoded = {path: encode_document(value) for path, value in documents.items()}
    return WholeSettings(revision, encoded)


def _route_services(route: _Route) -> list[str]:
    services = [cluster.service for cluster in route.weighted_clusters]
    return services or [route.service]


def _service_document(
    service: _Service,
    slowest_target_ms: float,
    retries: RetryBounds,
    hard_load: _HardLoad,
) -> ServiceDocument:
    return ServiceDocument(
        detection=Detection(
            independent_errors=True,
            slow_ms_min=slowest_target_ms,
            hold_out_s=HOLD_OUT_S,
            hold_out_max_s=HOLD_OUT_MAX_S,
            hold_out_growth=HOLD_OUT_GROWTH,
            trial_successes=TRIAL_SUCCESSES,
            calm_s=HOLD_OUT_DECAY_S,
        ),
        retry_budget=RetryBudget(
            fraction=retries.fraction * RETRY_RATIO_USED_FRACTION,
            fleet_per_s_min=retries.per_s * RETRY_RATE_USED_FRACTION,
            on_errors=True,
            reserves_by_demand=hard_load["admits_by_level"],
        ),
        probe_path=service.health_path,
        queue_max=QUEUE_MAX,
        **hard_load,
    )


def _hard_load(configuration: _Configuration, contracts: Collection[str]) -> _HardLoad:
    """Return the settings for load that the services can't serve at times.

    They are on if callers press, or if some routes have large answers: these fill
    links, and the other requests then wait although slots are free.
    """
    is_on = PRESSURE_CONTRACT in contracts or any(
        route.kind in _LARGE_ANSWER_KINDS for route in configuration.routes
    )
    return _HardLoad(
        orders_routes_within_customers=is_on,
        calls_inherit_importance=is_on,
        reserves_places=is_on,
        admits_by_level=is_on,
    )


def _route_document(route: _Route, allows_anonymous: bool) -> RouteDocument:
    shares = tuple(
        ServiceShare(service_name(cluster.service), cluster.weight)
        for cluster in route.weighted_clusters
    )
    service_names = [route.service] if route.service else _route_services(route)
    if not service_names or service_names[0] is None:
        raise PlatformFormatError(f"route {route.name!r} has no service")
    return RouteDocument(
        service=service_name(service_names[0]),
        execution=_EXECUTIONS.get(route.kind, Execution.NON_IDEMPOTENT),
        host=route.hostname,
        path_prefix=route.prefix,
        methods=_METHODS,
        timeout_ms=parse_duration_ms(route.timeout),
        weight=_weight(route.priority),
        shares=shares,
        attempts_max=max(1, route.retry_attempts),
        target_ms=parse_duration_ms(route.target_latency),
        allows_anonymous=allows_anonymous,
    )


def _customer_documents(tenants: list[_Tenant]) -> dict[str, CustomerDocument]:
    """Return the customers' documents, which hold digests in place of keys.

    Raises
    ------
    PlatformFormatError
        If a customer is invalid. The message contains no key.
    """
    documents: dict[str, CustomerDocument] = {}
    owners: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        location = f"tenants[{index}]"
        path = _path("customers", tenant.name)
        if path in documents:
            raise PlatformFormatError(f"{location}: duplicate name {tenant.name!r}")
        documents[path] = _customer_document(tenant, location)
        for digest in documents[path].key_digests:
            if owners.setdefault(digest, path) != path:
                raise PlatformFormatError(
                    f"{location}: {tenant.name!r} uses a key of another tenant"
                )
    return documents


def _customer_document(tenant: _Tenant, location: str) -> CustomerDocument:
    try:
        digests = tuple(map(key_digest, tenant.api_keys))
    except ValueError as error:
        raise PlatformFormatError(f"{location}.api_keys: {error}") from None
    try:
        return convert_input(
            {
                "name": tenant.name,
                "key_digests": digests,
                "rate_per_s": tenant.rate_per_s,
                "burst": tenant.burst if tenant.rate_per_s else 0.0,
                "weight": None if tenant.priority is None else _weight(tenant.priority),
            },
            CustomerDocument,
        )
    except InputError as error:
        raise PlatformFormatError(f"{location}: {error}") from None


def _weight(priority: int) -> float:
    return 1 / (1 + max(0, priority))


def _caller_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        parse_duration_ms(limits.header_timeout),
        parse_duration_ms(limits.idle_timeout),
    )


def _path(kind: str, name: str) -> str:
    return f"{TEAM}/{kind}/{_document_name(name)}"


def _document_name(name: str) -> str:
    """Return the name itself if it is valid in the product, else a hash of it."""
    if _is_valid_name(name):
        return name
    return f"x-{xxhash.xxh3_64_hexdigest(name.encode())}"
