"""Messages that carry requests from an ingress to a gate, and replies back.

Messages are msgspec structs, encoded as MessagePack arrays that begin with a tag.
Field names are not sent: they would take half of a small message. New fields are
added at the end, with a default; a receiver that does not know a field ignores it.
Time limits are sent as durations, never as wall-clock times, because the clocks of
two VMs may differ.
"""

import msgspec

from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.wire.limit_messages import LimitAnswer, LimitQuestion, LimitReturn
from balsamspindle.wire.message_parts import (
    NOT_HELD_OUT,
    AttemptId,
    Claim,
    GateLoad,
    HoldOut,
    Importance,
    PeerEvidence,
)
from balsamspindle.wire.server_terms import ServerTerms

__all__ = [
    "LINK_LEVEL",
    "Cancel",
    "Dispatch",
    "GateEnding",
    "GreetingRequest",
    "GreetingReply",
    "IngressEnding",
    "LinkMessage",
    "AdmissionQuery",
    "Reply",
    "ReservationCall",
    "ReservationRequest",
    "AdmissionAnswer",
]


# Newest kind of link messages that this build handles. 0: none of those that a node may
# send only to peers that announce them. 1: `ReservationRequest`.
LINK_LEVEL = 1


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
    importance : Importance or None
        What depends on the request beyond its route; None if nothing is known.
    is_reserved : bool
        Whether the gate called this attempt: it holds a slot for it.
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
    importance: Importance | None = None
    is_reserved: bool = False


class AdmissionQuery(msgspec.Struct, array_like=True, tag="ask", frozen=True):
    """Ingress to gate: would the gate admit an attempt now? No slot is reserved.

    Attributes
    ----------
    number : int
        Identifies the query; the answer repeats it.
    remaining_ms, weight, wait_max_ms, target_remaining_ms, route_id, is_last_resort
        As in `Dispatch`.
    run_was_lost, rank_ms, content_hash, customer, is_last_try, importance
        As in `Dispatch`.
    body_bytes : int
        Length of the request's body, which follows only with the attempt itself.
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
    importance: Importance | None = None
    body_bytes: int = 0


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
    load : GateLoad or None
        Present load of the gate; None if it does not tell its load.
    """

    number: int
    reason: Reason | None = None
    wait_ms: float = 0.0
    held_out: HoldOut = NOT_HELD_OUT
    gate_time_s: float = 0.0
    load: GateLoad | None = None


class ReservationRequest(msgspec.Struct, array_like=True, tag="reserve", frozen=True):
    """Ingress to gate: let an attempt wait for a slot; its request follows when called.

    `Cancel` with the same attempt id withdraws the reservation. A gate answers with one
    `ReservationCall` or with a `Reply` that refuses the attempt.

    Attributes
    ----------
    attempt_id : AttemptId
        Id of the attempt, which its `Dispatch` repeats.
    query : AdmissionQuery
        The attempt without its request.
    """

    attempt_id: AttemptId
    query: AdmissionQuery


class ReservationCall(msgspec.Struct, array_like=True, tag="call", frozen=True):
    """Gate to ingress: a slot is held for the attempt until its `Dispatch` arrives.

    Attributes
    ----------
    valid_ms : float
        For how long the gate holds the slot.
    gate_time_s : float
        Reading of the gate's monotonic clock when it sent the call.
    """

    attempt_id: AttemptId
    valid_ms: float
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
    load : GateLoad or None
        Present load of the gate; None if it does not tell its load.
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
    load: GateLoad | None = None


LinkMessage = (
    GreetingRequest
    | GreetingReply
    | AdmissionQuery
    | AdmissionAnswer
    | ReservationRequest
    | ReservationCall
    | Dispatch
    | Cancel
    | IngressEnding
    | GateEnding
    | Reply
    | LimitQuestion
    | LimitAnswer
    | LimitReturn
)
