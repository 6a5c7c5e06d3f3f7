"""Queue of attempts that wait for a slot at one gate.

Each service has its own queue, which decides which attempts start, wait or are shed.
The queue does not block: the thread that handles an attempt waits, and requests a slot
again after each change of the slots or the queue. All methods must be called under the
gate's lock.
"""

from collections import Counter
from collections.abc import Callable

from balsamspindle.backend_servers.customer_turns import CustomerTurns
from balsamspindle.backend_servers.slot_ends import expected_wait_s
from balsamspindle.backend_servers.tickets import (
    Order,
    OrderKey,
    QueueDecision,
    Ticket,
)

__all__ = ["Order", "SlotQueue", "Ticket", "QueueDecision"]


# Mean service time that is assumed until the backend server has answered once.
DEFAULT_SERVICE_TIME_S = 0.1
# An attempt is refused after it has waited for this many times its `wait_max_s`, so
# that it can be sent to another gate. The factor is above 1 because an attempt that is
# sent to another gate loses its place in this queue.
WAIT_OVERRUN_FACTOR = 1.3


# Expected number of starts at this gate of an attempt that waits at two gates.
RESERVATION_PLACES = 0.5

_SEQUENCE_SIGNS = {Order.FIFO: 1, Order.LIFO: -1}


