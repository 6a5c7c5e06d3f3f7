"""The gate: alone decides which attempts run at the backend servers of this node.

An attempt is refused, dispatched or cancelled under one lock. It is therefore either
refused or dispatched, never both, and never dispatched after it was cancelled. The gate
makes these checks in this order:

1. Each attempt id is handled only once.
2. Of all attempts with one idempotency key, only one runs across all gates.
3. The checksum of the body is correct.
4. The request is not blocked because it crashes backend servers.
5. The backend server is healthy, and the retry budget permits the attempt.
6. A slot is free, and a limit that the backend server names allows one more request.
   Then check 4 and the check of the health are repeated.
7. The deadline has not passed; checked with 6, and just before the request is sent.
"""

import time
from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.attempts import (
    REFUSAL_REASONS,
    AttemptTable,
    BeginResult,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.checked_attempts import CheckedAttempts
from balsamspindle.backend_servers.client import (
    BackendServerClient,
)
from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.backend_servers.dispatches import (
    attempt_deadline_s,
    ingress_ends_s,
    is_keyed,
    reserved_dispatch,
    unchecked_key_outcome,
)
from balsamspindle.backend_servers.evidence import (
    HealthObserver,
    NullHealthObserver,
)
from balsamspindle.backend_servers.failed_calls import FailedCalls
from balsamspindle.backend_servers.gate_previews import GatePreviews
from balsamspindle.backend_servers.inherited_weight import with_inherited_weight
from balsamspindle.backend_servers.ledger import (
    ClaimedKey,
    EarlierAnswer,
    KeyRefused,
    RunLedger,
)
from balsamspindle.backend_servers.open_runs import OpenRuns
from balsamspindle.backend_servers.refused_attempts import Refusals
from balsamspindle.backend_servers.resends import Resends
from balsamspindle.backend_servers.reservations import ReservationState
from balsamspindle.backend_servers.reserved_attempts import HeldSlot, ReservedAttempts
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.runner import Runner
from balsamspindle.backend_servers.servers import (
    LocalBackendServers,
)
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AdmissionAnswer,
    AdmissionQuery,
    AttemptId,
    Dispatch,
    Reply,
    ReservationCall,
    ReservationRequest,
)

__all__ = ["Gate"]

# Assumed time until an attempt's deadline if its cancellation contains no deadline.
CANCELLATION_TTL_S = 60.0


