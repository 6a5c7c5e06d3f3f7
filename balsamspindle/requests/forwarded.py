"""State of a caller's request while an ingress forwards it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

import xxhash

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.claims import KeyClaimant
from balsamspindle.requests.http import CallerRequest, HttpConnection
from balsamspindle.requests.sent_attempts import ParkedAttempts
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import Reply

__all__ = [
    "ForwardedRequest",
    "Hedge",
    "Search",
    "Step",
    "StopReason",
    "route_id",
]


# Reasons with which a gate reports that a run was cut or broke off.
_CUT = frozenset({Reason.CANCELLED, Reason.BROKEN_ANSWER, Reason.SERVER_CRASHED})


class Step(IntEnum):
    """Steps of the search for a placement, in their order.

    `balsamspindle.requests.placement_selection` describes which gates each step asks.
    """

    NEAR = 0
    NEAR_QUEUE = 1
    FAR = 2
    QUEUE = 3
    DONE = 4


class StopReason(StrEnum):
    """Why no attempt followed a request's last one; used for the event log only.

    Attributes
    ----------
    NO_PLACE
        No backend server was left to send the request to.
    ATTEMPTS_MAX
        The route allows no more attempts.
    REPEAT_DENIED
        The request may not be retried, or no time or no retry token was left.
    NODE_LEAVING
        This node leaves and gave up all requests.
    CALLER_LEFT
        The caller closed its connection.
    CRASHES_SERVERS
        The request crashes backend servers.
    """

    NO_PLACE = "no_place"
    ATTEMPTS_MAX = "attempts_max"
    REPEAT_DENIED = "repeat_denied"
    NODE_LEAVING = "node_leaving"
    CALLER_LEFT = "caller_left"
    CRASHES_SERVERS = "crashes_servers"


@dataclass
class Search:
    """State of one request's search for a placement.

    Attributes
    ----------
    step : Step
    near_tries, far_tries : int
        Gates of the own zone and of other zones that were asked for a free slot.
    queue_near_until_s : float or None
        Until when the request may wait in queues of its own zone, on the monotonic
        clock; None before it first looked for one.
    queue_wait_ms : dict of str to float
        Wait in the queue of each gate that refused because of it, by backend server
        id.
    """

    step: Step = Step.NEAR
    near_tries: int = 0
    far_tries: int = 0
    queue_near_until_s: float | None = None
    queue_wait_ms: dict[str, float] = field(default_factory=dict)

    def restart(self) -> None:
        """Start again at the first step, after an attempt that failed."""
        self.step, self.near_tries, self.far_tries = Step.NEAR, 0, 0
        self.queue_near_until_s = None
        self.queue_wait_ms.clear()


@dataclass
class ForwardedRequest:
    """A caller's request that this node forwards. Times are on the monotonic clock.

    Attributes
    ----------
    deadline_s : float
    tried : set of str
        Ids of the backend servers that had an attempt.
    may_have_run : bool
        Whether an attempt ended with the outcome unknown.
    caller_service : str
        The service beside this node, as reported to backend servers.
    sends : int
        Attempts that reached, or may have reached, a backend server.
    attempts : int
        All attempts, those that a gate refused included.
    refused_as_suspect : set of str
        Ids of the backend servers whose gates refused the request because of
        suspicion.
    failed : set of str
        Ids of the backend servers at which an attempt failed.
    search_until_s : float or None
        Until when the request searches again after all gates refused; None before
        they did.
    is_last_resort : bool
        Whether suspected backend servers are asked, too, as no others are left.
    target_s : float or None
        Until when an answer has its full worth; None where the route sets no target.
    wait_max_ms : float or None
        The longest time that the present attempt may wait for a slot; None for as
        long as its deadline allows.
    queue_until_s : float or None
        Until when the request may wait in the shortest queues; None before it first
        looked for one.
    parked : ParkedAttempts
        Attempts left open at gates whose nodes may stop before the attempts end.
    parked_replies : list of Reply
        Replies without success to parked attempts, received during later ones.
    was_cut : bool
        Whether a run was lost with its gate's node, or is about to be.
    cut_s : float or None
        When the first reply was received that a run was cut.
    rank_ms : float
        Delay of the request's order in queues; see `balsamspindle.requests.siblings`.
    content_hash : int
        See `balsamspindle.requests.content`; 0 when it is not known.
    customer : str
        Empty for a request without a customer.
    stopped_by : StopReason or None
        None while attempts are made, and after a success.
    """

    request_id: str
    caller: HttpConnection
    request: CallerRequest
    route: RouteDocument
    deadline_s: float
    idempotency_key: str | None = None
    claimant: KeyClaimant | None = None
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    caller_service: str = ""
    sends: int = 0
    attempts: int = 0
    refused_as_suspect: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    search_until_s: float | None = None
    is_last_resort: bool = False
    search: Search = field(default_factory=Search)
    target_s: float | None = None
    wait_max_ms: float | None = None
    queue_until_s: float | None = None
    parked: ParkedAttempts = field(default_factory=ParkedAttempts)
    parked_replies: list[Reply] = field(default_factory=list)
    was_cut: bool = False
    cut_s: float | None = None
    rank_ms: float = 0.0
    content_hash: int = 0
    customer: str = ""
    stopped_by: StopReason | None = None

    def restart_search(self) -> None:
        """Search for another placement as if no gate had been asked.

        For a request whose run was lost with the gate's node. The refusals of other
        gates before that run are seconds old; if these gates were not asked again,
        the request would be given up although they have free slots.
        """
        self.was_cut = True
        self.search.restart()
        self.tried = set(self.failed)
        self.search_until_s = self.queue_until_s = None
        self.is_last_resort = False

    def may_send(self) -> bool:
        """Return whether the route allows an attempt at one more backend server."""
        return self.sends < self.route.attempts_max

    def record_cut(self, reply: Reply, came_s: float) -> None:
        """Record when the first reply was received that a run was cut."""
        is_cut = reply.outcome is Outcome.UNKNOWN and reply.reason in _CUT
        if is_cut and self.cut_s is None:
            self.cut_s = came_s

    def target_remaining_ms(self, now_s: float) -> float | None:
        """Return the time left in which an answer has its full worth.

        Negative after that time; None where the route sets no target.
        """
        return None if self.target_s is None else (self.target_s - now_s) * 1000


@dataclass(frozen=True)
class Hedge:
    """When and where a second attempt starts while the first has no reply.

    Attributes
    ----------
    hedge_delay_s : float
        How long the first attempt runs alone.
    choose_placement : callable
        Pays for a second attempt and returns its placement; None if there is none
        or it can't be paid for.
    is_paid : bool
        Whether the next attempt is paid for already. An attempt at the own gate is
        ended after `hedge_delay_s`; were no retry available then, the caller of a slow
        request would lose an answer that it would have received.
    """

    hedge_delay_s: float
    choose_placement: Callable[[], Placement | None]
    is_paid: bool = False


def route_id(route: RouteDocument) -> int:
    """Return a 32-bit hash that identifies a route."""
    return xxhash.xxh32_intdigest(f"{route.host}{route.path_prefix}".encode())