class SlotQueue:
    """Priority queue of one service's attempts.

    The heaviest attempt starts first, so that lighter attempts never make it miss its
    deadline. Among attempts of the same weight, those that will miss their latency
    target start last. Otherwise customers take turns, so that a customer with many
    requests delays only its own requests. Among attempts with the same turn number, the
    attempt with the earliest latency target starts first. If the targets are equal,
    too, `order` decides.

    Parameters
    ----------
    queue_max : int
        Maximum number of waiting attempts.
    on_change : callable, default=nothing
        Called when the waiting attempts have to request a slot again.
    """

    def __init__(
        self,
        queue_max: int,
        order: Order = Order.FIFO,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.queue_max = queue_max
        self._order = order
        self._on_change = on_change
        # Waiting tickets in order of arrival.
        self._waiting: list[Ticket] = []
        self._turns = CustomerTurns()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def request_slot(
        self,
        ticket: Ticket,
        free_slots: int,
        effective_slots: float,
        service_time_s: float,
        now_s: float,
    ) -> QueueDecision:
        """Decide whether an attempt starts, waits or is refused.

        Call this method when the attempt arrives, and again after each change of the
        slots or the queue. After any decision other than ``WAIT`` the attempt is not in
        the queue.

        Parameters
        ----------
        free_slots : int
            Free slots of the ticket's backend server; not more than its limit allows
            requests now.
        effective_slots : float
            Average number of slots not occupied by requests heavier than the ticket.
        service_time_s : float
            Mean service time of the backend server; 0 when unknown.
        """
        decision = self._judge(
            ticket, free_slots, effective_slots, service_time_s, now_s
        )
        if decision is QueueDecision.WAIT:
            decision = self._enqueue(ticket, now_s)
        if decision is QueueDecision.START and ticket.key is not None:
            self._turns.advance_to(ticket.key.turn)
        if decision is not QueueDecision.WAIT:
            self.withdraw(ticket, has_started=decision is QueueDecision.START)
        return decision

    def preview(
        self,
        ticket: Ticket,
        free_slots: int,
        effective_slots: float,
        service_time_s: float,
        now_s: float,
    ) -> QueueDecision:
        """Return the decision that `request_slot` would make now for a ticket.

        Unlike `request_slot`, this method does not change the queue. If the queue is
        full, it returns ``SHED`` even if `request_slot` would shed another attempt
        instead.
        """
        decision = self._judge(
            ticket, free_slots, effective_slots, service_time_s, now_s
        )
        if decision is QueueDecision.WAIT and self._is_full():
            return QueueDecision.SHED
        return decision

    def count_waiting(self, backend_server_id: str) -> int:
        """Return how many attempts wait for one backend server."""
        return sum(
            ticket.backend_server_id == backend_server_id for ticket in self._waiting
        )

    def expected_starts(self, backend_server_id: str) -> float:
        """Return how many waiting attempts are expected to start at a backend server.

        It is less than their number, because reservations may start elsewhere.
        """
        return sum(
            _places_taken(ticket)
            for ticket in self._waiting
            if ticket.backend_server_id == backend_server_id
        )

    def withdraw(self, ticket: Ticket, has_started: bool = False) -> None:
        """Remove an attempt from the queue, if it is in the queue."""
        if ticket.key is not None:
            if ticket.is_reservation and not has_started:
                self._turns.return_turn(ticket.customer, ticket.key.turn)
            ticket.key = None
            if not ticket.is_shed:
                self._waiting.remove(ticket)
                self._on_change()
            if not self._waiting:
                self._turns.reset()

    def _judge(
        self, ticket, free_slots, effective_slots, service_time_s, now_s
    ) -> QueueDecision:
        if now_s >= ticket.deadline_s:
            return QueueDecision.TOO_LATE
        if ticket.is_shed:
            return QueueDecision.SHED
        before, competing = self._find_competing(ticket, now_s)
        ahead = len(before)
        if ticket.busy is None:
            wait_s = _mean_wait_s(
                sum(map(_places_taken, before)),
                free_slots,
                effective_slots,
                service_time_s,
            )
        else:
            wait_s = expected_wait_s(
                ticket.busy.ends_s,
                [
                    _places_taken(other) * _run_time_s(other, service_time_s)
                    for other in before
                ],
                free_slots,
                ticket.busy.slots,
                effective_slots,
            )
        if ticket.allowance is not None:
            wait_s = max(wait_s, ticket.allowance.wait_s(ahead + 1))
        run_time_s = ticket.route_time_s or service_time_s
        ends_s = now_s + wait_s + run_time_s
        # An attempt with a free slot and no competing attempts starts even if it is
        # expected to end after its deadline. The estimate may be far too high, and only
        # completed attempts correct it. If all attempts were refused, the estimate
        # would never change.
        has_slot = ahead < free_slots
        if ends_s > ticket.deadline_s and (competing or not has_slot):
            return QueueDecision.TOO_LATE
        if has_slot:
            return QueueDecision.START
        ticket.expected_wait_s = wait_s or (
            _mean_wait_s(
                sum(map(_places_taken, before)),
                free_slots,
                effective_slots,
                DEFAULT_SERVICE_TIME_S,
            )
        )
        if _waits_too_long(ticket, now_s):
            return QueueDecision.WAIT_TOO_LONG
        return QueueDecision.WAIT

    def _find_competing(self, ticket: Ticket, now_s: float) -> tuple[list[Ticket], int]:
        """Find the other attempts that wait for the same backend server.

        Returns
        -------
        tuple of (list of Ticket, int)
            Those of these attempts that start before the ticket, and the number of all.
        """
        key = _current_order(ticket, ticket.key or self._next_key(ticket), now_s)
        before, competing = [], 0
        for other in self._waiting:
            if other.backend_server_id != ticket.backend_server_id:
                continue
            if other is not ticket:
                competing += 1
                if _current_order(other, other.key, now_s) < key:
                    before.append(other)
        return before, competing

    def _next_key(self, ticket: Ticket) -> OrderKey:
        """Return the key that sorts a ticket among the waiting ones.

        It sorts by weight (the heaviest first), then by the customer's turn, by latency
        target and by arrival. Because of the target, a short request whose answer is
        due soon starts before a long request whose answer is due later. Tickets without
        a target sort by arrival. Of two calls, the one whose run has waited longer in a
        slot starts first.
        """
        sequence = self._sequence + 1
        target_s = 0.0
        if ticket.target_s is not None:
            target_s = ticket.target_s + ticket.rank_s - (ticket.spent_s or 0.0)
        turn = self._turns.next_turn(ticket.customer)
        return OrderKey(
            -ticket.weight, turn, target_s, sequence * _SEQUENCE_SIGNS[self._order]
        )

    def _enqueue(self, ticket: Ticket, now_s: float) -> QueueDecision:
        if ticket.key is not None:
            return QueueDecision.WAIT
        if self._is_full() and not self._shed_for(ticket):
            return QueueDecision.SHED
        ticket.key = self._next_key(ticket)
        self._turns.assign_turn(ticket.customer)
        ticket.enqueued_s = now_s
        self._sequence += 1
        self._waiting.append(ticket)
        return QueueDecision.WAIT

    def _is_full(self) -> bool:
        return sum(map(_places_taken, self._waiting)) >= self.queue_max

    def _shed_for(self, ticket: Ticket) -> bool:
        """Shed one of the lightest waiting attempts to make room for the ticket.

        Only the waiting attempts with the lowest weight are considered. The customer
        with the most of them is selected, and the newest of its attempts is the
        candidate. If none of these attempts has a customer, the newest of them is the
        candidate.

        A candidate that is lighter than the ticket is always shed. A candidate that is
        heavier than the ticket is never shed. A candidate of the ticket's weight is
        shed only if candidate and ticket have customers, and the candidate's customer
        has more attempts of this weight than the ticket's customer. The ticket counts
        as an attempt of its customer.

        Returns
        -------
        bool
            False if no attempt was shed.
        """
        if not self._waiting:
            return False
        weight = min(other.weight for other in self._waiting)
        counts = Counter(
            other.customer for other in self._waiting if other.weight == weight
        )
        candidate = max(
            (other for other in reversed(self._waiting) if other.weight == weight),
            key=lambda other: counts[other.customer] if other.customer else 0,
        )
        has_more = counts[candidate.customer] > counts[ticket.customer] + 1
        has_more &= bool(ticket.customer and candidate.customer)
        if weight > ticket.weight or (weight == ticket.weight and not has_more):
            return False
        candidate.is_shed = True
        self._waiting.remove(candidate)
        self._on_change()
        return True


def _current_order(
    ticket: Ticket, key: OrderKey, now_s: float
) -> tuple[float, bool, int, float, int]:
    """Return a ticket's present sort key; late tickets sort last in their weight.

    If the attempt with the earliest target always started first, each answer would be
    slightly too late under overload. For example, if only three quarters of the needed
    slots exist, no answer would be in time. Therefore an attempt whose answer will be
    late in any case starts after the attempts of its weight that can still meet their
    targets.
    """
    weight, turn, target_s, sequence = key
    return weight, ticket.is_late(now_s), turn, target_s, sequence


def _places_taken(ticket: Ticket) -> float:
    """Return the expected number of starts here that a waiting ticket stands for.

    A reservation also waits at another gate. If each counted fully, all queues would
    look twice as long as they are, and would be full with half of the requests.
    """
    return RESERVATION_PLACES if ticket.is_reservation else 1.0


def _run_time_s(ticket: Ticket, service_time_s: float) -> float:
    return ticket.route_time_s or service_time_s or DEFAULT_SERVICE_TIME_S


def _mean_wait_s(
    ahead: float, free_slots: int, effective_slots: float, service_time_s: float
) -> float:
    """Return the expected time until a slot is free for a ticket.

    It assumes that `effective_slots` busy slots become free within one service time,
    evenly spread over that time.
    """
    slots_needed = ahead - free_slots + 1
    return max(0, slots_needed) * service_time_s / effective_slots


def _waits_too_long(ticket: Ticket, now_s: float) -> bool:
    if ticket.wait_max_s is None:
        return False
    if ticket.key is None:
        return ticket.expected_wait_s > ticket.wait_max_s
    if ticket.allowance is not None and ticket.allowance.tokens < 1:
        # The wait for a limit can't turn out shorter than expected, as that for a slot
        # can. The attempt is refused as soon as it would be too long.
        waited_s = now_s - ticket.enqueued_s
        return waited_s + ticket.expected_wait_s > ticket.wait_max_s
    # A ticket that waits much longer than was estimated when it was enqueued is
    # refused, because another gate may be faster.
    return now_s - ticket.enqueued_s > WAIT_OVERRUN_FACTOR * ticket.wait_max_s
