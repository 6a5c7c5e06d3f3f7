"""Messages by which nodes enforce a customer's request limit together."""

from typing import Annotated

import msgspec

__all__ = ["LimitQuestion", "LimitReturn", "LimitAnswer"]

# Value of `balsamspindle.customers.granters.Scope`. A message with any other number is
# rejected.
ScopeNumber = Annotated[int, msgspec.Meta(ge=0, le=1)]


class LimitQuestion(msgspec.Struct, array_like=True, tag="limit", frozen=True):
    """Ingress to granter: may one more request of the customer run?

    Attributes
    ----------
    number : int
        Identifies the question; the answer repeats it.
    rate_per_s, burst : float
        The customer's limit according to the sender's settings.
    revision : int
        Revision of these settings.
    scope : int
        A value of `balsamspindle.customers.granters.Scope`: whether the request uses
        the zone's or the fleet's fraction of the limit.
    """

    number: int
    customer: str
    rate_per_s: float
    burst: float
    revision: int
    scope: ScopeNumber = 0


class LimitAnswer(msgspec.Struct, array_like=True, tag="limited", frozen=True):
    """Granter to ingress: the answer to a `LimitQuestion`.

    Attributes
    ----------
    number : int
        The number of the question.
    is_granted : bool
        Whether the request may run.
    wait_ms : float
        If the request may not run: time after which a retry can be granted.
    gate_time_s : float
        Reading of the sender's monotonic clock.
    """

    number: int
    is_granted: bool
    wait_ms: float = 0.0
    gate_time_s: float = 0.0


class LimitReturn(msgspec.Struct, array_like=True, tag="unused", frozen=True):
    """Ingress to granter: a granted request did not run, so its grant is returned.

    Attributes
    ----------
    scope : int
        The scope of the `LimitQuestion` that was granted.
    """

    customer: str
    scope: ScopeNumber = 0
