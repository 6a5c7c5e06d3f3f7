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

from balsamspindle.backend_servers.admission import Admission, Admitted, Refused
from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.attempts import (
    REFUSAL_REASONS,
    AttemptTable,
    BeginResult,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import (
    BackendServerClient,
)
from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.backend_servers.dispatches import (
    attempt_deadline_s,
    ingress_ends_s,
    is_keyed,
    unchecked_key_outcome,
)
from balsamspindle.backend_servers.evidence import (
    HealthObserver,
    NullHealthObserver,
)
from balsamspindle.backend_servers.failed_calls import FailedCalls
from balsamspindle.backend_servers.gate_previews import GatePreviews, health_admits
from balsamspindle.backend_servers.inherited_weight import with_inherited_weight
from balsamspindle.backend_servers.ledger import (
    ClaimedKey,
    EarlierAnswer,
    KeyRefused,
    RunLedger,
)
from balsamspindle.backend_servers.open_runs import OpenRun, OpenRuns
from balsamspindle.backend_servers.refused_attempts import Refusals
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.runner import Runner
from balsamspindle.backend_servers.servers import (
    LocalBackendServers,
)
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.backend_servers.suspect_runs import SuspectRuns
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.metrics import Hop
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AdmissionAnswer,
    AdmissionQuery,
    AttemptId,
    Dispatch,
    Reply,
    checksum,
)
from balsamspindle.wire.replies import is_refusal

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
        self._crash_history = crash_history or CrashHistory(lambda service: 1)
        self._suspect_runs = SuspectRuns()
        self._grants = grants or RetryGrants(lambda *_: RetryBudget())
        self._servers = servers
        self._events = events
        self._observer = observer or NullHealthObserver()
        self._admission = admission or Admission(servers)
        terms = self._admission.terms
        self._answer_terms = answer_terms or AnswerTerms(servers, terms, events, names)
        self._refusals = Refusals(events, self._observer, terms)
        self._previews = GatePreviews(
            self._observer, self._admission, self._crash_history
        )
        self.open_runs = OpenRuns(self._admission.inherits_importance)
        self._attempts = AttemptTable()
        self._ledger = RunLedger(events.node_id, events.incarnation)
        self._runner = Runner(
            client,
            events,
            self._observer,
            self._admission,
            names,
            on_misdirected,
            failed_calls or FailedCalls(),
            crash_watch or CrashWatch(events, self._crash_history),
            self._answer_terms,
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

        If the request has not been sent to the backend server, the attempt is refused.
        Otherwise the call is aborted and its connection to the backend server closed.
        """
        now_s = time.monotonic()
        with self._servers.changed:
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
            return self._handle_new(dispatch, token, deadline_s)
        return self._handle_keyed(dispatch, token, deadline_s)

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
        # If `_handle_new` raises an exception, the ledger records this reply, so that
        # the key stays claimed.
        reply = Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER)
        try:
            reply = self._handle_new(dispatch, token, deadline_s)
        finally:
            self._ledger.end(dispatch, reply, time.monotonic())
        return reply

    def _handle_new(self, dispatch, token, deadline_s) -> Reply:
        received_s = time.monotonic()
        self._answer_terms.adopt(dispatch, received_s)
        if checksum(dispatch.body) != dispatch.body_checksum:
            return self._refusals.refuse(dispatch, Reason.DAMAGED)
        status = self._crash_history.status_of(dispatch.content_hash, received_s)
        if status.blocked_ms:
            return self._refusals.refuse_blocked(dispatch, status.blocked_ms)
        if not health_admits(self._observer, dispatch, time.monotonic()):
            return self._refusals.refuse(dispatch, Reason.SUSPECTED)
        service, weight = dispatch.service, dispatch.weight
        # A request suspected of crashing backend servers probably causes its failures
        # itself. Its repeats are therefore limited like those of last-resort attempts:
        # they leave half of the service's repeats to other requests. `run_was_lost`
        # gives access to repeats reserved for heavier requests. It is ignored here.
        if dispatch.is_repeat and not self._grants.try_grant(
            service,
            weight,
            received_s,
            dispatch.is_last_resort or status.is_suspect,
            dispatch.run_was_lost and not status.is_suspect,
        ):
            return self._refusals.refuse(dispatch, Reason.RETRY_BUDGET)
        reply = self._handle_granted(dispatch, token, deadline_s, received_s)
        if not is_refusal(reply):
            if not dispatch.is_repeat:
                may_repeat = dispatch.execution is Execution.IDEMPOTENT
                self._grants.record_first_attempt(
                    service, weight, received_s, may_repeat, dispatch.repeat_fraction
                )
        elif dispatch.is_repeat:
            self._grants.return_grant(service)
        return reply

    def _handle_granted(self, dispatch, token, deadline_s, received_s) -> Reply:
        with self._events.metrics.timed(Hop.QUEUE):
            decision = self._admission.admit(dispatch, token, deadline_s)
        match decision:
            case Refused(reason, retry_after_ms):
                reply = self._refusals.refuse(
                    dispatch, reason, wait_ms=retry_after_ms, cut_by=token.cause
                )
                return msgspec.structs.replace(reply, retry_after_ms=retry_after_ms)
            case Admitted() as admitted:
                # Check the health again: the backend server may have become unhealthy
                # while attempts waited. Without this check, all waiting attempts would
                # be dispatched and fail one by one.
                if not health_admits(self._observer, dispatch, time.monotonic()):
                    self._admission.release(admitted, WorkEnd.DONE, was_sent=False)
                    return self._refusals.refuse(dispatch, Reason.SUSPECTED)
                return self._run_admitted(
                    dispatch, admitted, token, deadline_s, received_s
                )

    def _run_admitted(
        self, dispatch, admitted: Admitted, token, deadline_s, received_s
    ) -> Reply:
        """Run an attempt that has a slot, unless its request crashes backend servers.

        The crash history is checked again here, because copies of a request may wait
        for slots while another copy crashes a backend server. A suspected request is
        refused while a different suspected request runs at the same backend server.
        """
        status = self._crash_history.status_of(dispatch.content_hash, time.monotonic())
        if status.blocked_ms:
            self._admission.release(admitted, WorkEnd.DONE, was_sent=False)
            return self._refusals.refuse_blocked(dispatch, status.blocked_ms)
        server_id, content_hash = dispatch.backend_server_id, dispatch.content_hash
        if status.is_suspect and not self._suspect_runs.begin(server_id, content_hash):
            self._admission.release(admitted, WorkEnd.DONE, was_sent=False)
            return self._refusals.refuse(dispatch, Reason.WOULD_WAIT)
        self._grants.record_run_start(dispatch.is_repeat)
        started_s, attempt_id = admitted.started_s, dispatch.attempt_id
        self.open_runs.begin(
            OpenRun(
                attempt_id,
                dispatch.request_id,
                dispatch.weight,
                started_s,
                deadline_s,
                dispatch.is_repeat,
            )
        )
        try:
            return self._runner.run(dispatch, admitted, token, deadline_s, received_s)
        finally:
            self.open_runs.end(attempt_id, token.cancelled)
            self._grants.record_run_end(dispatch.is_repeat)
            if status.is_suspect:
                self._suspect_runs.end(server_id, content_hash)

    def repeat_fraction(self) -> float:
        """Return the fraction of this gate's running attempts that are repeats."""
        return self._grants.repeat_fraction()
