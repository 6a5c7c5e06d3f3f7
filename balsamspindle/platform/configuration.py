"""The operator's configuration, as documents of the product's settings.

The operator writes all of it at once, as one row of the store. It becomes the
documents of one team, named `TEAM`, at a revision that is the row's version.
"""

import re
from typing import Any

import msgspec
import xxhash

from balsamspindle.platform.settings import RetryBounds
from balsamspindle.platform.values import (
    PlatformFormatError,
    parse_duration_ms,
    parse_version,
)
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.settings.documents import (
    CallerLimits,
    CustomerDocument,
    Detection,
    RetryBudget,
    RouteDocument,
    ServiceDocument,
    ServiceShare,
)
from balsamspindle.settings.watcher import OperatorRow, WholeSettings

__all__ = ["TEAM", "operator_row", "service_name", "translate_configuration"]

TEAM = "operator"
TABLE, KEY = "op", "config"

# Of the retries that the bounds allow, those that gates grant. The rest is for what
# no gate can see: requests counted in another window, and that the calls of repeated
# runs are only counted as expected.
RETRY_FRACTION_USED = 0.8
RETRY_PER_S_USED = 0.8

# Backend servers there fall sick on their own, many at a time and for seconds, and
# answer errors or reset connections at once meanwhile. A healthy one fails a request
# now and then, too. So after the first error a trial follows at once; after a failed
# one it waits.
HOLD_OUT_S, HOLD_OUT_MAX_S = 0.05, 1.0
HOLD_OUT_GROWTH = 4.0
TRIAL_SUCCESSES = 1
# A sick spell shows by trials that fail one after the other; an error after a
# second of good service is as likely a single one.
CALM_S = 1.0
# Attempts that may wait at one gate; the time that each still has decides
# first, so this only bounds memory.
QUEUE_MAX = 64

_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_is_name = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}").fullmatch


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route on the wire.

    Attributes
    ----------
    kind : str
        Whether a request may run more than once: ``safe`` or not.
    timeout : str
        How long a caller is kept waiting at most.
    target_latency : str
        Within it an answer has its full worth.
    retry_attempts : int
        Backend servers that one request may be sent to, the first included.
    priority : int
        0 is the most urgent.
    allow_anonymous : bool
        Whether a request needs no key.
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
    weighted_clusters: list[_Share] = []
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
    """A customer on the wire; a rate of 0 is no limit."""

    name: str
    api_keys: list[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Configuration(msgspec.Struct):
    """All of it; without tenants no request needs a key."""

    version: str
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


# What is not named here may run once at most.
_EXECUTIONS = {
    "safe": Execution.IDEMPOTENT,
    "unsafe": Execution.NON_IDEMPOTENT,
    # Large bodies.
    "upload": Execution.NON_IDEMPOTENT,
}


def operator_row(retries: RetryBounds) -> OperatorRow:
    """Return where the operator's configuration lies and how it is read."""
    return OperatorRow(
        TABLE, KEY, lambda value: translate_configuration(value, retries)
    )


def service_name(name: str) -> str:
    """Return the product's name, ``TEAM/NAME``, of a service of the platform."""
    return f"{TEAM}/{_document_name(name)}"


def translate_configuration(value: Any, retries: RetryBounds) -> WholeSettings:
    """Translate a configuration.

    Raises
    ------
    PlatformFormatError
        When it can't be read; nothing of it may come in force then.
    """
    try:
        configuration = msgspec.convert(value, _Configuration)
    except msgspec.ValidationError as error:
        raise PlatformFormatError(f"the configuration: {error}") from None
    revision = parse_version(configuration.version)
    documents: dict[str, msgspec.Struct] = {}
    for service in configuration.services:
        slowest_ms = max(
            (
                parse_duration_ms(route.target_latency)
                for route in configuration.routes
                if service.name in _services_of(route)
            ),
            default=0.0,
        )
        documents[_path("services", service.name)] = _service_document(
            service, slowest_ms, retries
        )
    for route in configuration.routes:
        is_open = configuration.tenants is None or route.allow_anonymous
        documents[_path("routes", route.name)] = _route_document(route, is_open)
    documents |= _customer_documents(configuration.tenants or [])
    if configuration.limits is not None:
        documents[_path("limits", "callers")] = _caller_limits(configuration.limits)
    encoded = {path: msgspec.json.encode(value) for path, value in documents.items()}
    return WholeSettings(revision, encoded)


def _services_of(route: _Route) -> list[str]:
    shares = [share.service for share in route.weighted_clusters]
    return shares or [route.service]


def _service_document(
    service: _Service, slowest_ms: float, retries: RetryBounds
) -> ServiceDocument:
    return ServiceDocument(
        detection=Detection(
            independent_errors=True,
            slow_ms_min=slowest_ms,
            hold_out_s=HOLD_OUT_S,
            hold_out_max_s=HOLD_OUT_MAX_S,
            hold_out_growth=HOLD_OUT_GROWTH,
            trial_successes=TRIAL_SUCCESSES,
            calm_s=CALM_S,
        ),
        retry_budget=RetryBudget(
            fraction=retries.fraction * RETRY_FRACTION_USED,
            fleet_per_s_min=retries.per_s * RETRY_PER_S_USED,
            on_errors=True,
        ),
        probe_path=service.health_path,
        queue_max=QUEUE_MAX,
    )


def _route_document(route: _Route, allows_anonymous: bool) -> RouteDocument:
    shares = tuple(
        ServiceShare(service_name(share.service), share.weight)
        for share in route.weighted_clusters
    )
    named = [route.service] if route.service else _services_of(route)
    if not named or named[0] is None:
        raise PlatformFormatError(f"the route {route.name!r} names no service")
    return RouteDocument(
        service=service_name(named[0]),
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
    """Return the customers' documents, without their keys.

    Raises
    ------
    PlatformFormatError
        When one can't be taken; the message holds no key.
    """
    documents: dict[str, CustomerDocument] = {}
    owners: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        place = f"tenants[{index}]"
        path = _path("customers", tenant.name)
        if path in documents:
            raise PlatformFormatError(f"{place}: the name {tenant.name!r} twice")
        documents[path] = _customer_document(tenant, place)
        for digest in documents[path].key_digests:
            if owners.setdefault(digest, path) != path:
                raise PlatformFormatError(
                    f"{place}: {tenant.name!r} has a key of another tenant"
                )
    return documents


def _customer_document(tenant: _Tenant, place: str) -> CustomerDocument:
    try:
        digests = tuple(map(key_digest, tenant.api_keys))
    except ValueError as error:
        raise PlatformFormatError(f"{place}.api_keys: {error}") from None
    try:
        return msgspec.convert(
            {
                "name": tenant.name,
                "key_digests": digests,
                "rate_per_s": tenant.rate_per_s,
                "burst": tenant.burst if tenant.rate_per_s else 0.0,
                "weight": None if tenant.priority is None else _weight(tenant.priority),
            },
            CustomerDocument,
        )
    except msgspec.ValidationError as error:
        raise PlatformFormatError(f"{place}: {error}") from None


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
    """Return a name that the product takes; usual ones stay as they are."""
    if _is_name(name):
        return name
    return f"x-{xxhash.xxh3_64_hexdigest(name.encode())}"
