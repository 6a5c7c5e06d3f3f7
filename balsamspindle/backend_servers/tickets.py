"""Attempts that request a slot, and the decisions of a queue on them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.backend_servers.rate_limits import Allowance

__all__ = ["Order", "OrderKey", "QueueDecision", "Ticket"]


class Order(StrEnum):
    """Which attempt starts first if weight, customer turn and target are equal."""

    FIFO = "fifo"
    LIFO = "lifo"


class QueueDecision(StrEnum):
    """The queue's decision on an attempt that requests a slot."""

    START = "start"
    WAIT = "wait"
    # The queue is full. Either all waiting attempts take precedence over this one, or
    # this one was waiting and another attempt has taken its place.
    SHED = "shed"
    # The attempt would end after its deadline.
    TOO_LATE = "too_late"
    # The attempt would wait, or has waited, longer than its `wait_max_s` permits.
    WAIT_TOO_LONG = "too_long"


class OrderKey(NamedTuple):
    """Sort key of a waiting ticket: the ticket with the smallest key starts first.

    Attributes
    ----------
    lightness : float
        The negative weight.
    turn : int
        Turn number of the request; see `CustomerTurns`.
    target_s : float
        The ticket's `target_s` plus its `rank_s`; 0 without a target.
    sequence : int
        Arrival number, negated for `Order.LIFO`.
    """

    lightness: float
    turn: int
    target_s: float
    sequence: int


@dataclass(eq=False)
class Ticket:
    """One attempt that requests a slot.

    Attributes
    ----------
    weight : float
        Weight of the attempt's route; a full queue sheds the lightest attempts first.
    deadline_s : float
        When its caller stops waiting.
    is_shed : bool
        Set when another attempt has taken its place in a full queue.
    key : OrderKey or None
        Its sort key among the waiting tickets; None unless it waits.
    wait_max_s : float or None
        How long it may wait; None means until its deadline.
    target_s : float or None
        Latency target: an answer after this time is worth less to its caller.
    enqueued_s : float
        When it began to wait.
    expected_wait_s : float
        Its wait for a slot, as estimated at the last decision.
    route_time_s : float
        Mean service time of its route; 0 when unknown.
    run_was_lost : bool
        Whether an earlier run of the request was lost or is about to be lost. A run is
        lost if its gate cancelled the run, announced that its node stops, or did not
        reply, or if the backend server crashed.
    rank_s : float
        Time that is added to `target_s` when tickets are sorted. The calls that a
        backend server makes at the same time to handle one request share one rank, so
        that they start together. 0 for an attempt without a rank.
    customer : str
        Customer that sent the request; empty when there is none.
    allowance : Allowance or None
        What the limit of its backend server allowed at the last decision; None without
        a limit.
    """

    backend_server_id: str
    weight: float
    deadline_s: float
    is_shed: bool = False
    key: OrderKey | None = None
    wait_max_s: float | None = None
    target_s: float | None = None
    enqueued_s: float = 0.0
    expected_wait_s: float = 0.0
    route_time_s: float = 0.0
    run_was_lost: bool = False
    rank_s: float = 0.0
    customer: str = ""
    allowance: Allowance | None = None
