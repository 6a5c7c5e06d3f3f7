"""Fair turns for the customers whose requests wait in one queue.

One customer may send many times as many requests as all others together, so that the
queue never becomes empty. To keep this customer from delaying the others, the queue
uses start-time fair queueing: each waiting request gets a turn number, its turn, and
lower turns are served first. The highest turn of the requests that have started is the
turn that is being served. The turn of a request is one higher than that of its
customer's previous request, and not lower than the turn that is being served. A
customer therefore waits behind its own requests only, not behind the backlog of another
customer.
"""

from collections import Counter

__all__ = ["CustomerTurns"]

CUSTOMERS_PRUNE_LIMIT = 1000


class CustomerTurns:
    """Turn numbers of one queue; valid until the queue becomes empty."""

    def __init__(self) -> None:
        self._current_turn = 0
        self._next_turns: Counter[str] = Counter()

    def next_turn(self, customer: str) -> int:
        """Return the turn for a customer's next request.

        A request without a customer gets the turn that is being served.
        """
        return (
            max(self._current_turn, self._next_turns[customer])
            if customer
            else self._current_turn
        )

    def assign_turn(self, customer: str) -> None:
        """Assign a customer's next turn to a request that enters the queue."""
        if customer:
            self._next_turns[customer] = self.next_turn(customer) + 1
        if len(self._next_turns) > CUSTOMERS_PRUNE_LIMIT:
            self._discard_served()

    def advance_to(self, turn: int) -> None:
        """Set the turn number that is being served; called when a request starts."""
        self._current_turn = max(self._current_turn, turn)

    def reset(self) -> None:
        """Restart at turn 0; called when the queue becomes empty."""
        self._current_turn = 0
        self._next_turns.clear()

    def _discard_served(self) -> None:
        self._next_turns = Counter(
            {
                customer: turn
                for customer, turn in self._next_turns.items()
                if turn > self._current_turn
            }
        )
