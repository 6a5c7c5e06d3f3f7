"""Fair turns for the customers whose requests wait in one queue.

One customer may send many times as many requests as all others together. The queue then
never becomes empty. To keep this customer from delaying the others, the queue uses
start-time fair queueing:

- Each waiting request has a turn number. The request with the lowest number starts
  first.
- The current turn is the highest turn number of the requests that have started.
- The turn number of a new request is one higher than the previous turn number of its
  customer, but at least the current turn.

A customer therefore waits behind its own requests only, not behind the backlog of
another customer.
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
        """Return the turn number for a customer's next request.

        A request without a customer gets the current turn.
        """
        return (
            max(self._current_turn, self._next_turns[customer])
            if customer
            else self._current_turn
        )

    def assign_turn(self, customer: str) -> None:
        """Assign the customer's next turn number to a request that enters the queue."""
        if customer:
            self._next_turns[customer] = self.next_turn(customer) + 1
        if len(self._next_turns) > CUSTOMERS_PRUNE_LIMIT:
            self._discard_served()

    def return_turn(self, customer: str, turn: int) -> None:
        """Take back the turn of a request that left the queue without a start.

        Only the customer's latest turn is taken back. Later requests keep theirs.
        """
        if self._next_turns[customer] == turn + 1:
            self._next_turns[customer] = turn

    def advance_to(self, turn: int) -> None:
        """Raise the current turn to the turn number of a request that starts."""
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
