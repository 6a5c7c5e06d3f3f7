"""Messages that carry requests from an ingress to a gate, and replies back.

Messages are msgspec structs, encoded as MessagePack arrays that begin with a tag.
Field names are not sent: they would take half of a small message. New fields are
added at the end, with a default; a receiver that does not know a field ignores it.
Time limits are sent as durations, never as wall-clock times, because the clocks of
two VMs may differ.
"""

from typing import NamedTuple

import msgspec

from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.wire.limit_messages import LimitAnswer, LimitQuestion, LimitReturn
from balsamspindle.wire.server_terms import ServerTerms

__all__ = [
    "AttemptId",
    "Cancel",
    "Claim",
    "Dispatch",
    "GateEnding",
    "GreetingRequest",
    "GreetingReply",
    "HoldOut",
    "IngressEnding",
    "LinkMessage",
    "PeerEvidence",
    "AdmissionQuery",
    "Reply",
    "NOT_HELD_OUT",
    "AdmissionAnswer",
]


class HoldOut(NamedTuple):
    """Whether a gate holds out a backend server, and the evidence for the hold-out.

    Attributes
    ----------
    held_out_ms : float
        Remaining time of the hold-out; 0 if there is none.
    bad_in_a_row : int
        Number of consecutive requests, up to the latest one, that failed or were
        slow. If the number is 1 after hundreds of good requests, the backend server
        is probably healthy.
    """

    held_out_ms: float = 0.0
    bad_in_a_row: int = 0


NOT_HELD_OUT = HoldOut()


class AttemptId(NamedTuple):
    """Identifies one attempt; never reused, not even after a restart.

    Attributes
    ----------
    node_id : str
        The node whose ingress made the attempt.
    incarnation : int
        Incarnation of that node.
    sequence : int
        Increases by one with each attempt of the incarnation.
    """

    node_id: str
    incarnation: int
    sequence: int


class Claim(NamedTuple):
    """The only gate that may run the requests with a given idempotency key.

    Attributes
    ----------
    node_id, incarnation
        The gate's node and its incarnation.
    version : int
        Increases each time the claim moves to another gate.
    gate_time_s : float
        Reading of the gate's monotonic clock when the claim was made, or slightly
        earlier.
    """

    node_id: str
    incarnation: int
    version: int
    gate_time_s: float


class GreetingRequest(msgspec.Struct, array_like=True, tag="greet", frozen=True):
    """Ingress to gate: the first message on a link, which the gate must answer."""


class GreetingReply(msgspec.Struct, array_like=True, tag="greeting", frozen=True):
    """Gate to ingress: the answer to the first message on a link.

    Attributes
    ----------
    gate_time_s : float
        Reading of the gate's monotonic clock.
    """

    node_id: str
    incarnation: int
    gate_time_s: float


class PeerEvidence(NamedTuple):
    """An ingress's summary of a service's backend servers, except one.

    The summary is sent with a request, and omits the backend server that receives the
    request.

    Attributes
    ----------
    judged_count : int
        Number of backend servers that a gate judged recently (see `Reply.bad`) or that
        have a hanging attempt.
    bad_count : int
        Number of backend servers in `judged_count` whose latest judged request failed
        or was slow, or that have a hanging attempt.
    median_p99_ms : float
        Median of the 99th percentiles of latency that gates reported for the backend
        servers; 0 if unknown.
    """

    judged_count: int = 0
    bad_count: int = 0
    median_p99_ms: float = 0.0


class Dispatch(msgspec.Struct, array_like=True, tag="dispatch", frozen=True):
    """Ingress to gate: run a request at one of the gate's backend servers.

    Attributes
    ----------
    remaining_ms : float
        Time from the sending of this message until the request's deadline.
    gate_deadline_s : float or None
        The same deadline on the gate's monotonic clock; None if the sender does not
        know the reading of that clock. The gate counts `remaining_ms` from the time
        at which it reads the message. If the message waited while the gate was
        paused, `remaining_ms` alone would give a deadline that is too late.
    weight : float
        The route's weight; requests with the lowest weight are shed first.
    target : str
        Path and query as the caller sent them.
    body_checksum : int
        xxh3_64 hash of the body.
    claim : Claim or None
        For a request with an idempotency key: the claim that permits this attempt.
    peers : PeerEvidence
        Summary of the service's other backend servers, with which the gate compares
        the backend server that receives this request.
    hlc : int
        The sender's hybrid logical clock.
    caller_service : str
        Service that runs beside the ingress and sent the request; may be empty.
    is_last_resort : bool
        Whether the request may run at a suspected backend server, because all other
        backend servers were tried or refused the request.
    wait_max_ms : float or None
        Longest time that the request may wait for a slot; None if it may wait until
        its deadline.
    target_remaining_ms : float or None
        Time from the sending of this message until the route's latency target is
        missed; None if the route has no target.
    route_id : int
        Identifies the route. Requests of one route take about the same time.
    is_repeat : bool
        Whether an earlier attempt of the request reached, or may have reached, a
        backend server.
    repeat_fraction : float
        Among the runs in progress at the backend servers of the sender's node: number
        of runs that are repeats, divided by the number of all runs. If one of these
        runs sent this request, the fraction is the probability that this run is a
        repeat. The gate therefore counts the request as this fraction of a repeat (see
        `balsamspindle.backend_servers.retry_grants`).
    ingress_remaining_ms : float or None
        Time until the sender's node stops; None if the node is not leaving.
    run_was_lost : bool
        Whether an earlier run of the request was lost or is about to be lost. The
        gate of that run cancelled the run, announced that its node stops, or did not
        reply, or the backend server crashed.
    rank_ms : float
        When the gate sorts its queues, it adds this delay to the time at which the
        request misses its latency target. All calls that a backend server makes for
        one request have the same delay; `balsamspindle.requests.siblings` explains
        why.
    content_hash : int
        Hash of the request's content; 0 if unknown. All repeats of a request have the
        same hash, even if their ids differ.
    customer : str
        The customer who made the request; empty if there is none.
    is_last_try : bool
        Whether the request's route allows no further attempt after this one.
    terms : ServerTerms or None
        Terms of the backend server that the sender knows; None if it knows none.
    """

    attempt_id: AttemptId
    request_id: str
    service: str
    backend_server_id: str
    execution: Execution
    remaining_ms: float
    weight: float
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    body_checksum: int
    idempotency_key: str | None = None
    hlc: int = 0
    gate_deadline_s: float | None = None
    claim: Claim | None = None
    peers: PeerEvidence = PeerEvidence()
    caller_service: str = ""
    is_last_resort: bool = False
    wait_max_ms: float | None = None
    target_remaining_ms: float | None = None
    route_id: int = 0
    is_repeat: bool = False
    repeat_fraction: float = 0.0
    ingress_remaining_ms: float | None = None
    run_was_lost: bool = False
    rank_ms: float = 0.0
    content_hash: int = 0
    customer: str = ""
    is_last_try: bool = False
    terms: ServerTerms | None = None


