"""The table of attempts that a gate has received; it lets each run at most once."""

import heapq
from enum import Enum, auto

from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.protocol.outcomes import CancelCause, Reason
from balsamspindle.wire import AttemptId

__all__ = [
    "ATTEMPTS_MAX",
    "REFUSAL_REASONS",
    "ATTEMPT_RETENTION_S",
    "AttemptTable",
    "BeginResult",
]

ATTEMPTS_MAX = 100_000
# How long an attempt stays in the table after its deadline. A message of the attempt
# that arrives even later is refused because its deadline has passed; its ingress no
# longer waits for a reply.
ATTEMPT_RETENTION_S = 5.0


class BeginResult(Enum):
    """Whether an attempt that arrived may run, and if not, why."""

    NEW = auto()
    CANCELLED = auto()
    DUPLICATE = auto()
    NO_ROOM = auto()


# The reason that the reply to a refused attempt gives. Duplicates get no reply.
REFUSAL_REASONS = {
    BeginResult.CANCELLED: Reason.CANCELLED,
    BeginResult.NO_ROOM: Reason.NO_FREE_SLOT,
}


class AttemptTable:
    """Attempts by id; guarded by the gate's lock.

    Entries expire by time and are never evicted early to make room: if an attempt were
    removed before its deadline, a duplicate of its message could run it again.
    """

    def __init__(self) -> None:
        # A cancelled attempt stays in the table, as its message may still arrive.
        self._tokens: dict[AttemptId, CancelToken] = {}
        self._begun: set[AttemptId] = set()
        self._expiries: list[tuple[float, AttemptId]] = []

    def begin(
        self, attempt_id: AttemptId, token: CancelToken, deadline_s: float, now_s: float
    ) -> BeginResult:
        """Register an attempt when its message arrives; only the first message runs it.

        Parameters
        ----------
        token : CancelToken
            Token by which the attempt can be cancelled from now on.
        deadline_s : float
            On the gate's monotonic clock.
        """
        self._expire(now_s)
        if attempt_id in self._begun:
            return BeginResult.DUPLICATE
        if attempt_id in self._tokens:
            return BeginResult.CANCELLED
        if len(self._tokens) >= ATTEMPTS_MAX:
            return BeginResult.NO_ROOM
        self._begun.add(attempt_id)
        self._add(attempt_id, token, deadline_s)
        return BeginResult.NEW

    def cancel(
        self,
        attempt_id: AttemptId,
        deadline_s: float,
        now_s: float,
        cause: CancelCause = CancelCause.INGRESS_GAVE_UP,
    ) -> None:
        """Cancel an attempt; if its message arrives later, the attempt will not run."""
        self._expire(now_s)
        token = self._tokens.get(attempt_id)
        if token is not None:
            token.cancel(cause)
        elif len(self._tokens) < ATTEMPTS_MAX:
            # If the table is full, the cancellation is lost, and the attempt may still
            # run once with nobody waiting for it. That is safe: its ingress had given
            # its caller the outcome 'unknown' before it cancelled the attempt.
            self._add(attempt_id, CancelToken(), deadline_s)

    def set_ingress_end(self, attempt_id: AttemptId, ends_s: float) -> bool:
        """Record when the ingress of an attempt ends.

        Returns
        -------
        bool
            False if the attempt is not in the table, for example because its message
            has not arrived yet.
        """
        token = self._tokens.get(attempt_id)
        if token is not None:
            token.set_ingress_end(ends_s)
        return token is not None

    def cancel_all(self, cause: CancelCause) -> None:
        """Cancel all attempts in the table."""
        for token in self._tokens.values():
            token.cancel(cause)

    def _add(self, attempt_id, token, deadline_s) -> None:
        self._tokens[attempt_id] = token
        heapq.heappush(self._expiries, (deadline_s + ATTEMPT_RETENTION_S, attempt_id))

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, attempt_id = heapq.heappop(self._expiries)
            del self._tokens[attempt_id]
            self._begun.discard(attempt_id)
