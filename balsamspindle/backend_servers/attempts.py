"""The table of a gate's attempts; it lets each attempt run at most once."""

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
# How long an attempt stays in the table after its deadline. A duplicate message that
# arrives after the attempt was removed starts no second run, because the gate refuses
# attempts whose deadline has passed. The ingress no longer waits for a reply by then.
ATTEMPT_RETENTION_S = 5.0


class BeginResult(Enum):
    """Result of `AttemptTable.begin`: whether an attempt may run, and if not, why."""

    NEW = auto()
    CANCELLED = auto()
    DUPLICATE = auto()
    NO_ROOM = auto()


# The reason in the reply if an attempt may not run. Duplicate messages get no reply.
REFUSAL_REASONS = {
    BeginResult.CANCELLED: Reason.CANCELLED,
    BeginResult.NO_ROOM: Reason.NO_FREE_SLOT,
}


class AttemptTable:
    """Attempts by id. Not thread-safe: the gate holds its lock during each call.

    An attempt is removed `ATTEMPT_RETENTION_S` after its deadline. A full table does
    not remove attempts earlier. If an attempt were removed before its deadline, a
    duplicate of its message could start a second run.
    """

    def __init__(self) -> None:
        # Also contains attempts that were cancelled before their message arrived.
        # `_begun` contains only attempts whose message has arrived.
        self._tokens: dict[AttemptId, CancelToken] = {}
        self._begun: set[AttemptId] = set()
        self._expiries: list[tuple[float, AttemptId]] = []

    def begin(
        self, attempt_id: AttemptId, token: CancelToken, deadline_s: float, now_s: float
    ) -> BeginResult:
        """Register an attempt whose message has arrived; return whether it may run.

        The attempt may run if this is its first message, if it has not been cancelled,
        and if the table has room for it.

        Parameters
        ----------
        token : CancelToken
            Token by which the attempt can be cancelled from now on.
        deadline_s : float
            Deadline of the attempt on the gate's monotonic clock.
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
        """Cancel an attempt, even if its message has not arrived yet.

        If the message arrives after this call, the attempt will not run, unless the
        table is full.
        """
        self._expire(now_s)
        token = self._tokens.get(attempt_id)
        if token is not None:
            token.cancel(cause)
        elif len(self._tokens) < ATTEMPTS_MAX:
            # If the table is full, the cancellation is lost. The attempt may then run
            # once although nobody waits for the answer. This run is safe: the ingress
            # sent the caller the outcome 'unknown' before it cancelled the attempt.
            self._add(attempt_id, CancelToken(), deadline_s)

    def is_known(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt has begun or was cancelled."""
        return attempt_id in self._tokens

    def set_ingress_end(self, attempt_id: AttemptId, ends_s: float) -> bool:
        """Record at what time the ingress of an attempt ends.

        Returns
        -------
        bool
            False if the attempt is not in the table, for example because its message
            has not arrived yet. The end is not recorded in this case.
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