class AdmissionQuery(msgspec.Struct, array_like=True, tag="ask", frozen=True):
    """Ingress to gate: would the gate admit an attempt now? No slot is reserved.

    Attributes
    ----------
    number : int
        Identifies the query; the answer repeats it.
    remaining_ms, weight, wait_max_ms, target_remaining_ms, route_id, is_last_resort
        As in `Dispatch`.
    run_was_lost, rank_ms, content_hash, customer, is_last_try
        As in `Dispatch`.
    """

    number: int
    service: str
    backend_server_id: str
    execution: Execution
    remaining_ms: float
    weight: float
    wait_max_ms: float | None = None
    target_remaining_ms: float | None = None
    route_id: int = 0
    is_last_resort: bool = False
    run_was_lost: bool = False
    rank_ms: float = 0.0
    content_hash: int = 0
    customer: str = ""
    is_last_try: bool = False


class AdmissionAnswer(msgspec.Struct, array_like=True, tag="told", frozen=True):
    """Gate to ingress: the answer to an admission query.

    Attributes
    ----------
    number : int
        The number of the query.
    reason : Reason or None
        Why the attempt would be refused; None if it would be admitted.
    wait_ms : float
        With reason ``would_wait`` or ``no_free_slot``: expected wait for a slot. With
        ``crashes_servers``: time for which the request stays blocked. Otherwise 0.
    held_out : HoldOut
    gate_time_s : float
        Reading of the gate's monotonic clock when it received the query.
    """

    number: int
    reason: Reason | None = None
    wait_ms: float = 0.0
    held_out: HoldOut = NOT_HELD_OUT
    gate_time_s: float = 0.0


class Cancel(msgspec.Struct, array_like=True, tag="cancel", frozen=True):
    """Ingress to gate: the attempt is cancelled and must not be started any more.

    Attributes
    ----------
    gate_deadline_s : float or None
        As in the attempt's `Dispatch`.
    cause : CancelCause
        Why the attempt was cancelled, for the gate's log.
    """

    attempt_id: AttemptId
    hlc: int = 0
    gate_deadline_s: float | None = None
    cause: CancelCause = CancelCause.INGRESS_GAVE_UP


class IngressEnding(msgspec.Struct, array_like=True, tag="leaving", frozen=True):
    """Ingress to gate: the ingress is leaving and may end before the reply arrives.

    Attributes
    ----------
    remaining_ms : float
        Time from the sending of this message until the ingress ends.
    """

    attempt_id: AttemptId
    remaining_ms: float


class GateEnding(msgspec.Struct, array_like=True, tag="ending", frozen=True):
    """Gate to ingress: the gate is leaving and may end before it can send the reply.

    The attempt continues. Its reply is sent if the attempt ends before the gate.
    """

    attempt_id: AttemptId


class Reply(msgspec.Struct, array_like=True, tag="reply", frozen=True):
    """Gate to ingress: how the attempt ended.

    Attributes
    ----------
    reason : Reason or None
        Why there is no answer; None if the backend server answered.
    status : int
        HTTP status of the backend server's answer; 0 without one.
    body_checksum : int
        xxh3_64 hash of the body, computed at the gate.
    free_slots : int
        Free slots of the backend server after this attempt.
    retry_after_ms : float
        Time after which a retry may succeed; 0 if a retry is pointless.
    gate_time_s : float
        Reading of the gate's monotonic clock when the reply was sent.
    bad : bool or None
        The gate's judgement whether the backend server failed or was slow; None if
        the attempt is no evidence about the backend server.
    p99_ms : float
        The backend server's 99th percentile of latency; 0 if unknown.
    held_out : HoldOut
    terms : ServerTerms or None
        Terms of the backend server; None if the gate knows of none.
    """

    attempt_id: AttemptId
    outcome: Outcome
    reason: Reason | None = None
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    body_checksum: int = 0
    free_slots: int = 0
    retry_after_ms: float = 0.0
    hlc: int = 0
    gate_time_s: float = 0.0
    bad: bool | None = None
    p99_ms: float = 0.0
    held_out: HoldOut = NOT_HELD_OUT
    terms: ServerTerms | None = None


LinkMessage = (
    GreetingRequest
    | GreetingReply
    | AdmissionQuery
    | AdmissionAnswer
    | Dispatch
    | Cancel
    | IngressEnding
    | GateEnding
    | Reply
    | LimitQuestion
    | LimitAnswer
    | LimitReturn
)
