"""State of a caller's request while an ingress forwards it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

import xxhash

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.http import CallerRequest, HttpConnection
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.requests.sent_attempts import ParkedAttempts
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import Importance, Reply

__all__ = [
    "ForwardedRequest",
    "Hedge",
    "Search",
    "Step",
    "StopReason",
    "route_id",
]


# Reasons with which a gate reports that a run was lost: it cancelled the run (for
# example because its node stops), or the run ended without a complete answer.
_LOST_RUN_REASONS = frozenset(
    {Reason.CANCELLED, Reason.BROKEN_ANSWER, Reason.SERVER_CRASHED}
)


class Step(IntEnum):
    """Steps of the search for a placement, in their order.

    `balsamspindle.requests.placement_selection` describes which gates get an attempt
    in each step.
    """

    NEAR = 0
    NEAR_QUEUE = 1
    FAR = 2
    QUEUE = 3
    DONE = 4


class StopReason(StrEnum):
    """Why a request gets no further attempt; used for the event log only.

    Attributes
    ----------
    NO_PLACE
        There was no further backend server to which the request could be sent.
    ATTEMPTS_MAX
        The route allows no more attempts.
    REPEAT_DENIED
        The request may not be retried, or no time or no retry token remained.
    NODE_LEAVING
        This node is leaving and no longer waits for replies.
    CALLER_LEFT
        The caller closed its connection.
    CRASHES_SERVERS
        The request crashes backend servers.
    NO_ROOM
        The service had no room for the request by its admission level.
    """

    NO_PLACE = "no_place"
    ATTEMPTS_MAX = "attempts_max"
    REPEAT_DENIED = "repeat_denied"
    NODE_LEAVING = "node_leaving"
    CALLER_LEFT = "caller_left"
    CRASHES_SERVERS = "crashes_servers"
    NO_ROOM = "no_room"


@dataclass
class Search:
    """State of one request's search for a placement.

    Attributes
    ----------
    step : Step
    near_tries, far_tries : int
        Number of gates in the own zone, and in other zones, at which this search has
        looked for a free slot.
    queue_near_until_s : float or None
        Until when the request may wait in queues of its own zone, on the monotonic
        clock; None until the search looks for a queue in the own zone.
    queue_wait_ms : dict of str to float
        Expected wait for a slot in ms, by backend server id. Gates reported these waits
        when they refused a request (this one or another) that would have had to wait
        too long.
    has_asked_anyway : bool
        Whether one gate was asked although its known wait is too long. It stays set
        when the search is restarted.
    """

    step: Step = Step.NEAR
    near_tries: int = 0
    far_tries: int = 0
    queue_near_until_s: float | None = None
    queue_wait_ms: dict[str, float] = field(default_factory=dict)
    has_asked_anyway: bool = False

    def restart(self) -> None:
        """Restart the search at step `NEAR`; discard the reported queue waits."""
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
        Ids of the backend servers that the present search for a placement excludes,
        because an attempt was already sent to them.
    may_have_run : bool
        Whether an attempt had an unknown outcome, so that the request may have run.
    caller_service : str
        Name of the service whose backend server runs on this node's VM and sent the
        request; backend servers get the name in a header.
    sends : int
        Number of attempts that reached, or may have reached, a backend server.
    attempts : int
        Number of all attempts, including those that a gate refused.
    refused_as_suspect : set of str
        Ids of the backend servers whose gates refused the request because the backend
        servers are suspected.
    failed : set of str
        Ids of the backend servers at which an attempt failed.
    search_until_s : float or None
        Until when the request is sent again to all gates after they have refused it;
        None until all gates have refused it once.
    is_last_resort : bool
        Whether the request may be sent to suspected backend servers, because all other
        backend servers were tried or refused it.
    target_s : float or None
        Time until which the request should be answered, according to its route; a later
        answer is worth less. None if the route sets no target.
    wait_max_ms : float or None
        The longest time that the present attempt may wait for a slot; None if it may
        wait until its deadline.
    queue_until_s : float or None
        Until when the request may wait in the queues of step `QUEUE`; None before
        that step.
    parked : ParkedAttempts
        Open attempts, at most one, at gates whose nodes may stop before the attempts
        end. A parked attempt stays open while the request is sent to other gates.
    parked_replies : list of Reply
        Unsuccessful replies to parked attempts that arrived during later attempts.
    run_was_lost : bool
        Whether a run of the request was lost or is about to be lost. Either the run's
        gate cancelled the run, announced that its node stops, or did not reply; or the
        backend server crashed.
    run_lost_s : float or None
        Arrival time of the first reply with which a gate reported that it cancelled
        a run, or that a run ended without a complete answer; None before such a reply.
    rank_ms : float
        Time that gates add to `target_s` when they sort their queues; see
        `balsamspindle.requests.siblings`.
    content_hash : int
        Hash that is the same for all repeats of the request, from
        `balsamspindle.requests.content`; 0 when it is not known.
    customer : str
        Customer that sent the request; empty for a request without a customer.
    importance : Importance or None
        The run beside this node that waits for the answer; None if none is known.
    parent_id : str
        Id of the request of that run; empty if none is known.
    repeat_fraction : float or None
        Probability that a repeated run made the request as a call; None if it is not
        known which requests are calls.
    stopped_by : StopReason or None
        Why the request gets no further attempt; None while attempts are made, and
        after a success.
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
    run_was_lost: bool = False
    run_lost_s: float | None = None
    rank_ms: float = 0.0
    content_hash: int = 0
    customer: str = ""
    importance: Importance | None = None
    parent_id: str = ""
    repeat_fraction: float | None = None
    stopped_by: StopReason | None = None

    def restart_search(self) -> None:
        """Restart the search for a request whose run was lost with its gate's node.

        The request may be sent again to gates that refused it before the lost run: the
        refusals are seconds old, and these gates may have free slots by now. Backend
        servers at which an attempt failed stay excluded.
        """
        self.run_was_lost = True
        self.search.restart()
        self.tried = set(self.failed)
        self.search_until_s = self.queue_until_s = None
        self.is_last_resort = False

    @property
    def call_id(self) -> str:
        """The request's id if a run beside this node waits for it; else empty."""
        return self.request_id if self.parent_id else ""

    def may_send(self) -> bool:
        """Return whether the route allows an attempt at one more backend server."""
        return self.sends < self.route.attempts_max

    def record_loss(self, reply: Reply, received_s: float) -> None:
        """Record the arrival time of the first reply that reports a lost run."""
        is_lost = reply.outcome is Outcome.UNKNOWN and reply.reason in _LOST_RUN_REASONS
        if is_lost and self.run_lost_s is None:
            self.run_lost_s = received_s

    def target_remaining_ms(self, now_s: float) -> float | None:
        """Return the remaining time in ms until `target_s`.

        The time is negative after `target_s`, and None if the route sets no target.
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
        Selects a placement for a second attempt and pays for the attempt from the
        retry budget. Returns the placement, or None if there is none or if the budget
        is exhausted.
    is_paid : bool
        Whether a retry token was already spent on the second attempt. The token is
        spent in advance if the first attempt runs at the own gate. Such an attempt is
        ended after `hedge_delay_s`, before the second attempt starts. If the token were
        spent only after the end of the first attempt, no token might remain by then.
        The first attempt, which might still have been answered, would be ended in vain.
    """

    hedge_delay_s: float
    choose_placement: Callable[[], Placement | None]
    is_paid: bool = False


def route_id(route: RouteDocument) -> int:
    """Return a 32-bit hash that identifies a route."""
    return xxhash.xxh32_intdigest(f"{route.host}{route.path_prefix}".encode())
