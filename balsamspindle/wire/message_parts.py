"""Parts that several messages on links between ingresses and gates have in common."""

from typing import NamedTuple

import msgspec

__all__ = [
    "NOT_HELD_OUT",
    "AttemptId",
    "Claim",
    "GateLoad",
    "HoldOut",
    "Importance",
    "PeerEvidence",
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


class Importance(msgspec.Struct, array_like=True, frozen=True):
    """What depends on an attempt beyond its own route, as its ingress knows it.

    A backend server that runs a request may call other services. Without the answer to
    such a call, the run is lost.

    Attributes
    ----------
    weight : float
        Weight of the heaviest run that waits for the attempt's answer.
    spent_ms : float
        Time for which that run has already occupied a slot.
    """

    weight: float
    spent_ms: float = 0.0


class GateLoad(msgspec.Struct, array_like=True, frozen=True):
    """How much room a gate has at one backend server, told with replies and answers.

    Attributes
    ----------
    free_slots : int
        Usable slots that are not occupied; 0 if attempts wait.
    waiting : int
        Attempts that wait for a slot.
    wait_ms : float
        Expected wait of a new attempt that takes precedence over no waiting one.
    weight_min : float
        Lowest weight of an attempt that recently got a slot without being refused for
        want of room; 0 if none was refused.
    """

    free_slots: int = 0
    waiting: int = 0
    wait_ms: float = 0.0
    weight_min: float = 0.0