class Gate:
    """Runs attempts at the backend servers of this node.

    Parameters
    ----------
    admission : Admission, default=one with the services' default settings
    names : HeaderNames
        Headers that carry data about a request to and from backend servers.
    on_misdirected : callable
        Called with the id of a backend server whose address now belongs to another
        backend server.
    failed_calls : FailedCalls, default=none failed
        Failed calls made by the backend servers beside this node.
    grants : RetryGrants, default=grants all repeats
        Limits repeats at this gate. By default only the sending nodes limit them.
    crash_history : CrashHistory, default=an empty one
        Records which requests are suspected of crashing backend servers, or blocked.
    crash_watch : CrashWatch, default=one that updates only `crash_history`
    answer_terms : AnswerTerms, default=one that records in `admission.terms`
        Records what the backend servers announce in their answers.

    Attributes
    ----------
    open_runs : OpenRuns
        Present runs, of which some may wait for calls that arrive at this node.
    """

    def __init__(
        self,
        servers: LocalBackendServers,
        client: BackendServerClient,
        events: EventLog,
        observer: HealthObserver | None = None,
        admission: Admission | None = None,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        on_misdirected: Callable[[str], None] = lambda backend_server_id: None,
        failed_calls: FailedCalls | None = None,
        grants: RetryGrants | None = None,
        crash_history: CrashHistory | None = None,
        crash_watch: CrashWatch | None = None,
        answer_terms: AnswerTerms | None = None,
    ) -> None:
        self._grants = grants or RetryGrants(lambda *_: RetryBudget())
        self._servers = servers
        self._events = events
        observer = observer or NullHealthObserver()
        self._admission = admission or Admission(servers)
        terms = self._admission.terms
        answer_terms = answer_terms or AnswerTerms(servers, terms, events, names)
        self._refusals = Refusals(events, observer, terms, self._admission.loads)
        crash_history = crash_history or CrashHistory(lambda service: 1)
        self._previews = GatePreviews(observer, self._admission, crash_history)
        self.open_runs = OpenRuns(self._admission.inherits_importance)
        self._attempts = AttemptTable()
        self._ledger = RunLedger(events.node_id, events.incarnation)
        runner = Runner(
            servers,
            client,
            events,
            observer,
            self._admission,
            names,
            on_misdirected,
            failed_calls or FailedCalls(),
            crash_watch or CrashWatch(events, crash_history),
            answer_terms,
            Resends(
                servers, events, observer, self._admission, self._grants, crash_history
            ),
        )
        self._checked = CheckedAttempts(
            events,
            observer,
            self._admission,
            self._refusals,
            self._grants,
            crash_history,
            answer_terms,
            runner,
            self.open_runs,
        )
        self._reserved = ReservedAttempts(
            servers,
            self._attempts,
            self._admission,
            self._previews,
            self._refusals,
            events,
            self._start_reserved,
        )

    def refuse_new_attempts(self) -> None:
        """Refuse all new and waiting attempts from now on, as this node is leaving."""
        self._admission.refuse_new_attempts()

    def set_end_time(self, ends_s: float) -> None:
        """Set this node's end time; refuse attempts that may still be running then."""
        self._admission.set_end_time(ends_s)

    def cancel_all(self) -> None:
        """Cancel all waiting and running attempts, as this node ends now."""
        with self._servers.changed:
            self._attempts.cancel_all(CancelCause.NODE_LEAVING)
            self._reserved.withdraw_all(CancelCause.NODE_LEAVING)
            self._servers.changed.notify_all()

    def refuse_busy(self, dispatch: Dispatch, received_s: float) -> Reply | None:
        """Refuse an attempt because too many attempts wait for a worker thread.

        Returns None for a duplicate message, which gets no reply.
        """
        begin = self._begin(
            dispatch, CancelToken(), attempt_deadline_s(dispatch, received_s)
        )
        if begin is BeginResult.DUPLICATE:
            return None
        return self._refusals.refuse(
            dispatch, Reason.NO_FREE_SLOT, unchecked_key_outcome(dispatch)
        )

    def begin_claim_era(
        self, version_min: int, after_s: float, now_s: float
    ) -> list[ClaimedKey]:
        """Refuse claims below `version_min`; return the keys whose claims may be lost.

        See `RunLedger.begin_era`.
        """
        return self._ledger.begin_era(version_min, after_s, now_s)

    def in_flight(self) -> int:
        """Return how many attempts occupy a slot."""
        return self._admission.in_flight()

    def waiting(self) -> int:
        """Return how many attempts wait for a slot."""
        return self._admission.waiting()

    def cancel(
        self,
        attempt_id: AttemptId,
        gate_deadline_s: float | None = None,
        cause: CancelCause = CancelCause.INGRESS_GAVE_UP,
    ) -> None:
        """Cancel an attempt, even if its message has not arrived yet.

        An attempt that only has a reservation loses the reservation.
        If the request has not been sent to the backend server, the attempt is refused.
        Otherwise the call is aborted and its connection to the backend server closed.
        """
        now_s = time.monotonic()
        with self._servers.changed:
            self._reserved.withdraw(attempt_id, cause)
            self._attempts.cancel(
                attempt_id, gate_deadline_s or now_s + CANCELLATION_TTL_S, now_s, cause
            )
            self._servers.changed.notify_all()

    def set_ingress_end(self, attempt_id: AttemptId, ends_s: float) -> bool:
        """Record when an attempt's ingress ends; False if the attempt is unknown."""
        with self._servers.changed:
            is_known = self._attempts.set_ingress_end(attempt_id, ends_s)
            self._servers.changed.notify_all()
        return is_known

    def outlasting_attempts(self, now_s: float) -> list[AttemptId]:
        """Return the running attempts that may still be running when this node ends."""
        return self._admission.outlasting_attempts(now_s)

    def handle(self, dispatch: Dispatch, received_s: float) -> Reply | None:
        """Refuse an attempt, or run it and wait for its end; return the reply.

        Parameters
        ----------
        received_s : float
            When the message arrived, on the monotonic clock.

        Returns
        -------
        Reply or None
            None for a duplicate message of an attempt: a second reply could
            contradict the first.
        """
        dispatch = with_inherited_weight(
            dispatch, self._admission.inherits_importance(dispatch.service)
        )
        token = CancelToken()
        token.set_ingress_end(ingress_ends_s(dispatch, received_s))
        deadline_s = attempt_deadline_s(dispatch, received_s)
        begin = self._begin(dispatch, token, deadline_s)
        if begin is BeginResult.DUPLICATE:
            return None
        if begin is not BeginResult.NEW:
            return self._refusals.refuse(
                dispatch, REFUSAL_REASONS[begin], unchecked_key_outcome(dispatch)
            )
        if not is_keyed(dispatch):
            return self._checked.handle(dispatch, token, deadline_s)
        return self._handle_keyed(dispatch, token, deadline_s)

    def reserve(
        self,
        request: ReservationRequest,
        received_s: float,
        send_call: Callable[[ReservationCall], None],
    ) -> Reply | None:
        """Let an attempt wait for a slot; see `ReservedAttempts.reserve`."""
        inherits = self._admission.inherits_importance(request.query.service)
        query = with_inherited_weight(request.query, inherits)
        request = msgspec.structs.replace(request, query=query)
        return self._reserved.reserve(request, received_s, send_call)

    def refuse_reservation(self, request: ReservationRequest) -> Reply:
        """Refuse a reservation because too many attempts wait for a worker thread."""
        return self._refusals.refuse_reservation(
            reserved_dispatch(request), Reason.NO_FREE_SLOT
        )

    def take_reserved(self, dispatch: Dispatch, received_s: float) -> bool:
        """Hand a dispatch to the task that holds its slot; False if none is held."""
        return self._reserved.take(dispatch, received_s)

    def reservations(self, state: ReservationState) -> int:
        """Return how many reservations are in a state."""
        return self._reserved.count(state)

    def _start_reserved(
        self,
        dispatch: Dispatch,
        token: CancelToken,
        held: HeldSlot,
        received_s: float,
    ) -> Reply | None:
        """Handle a dispatch whose slot is held; its id may still not be new."""
        dispatch = with_inherited_weight(
            dispatch, self._admission.inherits_importance(dispatch.service)
        )
        token.set_ingress_end(ingress_ends_s(dispatch, received_s))
        deadline_s = attempt_deadline_s(dispatch, received_s)
        match self._begin(dispatch, token, deadline_s):
            case BeginResult.NEW:
                return self._checked.handle(dispatch, token, deadline_s, held)
            case BeginResult.DUPLICATE:
                return None
            case begin:
                return self._refusals.refuse(dispatch, REFUSAL_REASONS[begin])

    def preview(self, query: AdmissionQuery, received_s: float) -> AdmissionAnswer:
        """Return whether an attempt would be refused now; see `GatePreviews`."""
        inherits = self._admission.inherits_importance(query.service)
        query = with_inherited_weight(query, inherits)
        return self._previews.preview(query, received_s)

    def _begin(self, dispatch, token, deadline_s) -> BeginResult:
        with self._servers.changed:
            begin = self._attempts.begin(
                dispatch.attempt_id, token, deadline_s, time.monotonic()
            )
        if begin is BeginResult.DUPLICATE:
            self._events.emit(
                "attempt_dropped",
                request=dispatch.request_id,
                cause="duplicate message of an attempt",
            )
        return begin

    def _handle_keyed(self, dispatch, token, deadline_s) -> Reply:
        """Run or refuse a keyed attempt, or return the earlier answer for its key."""
        match self._ledger.begin(dispatch, time.monotonic()):
            case KeyRefused(outcome, reason):
                return self._refusals.refuse(dispatch, reason, outcome)
            case EarlierAnswer(reply):
                self._events.emit("answer_repeated", request=dispatch.request_id)
                return msgspec.structs.replace(reply, attempt_id=dispatch.attempt_id)
        # If `handle` raises an exception, the ledger records this reply, so that
        # the key stays claimed.
        reply = Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER)
        try:
            reply = self._checked.handle(dispatch, token, deadline_s)
        finally:
            self._ledger.end(dispatch, reply, time.monotonic())
        return reply

    def repeat_fraction(self) -> float:
        """Return the fraction of this gate's running attempts that are repeats."""
        return self._grants.repeat_fraction()
