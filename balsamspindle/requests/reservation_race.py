"""Decides which of a request's reservations starts the request."""

from enum import Enum, auto

__all__ = ["ReservationRace"]


class _State(Enum):
    """State of one reservation, as the ingress knows it."""

    OPEN = auto()
    STARTED = auto()
    ENDED = auto()


class ReservationRace:
    """The reservations of one request, identified by numbers from 0.

    The request starts at the gate that calls first, once. All other reservations are
    withdrawn, also those that are called later.
    """

    def __init__(self, count: int) -> None:
        self._states = dict.fromkeys(range(count), _State.OPEN)

    @property
    def is_over(self) -> bool:
        """Whether the request has started, or no gate can call it any more."""
        return self.has_started or _State.OPEN not in self._states.values()

    @property
    def has_started(self) -> bool:
        """Whether a gate has called the request."""
        return _State.STARTED in self._states.values()

    def record_call(self, number: int) -> bool:
        """Record a call; return whether the request starts there now."""
        if self._states[number] is not _State.OPEN or self.has_started:
            return False
        self._states[number] = _State.STARTED
        return True

    def record_end(self, number: int) -> None:
        """Record that a gate refused a reservation or was lost."""
        if self._states[number] is _State.OPEN:
            self._states[number] = _State.ENDED

    def close(self) -> list[int]:
        """End the race; return the reservations that have to be withdrawn."""
        numbers = [
            number for number, state in self._states.items() if state is _State.OPEN
        ]
        for number in numbers:
            self._states[number] = _State.ENDED
        return numbers
