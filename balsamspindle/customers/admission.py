"""Admits or refuses callers' requests by their keys and their customers' limits.

A key is accepted only while this node's settings are proven to be new enough.
"""

from typing import NamedTuple

import msgspec

from balsamspindle.customers.buckets import Denial
from balsamspindle.customers.freshness import Freshness, Proof, ProvenConfiguration
from balsamspindle.customers.limits import Grant, Limiter
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.settings.configuration import Configuration, CurrentConfiguration
from balsamspindle.settings.documents import CustomerDocument, RouteDocument

__all__ = ["Admitted", "CustomerAdmission", "KeyCheck", "Refused", "identify"]

# Where routes are ordered within customers, the most that a route adds to the weight of
# a request. It is smaller than the differences between the weights of customers.
ROUTE_ORDER_MAX = 0.001


class KeyCheck(NamedTuple):
    """What the decision on a request's key is based on.

    Attributes
    ----------
    revision : int
        Revision of the configuration in which the key was looked up.
    proof : Proof or None
        None if keys are used without a proof.
    proof_age_s : float
        Age of the proof at the decision; 0 without a proof.
    """

    revision: int
    proof: Proof | None = None
    proof_age_s: float = 0.0


class Admitted(NamedTuple):
    """An admitted request: its customer and its route.

    Attributes
    ----------
    customer : CustomerDocument or None
        None for a request without a valid key, on a route that needs none.
    route : RouteDocument
        The request's route, with the customer's weight if the customer has one.
    grant : Grant or None
        Permission to run the request within the customer's limit; None if limits were
        not checked.
    key_check : KeyCheck or None
        None for a request that was admitted without a valid key.
    revision : int
        Revision of the configuration that has the route; -1 if unknown.
    """

    customer: CustomerDocument | None
    route: RouteDocument
    grant: Grant | None = None
    key_check: KeyCheck | None = None
    revision: int = -1

    @property
    def name(self) -> str:
        """The customer's name as sent to backend servers; empty without a customer."""
        return self.customer.name if self.customer is not None else ""


class Refused(NamedTuple):
    """A refused request.

    Attributes
    ----------
    retry_after_ms : float
        Time after which the caller may retry. If 0, the default time of `reason` is
        used.
    customer : str
        The customer's name; empty if unknown.
    allow : tuple of str
        Methods that the request's target supports, if the request was refused because
        of its method.
    revision : int
        Revision of the configuration by which the request is refused; -1 if it was
        refused without one.
    """

    reason: Reason
    retry_after_ms: float = 0.0
    customer: str = ""
    allow: tuple[str, ...] = ()
    revision: int = -1


def identify(
    configuration: Configuration,
    route: RouteDocument,
    key_digest: str | None,
    is_fresh: bool,
) -> Admitted | Refused:
    """Find the customer of a request by its key, or refuse the request.

    Parameters
    ----------
    key_digest : str or None
        Digest of the request's key; None without a key.
    is_fresh : bool
        Whether the configuration is proven to be new enough for its keys to be used.
    """
    customer = None
    if key_digest is not None and is_fresh:
        customer = configuration.customers.find(key_digest)
    service = configuration.services.get(route.service)
    orders_routes = service is not None and service.orders_routes_within_customers
    if customer is not None:
        return Admitted(customer, _with_weight(route, customer.weight, orders_routes))
    if route.allows_anonymous:
        return Admitted(None, _with_weight(route, None, orders_routes))
    if key_digest is None:
        return Refused(Reason.KEY_MISSING)
    is_unknown = is_fresh and configuration.lists_all_keys
    return Refused(Reason.KEY_UNKNOWN if is_unknown else Reason.KEYS_UNPROVEN)


def _with_weight(
    route: RouteDocument, customer_weight: float | None, orders_routes: bool
) -> RouteDocument:
    """Return the route with the weight of a request.

    Parameters
    ----------
    customer_weight : float or None
        Weight of the request's customer; None if the route's weight counts.
    orders_routes : bool
        Whether, at the same weight, requests of the heavier route are heavier.
    """
    weight = route.weight if customer_weight is None else customer_weight
    if orders_routes:
        weight += ROUTE_ORDER_MAX * route.weight / (1 + route.weight)
    if weight == route.weight:
        return route
    return msgspec.structs.replace(route, weight=weight)


class CustomerAdmission:
    """Admits or refuses requests at one node.

    Parameters
    ----------
    freshness : Freshness, default=keys are used without a proof
    limiter : Limiter, default=limits are not enforced
    """

    def __init__(
        self,
        configuration: CurrentConfiguration,
        freshness: Freshness | None = None,
        limiter: Limiter | None = None,
    ) -> None:
        self._freshness = freshness or Freshness(None, configuration)
        self._limiter = limiter

    def proven(self) -> ProvenConfiguration:
        """Return the configuration in force, for one decision on a request."""
        return self._freshness.proven()

    def admit(
        self,
        proven: ProvenConfiguration,
        route: RouteDocument,
        key_digest: str | None,
        now_s: float,
    ) -> Admitted | Refused:
        """Find a request's customer and count the request against the customer's limit.

        Blocks while nodes that grant the customer's requests are queried.

        Parameters
        ----------
        proven : ProvenConfiguration
            The configuration that contains the route.
        now_s : float
            Present time on the clock of `proof_time_s`.
        """
        is_fresh = self._freshness.is_fresh(proven, now_s)
        identified = identify(proven.configuration, route, key_digest, is_fresh)
        match identified:
            case Admitted(customer=CustomerDocument() as customer):
                check = self._key_check(proven, now_s)
                return self._limit(identified._replace(key_check=check), customer)
        return identified

    def _key_check(self, proven: ProvenConfiguration, now_s: float) -> KeyCheck:
        if not self._freshness.requires_proof:
            return KeyCheck(proven.revision)
        return KeyCheck(proven.revision, proven.proof, proven.age_s(now_s))

    def _limit(
        self, admitted: Admitted, customer: CustomerDocument
    ) -> Admitted | Refused:
        if self._limiter is None:
            return admitted
        acquired = self._limiter.acquire(customer, admitted.key_check.revision)
        return _apply_limit(admitted, acquired)

    def refund(self, admitted: Admitted) -> None:
        """Give back the grant of a request that did not run, to the granting node."""
        if self._limiter is not None and admitted.grant is not None:
            self._limiter.refund(admitted.grant)


def _apply_limit(
    admitted: Admitted, acquired: Grant | Denial | None
) -> Admitted | Refused:
    match acquired:
        case Grant():
            return admitted._replace(grant=acquired)
        case Denial(wait_s):
            return Refused(Reason.CUSTOMER_LIMITED, wait_s * 1000, admitted.name)
        case _:
            return Refused(Reason.LIMIT_UNKNOWN, customer=admitted.name)
