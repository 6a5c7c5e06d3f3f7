"""Attempts that request a slot, and the decisions of a queue on them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.backend_servers.rate_limits import Allowance

__all__ = ["BusySlots", "Order", "OrderKey", "QueueDecision", "Ticket"]

# An attempt is expected to meet its latency target if the time until the target is at
# least this many times its route's mean service time. The factor is above 1 because
# service times vary.
IN_TIME_FACTOR = 1.5


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


class BusySlots(NamedTuple):
    """What occupies the slots of a backend server at one decision.

    Attributes
    ----------
    ends_s : tuple of float
        Expected times until the occupied slots become free.
    slots : int
        All slots that may be used.
    """

    ends_s: tuple[float, ...]
    slots: int


class OrderKey(NamedTuple):
    """Sort key of a waiting ticket: the ticket with the smallest key starts first.

    Attributes
    ----------
    lightness : float
        The negative weight.
    turn : int
        Turn number of the request; see `CustomerTurns`.
    target_s : float
        The ticket's `target_s` plus its `rank_s`, minus its `spent_s`; 0 without a
        target.
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
    is_reservation : bool
        Whether it also waits at another gate. If it starts there, its customer's turn
        here does not count.
    spent_s : float or None
        For a call: how long the run that waits for the answer has occupied its slot.
        None if no run is known to wait.
    busy : BusySlots or None
        What occupied the slots at the last decision; None if the wait is estimated from
        the mean service time instead.
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
    is_reservation: bool = False
    spent_s: float | None = None
    busy: BusySlots | None = None

    def is_late(self, now_s: float) -> bool:
        """Return whether the answer will probably miss the latency target."""
        # An attempt never counts as late if an earlier run of its request was lost. The
        # loss has made the attempt late, and the request has already waited for a slot
        # once. If the attempt started after all new attempts, it would never start
        # while new attempts keep arriving.
        if self.target_s is None or self.run_was_lost:
            return False
        # An attempt with a rank never counts as late. Attempts with the same rank are
        # calls that a backend server makes for one request. The request needs the
        # answers to all of these calls, even late ones, and the calls may wait at
        # different gates. If late calls started after new attempts, one gate could
        # delay some calls of a request while another gate answers the rest in vain.
        if self.rank_s:
            return False
        # A call never counts as late: the run that waits for it is lost without the
        # answer, and a late answer may still be in time for that run.
        if self.spent_s is not None:
            return False
        return now_s + IN_TIME_FACTOR * self.route_time_s > self.target_s

    def limit_wait(self, now_s: float) -> None:
        """Shorten the maximum wait while a limit of the backend server is used up.

        An attempt that has become late starts after all others. Behind a limit, it
        would hardly ever start while others keep arriving. So an attempt waits only for
        as long as its answer can be in time. Without a maximum wait it does not wait at
        all, because it would wait here although other backend servers may have free
        slots. An attempt that waits already keeps its maximum wait.
        """
        if self.allowance is None or self.allowance.tokens >= 1:
            return
        if self.wait_max_s is None:
            self.wait_max_s = 0.0
        elif self.key is None and self.target_s is not None and not self.is_late(now_s):
            latest_s = self.target_s - IN_TIME_FACTOR * self.route_time_s
            self.wait_max_s = min(self.wait_max_s, latest_s - now_s)
