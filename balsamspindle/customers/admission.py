"""Whether a request may be run for whoever asks.

Load: each request of each caller.
"""

from typing import NamedTuple

import msgspec

from balsamspindle.customers.buckets import Denied
from balsamspindle.customers.freshness import Freshness
from balsamspindle.customers.limits import Granted, Limiter
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.settings.documents import CustomerDocument, RouteDocument
from balsamspindle.settings.tree import Configuration, CurrentConfiguration

__all__ = ["Admitted", "CustomerGate", "Refused", "identify"]


class Admitted(NamedTuple):
    """Who asks, and on which terms.

    Attributes
    ----------
    customer : CustomerDocument or None
        None for a request without a valid key, on a route that needs none.
    route : RouteDocument
        With the customer's weight where it has one.
    granted : Granted or None
        Its part of the customer's limit.
    """

    customer: CustomerDocument | None
    route: RouteDocument
    granted: Granted | None = None

    @property
    def name(self) -> str:
        """What backend servers are told; empty when it is nobody's request."""
        return self.customer.name if self.customer is not None else ""


class Refused(NamedTuple):
    """Why a request is not run.

    Attributes
    ----------
    retry_after_ms : float
        When coming back helps; the reason's own time when 0.
    customer : str
        Who asked, where that is known.
    allow : tuple of str
        Methods that are taken, where the request's is not.
    """

    reason: Reason
    retry_after_ms: float = 0.0
    customer: str = ""
    allow: tuple[str, ...] = ()


def identify(
    configuration: Configuration,
    route: RouteDocument,
    key_digest: str | None,
    is_fresh: bool,
) -> Admitted | Refused:
    """Tell who asks, or why the request is refused.

    Parameters
    ----------
    key_digest : str or None
        Of the key that the request came with.
    is_fresh : bool
        Whether the configuration's keys are proven to be valid still.
    """
    customer = None
    if key_digest is not None and is_fresh:
        customer = configuration.customers.find(key_digest)
    if customer is not None:
        return Admitted(customer, _weighted(route, customer))
    if route.allows_anonymous:
        return Admitted(None, route)
    if key_digest is None:
        return Refused(Reason.KEY_MISSING)
    return Refused(Reason.KEY_UNKNOWN if is_fresh else Reason.KEYS_UNPROVEN)


def _weighted(route: RouteDocument, customer: CustomerDocument) -> RouteDocument:
    if customer.weight is None or customer.weight == route.weight:
        return route
    return msgspec.structs.replace(route, weight=customer.weight)


class CustomerGate:
    """Decides on each request at one node.

    Parameters
    ----------
    freshness : Freshness, default=no proof is needed
    limiter : Limiter, default=no limit is kept
    """

    def __init__(
        self,
        configuration: CurrentConfiguration,
        freshness: Freshness | None = None,
        limiter: Limiter | None = None,
    ) -> None:
        self._configuration = configuration
        self._freshness = freshness or Freshness(None)
        self._limiter = limiter

    def admit(
        self, route: RouteDocument, key_digest: str | None, now_s: float
    ) -> Admitted | Refused:
        """Tell who asks, or why the request is refused.

        It may wait a moment for the node that grants the customer's requests.
        """
        configuration = self._configuration.get()
        is_fresh = self._freshness.is_fresh(configuration.revision, now_s)
        identified = identify(configuration, route, key_digest, is_fresh)
        match identified:
            case Admitted(customer=CustomerDocument() as customer) if self._limiter:
                acquired = self._limiter.acquire(customer, configuration.revision)
                return _limited(identified, acquired)
        return identified

    def give_back(self, admitted: Admitted) -> None:
        """Take note that a request did not run: it does not count."""
        if self._limiter is not None and admitted.granted is not None:
            self._limiter.give_back(admitted.granted)


def _limited(
    admitted: Admitted, acquired: Granted | Denied | None
) -> Admitted | Refused:
    match acquired:
        case Granted():
            return admitted._replace(granted=acquired)
        case Denied(wait_s):
            return Refused(Reason.CUSTOMER_LIMITED, wait_s * 1000, admitted.name)
        case _:
            return Refused(Reason.LIMIT_UNKNOWN, customer=admitted.name)
