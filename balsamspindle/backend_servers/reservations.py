"""The table of a gate's reservations; it lets each reservation be called once.

A reservation lets an attempt wait for a slot before its request is sent. It goes
through these states:

=========== ===========================================================================
state       meaning
=========== ===========================================================================
WAITING     the attempt waits in the queue
CALLED      the gate holds a slot for the attempt until the call expires
TAKEN       the attempt's dispatch arrived in time and uses the held slot
ENDED       the gate refused the attempt, the call expired, or the ingress took the
            reservation back
=========== ===========================================================================
"""

import heapq
from enum import Enum, auto

from balsamspindle.backend_servers.attempts import ATTEMPT_RETENTION_S
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.protocol.outcomes import CancelCause
from balsamspindle.wire import AttemptId, Dispatch

__all__ = ["Reservation", "ReservationState", "ReservationTable", "hold_ms"]

# For how long a called slot is held if the request has no body: about a round trip
# between two zones, with the time that messages wait on a busy link. With less time,
# slots would be given to the next attempt while the dispatch is on its way. With more
# time, a slot would stay idle for longer after its ingress has died.
HOLD_MS = 100.0
# Additional time for the transfer of a body: that of links with 4 Mbit/s at both ends.
HOLD_MS_PER_BYTE = 0.004
HOLD_MAX_MS = 1000.0


class ReservationState(Enum):
    """State of a reservation; see the module's description."""

    WAITING = auto()
    CALLED = auto()
    TAKEN = auto()
    ENDED = auto()


def hold_ms(body_bytes: int) -> float:
    """Return for how long a gate holds a slot for the dispatch of a called attempt."""
    return min(HOLD_MAX_MS, HOLD_MS + HOLD_MS_PER_BYTE * body_bytes)


class Reservation:
    """One reservation.

    Attributes
    ----------
    token : CancelToken
        Is cancelled when the ingress takes the reservation back.
    dispatch : Dispatch or None
        The dispatch that uses the held slot; None before it arrives.
    received_s : float
        When the dispatch arrived, on the monotonic clock; 0 before that.
    """

    def __init__(self) -> None:
        self.token = CancelToken()
        self.state = ReservationState.WAITING
        self.held_until_s = 0.0
        self.dispatch: Dispatch | None = None
        self.received_s = 0.0

    def call(self, now_s: float, held_until_s: float) -> bool:
        """Hold a slot for the attempt; False if the reservation has ended."""
        if self.state is not ReservationState.WAITING or self.token.cancelled:
            self.state = ReservationState.ENDED
            return False
        self.state = ReservationState.CALLED
        self.held_until_s = held_until_s
        return now_s < held_until_s

    def take(self, dispatch: Dispatch, now_s: float) -> bool:
        """Use the held slot for a dispatch; False if no slot is held for it."""
        if not self.is_held(now_s):
            return False
        self.state = ReservationState.TAKEN
        self.dispatch, self.received_s = dispatch, now_s
        return True

    def is_held(self, now_s: float) -> bool:
        """Return whether a slot is held until the dispatch arrives."""
        is_valid = now_s < self.held_until_s and not self.token.cancelled
        return self.state is ReservationState.CALLED and is_valid

    def end(self) -> None:
        """End the reservation, unless its slot was taken."""
        if self.state is not ReservationState.TAKEN:
            self.state = ReservationState.ENDED


class ReservationTable:
    """Reservations by attempt id. Not thread-safe: the gate holds its lock.

    A reservation stays in the table until `ATTEMPT_RETENTION_S` after its deadline, so
    that a duplicate of its message opens no second one.
    """

    def __init__(self) -> None:
        self._reservations: dict[AttemptId, Reservation] = {}
        self._expiries: list[tuple[float, AttemptId]] = []

    def open(
        self, attempt_id: AttemptId, deadline_s: float, now_s: float
    ) -> Reservation | None:
        """Return a new reservation; None if there was one with this attempt id."""
        while self._expiries and self._expiries[0][0] <= now_s:
            del self._reservations[heapq.heappop(self._expiries)[1]]
        if attempt_id in self._reservations:
            return None
        reservation = self._reservations[attempt_id] = Reservation()
        until_s = deadline_s + ATTEMPT_RETENTION_S
        heapq.heappush(self._expiries, (until_s, attempt_id))
        return reservation

    def take(self, dispatch: Dispatch, now_s: float) -> bool:
        """Use the slot that is held for a dispatch; False if none is held."""
        reservation = self._reservations.get(dispatch.attempt_id)
        return reservation is not None and reservation.take(dispatch, now_s)

    def withdraw(self, attempt_id: AttemptId, cause: CancelCause) -> None:
        """Take a reservation back, unless a dispatch already uses its slot."""
        reservation = self._reservations.get(attempt_id)
        if reservation is not None:
            _withdraw(reservation, cause)

    def withdraw_all(self, cause: CancelCause) -> None:
        """Take all reservations back whose slots no dispatch uses."""
        for reservation in self._reservations.values():
            _withdraw(reservation, cause)

    def count(self, state: ReservationState) -> int:
        """Return how many reservations are in a state."""
        return sum(
            reservation.state is state for reservation in self._reservations.values()
        )


def _withdraw(reservation: Reservation, cause: CancelCause) -> None:
    # Once the dispatch has begun, the table of attempts cancels it by the same token.
    if reservation.state in (ReservationState.WAITING, ReservationState.CALLED):
        reservation.token.cancel(cause)
