"""The gate: sole authority over the backend servers beside this node.

Refusing, dispatching and cancelling an attempt are steps under one lock, so
that an attempt is either refused or dispatched, never both, and a cancelled
one is never dispatched. An attempt passes, in this order: its id (once only),
its idempotency key (once over all gates, with its claim), its body's
checksum, a slot, and right before the request goes out its deadline again.
"""

import time
from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.admission import Admission, Admitted, Refused
from balsamspindle.backend_servers.attempts import BEGIN_REASONS, AttemptTable, Begin
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import (
    BackendServerClient,
)
from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.backend_servers.dispatches import (
    attempt_deadline_s,
    ingress_ends_s,
    is_keyed,
    unseen_outcome,
)
from balsamspindle.backend_servers.evidence import (
    HealthObserver,
    NoObserver,
)
from balsamspindle.backend_servers.failed_calls import FailedCalls
from balsamspindle.backend_servers.ledger import (
    Earlier,
    HeldKey,
    KeyRefused,
    RunLedger,
)
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.runner import Runner
from balsamspindle.backend_servers.servers import (
    LocalBackendServers,
)
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.backend_servers.suspect_runs import SuspectRuns
from balsamspindle.crashes.book import CrashBook
from balsamspindle.metrics import Hop
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    Question,
    Reply,
    Told,
    checksum,
)
from balsamspindle.wire.replies import is_refusal

__all__ = ["Gate"]

# How long a cancellation without a deadline holds.
CANCEL_MEMORY_S = 60.0


class Gate:
    """Runs attempts at the backend servers of this node.

    Parameters
    ----------
    admission : Admission, default=one with the services' default settings
    names : HeaderNames
        By which backend servers are told of a request and tell of it.
    on_misdirected : callable
        Told the id of a backend server whose address is another one's now.
    failed_calls : FailedCalls, default=none failed
        Of the backend servers beside this node.
    grants : RetryGrants, default=all are paid for by the nodes that send them
    crash_book : CrashBook, default=one of its own
        What is known of requests that crash backend servers.
    crash_watch : CrashWatch, default=one that tells that book alone
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
        crash_book: CrashBook | None = None,
        crash_watch: CrashWatch | None = None,
    ) -> None:
        self._crash_book = crash_book or CrashBook(lambda service: 1)
        self._suspect_runs = SuspectRuns()
        self._grants = grants or RetryGrants(lambda *_: RetryBudget())
        self._servers = servers
        self._events = events
        self._observer = observer or NoObserver()
        self._admission = admission or Admission(servers)
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
            crash_watch or CrashWatch(events, self._crash_book),
        )

    def leave(self) -> None:
        """Refuse all new attempts: this node is going."""
        self._admission.leave()

    def end_by(self, ends_s: float) -> None:
        """Start only what can end until then: this node is going."""
        self._admission.end_by(ends_s)

    def give_up(self) -> None:
        """End the waiting and running attempts with what is known of them."""
        with self._servers.changed:
            self._attempts.cancel_all(CancelCause.NODE_LEAVING)
            self._servers.changed.notify_all()

    def refuse_busy(self, dispatch: Dispatch, received_s: float) -> Reply | None:
        """Refuse an attempt that there is no worker for; see `handle`."""
        begin = self._begin(
            dispatch, CancelToken(), attempt_deadline_s(dispatch, received_s)
        )
        if begin is Begin.DUPLICATE:
            return None
        return self._refuse(dispatch, Reason.NO_FREE_SLOT, unseen_outcome(dispatch))

    def begin_claim_era(
        self, version_min: int, after_s: float, now_s: float
    ) -> list[HeldKey]:
        """Return the keys that the store may have lost; see `RunLedger.begin_era`."""
        return self._ledger.begin_era(version_min, after_s, now_s)

    def in_flight(self) -> int:
        """Return the attempts dispatched and not yet ended."""
        return self._admission.in_flight()

    def waiting(self) -> int:
        """Return the attempts that wait for a slot."""
        return self._admission.waiting()

    def cancel(
        self,
        attempt_id: AttemptId,
        gate_deadline_s: float | None = None,
        cause: CancelCause = CancelCause.INGRESS_GAVE_UP,
    ) -> None:
        """Take an attempt back, also one whose message has not come yet.

        Before its request goes out the attempt is refused; after that its
        backend server sees the connection end.
        """
        now_s = time.monotonic()
        with self._servers.changed:
            self._attempts.cancel(
                attempt_id, gate_deadline_s or now_s + CANCEL_MEMORY_S, now_s, cause
            )
            self._servers.changed.notify_all()

    def ingress_ends(self, attempt_id: AttemptId, ends_s: float) -> bool:
        """Take the word that the node which made an attempt ends then."""
        with self._servers.changed:
            is_known = self._attempts.end_by(attempt_id, ends_s)
            self._servers.changed.notify_all()
        return is_known

    def outlasting(self, now_s: float) -> list[AttemptId]:
        """Return the attempts that run and may not end before this node does."""
        return self._admission.outlasting(now_s)

    def handle(self, dispatch: Dispatch, received_s: float) -> Reply | None:
        """Run one attempt to its end.

        Parameters
        ----------
        received_s : float
            When the message came in, on the monotonic clock.

        Returns
        -------
        Reply or None
            None for a second message of an attempt: the first one's reply
            stands, and another could contradict it.
        """
        token = CancelToken()
        token.end_by(ingress_ends_s(dispatch, received_s))
        deadline_s = attempt_deadline_s(dispatch, received_s)
        begin = self._begin(dispatch, token, deadline_s)
        if begin is Begin.DUPLICATE:
            return None
        if begin is not Begin.NEW:
            return self._refuse(
                dispatch, BEGIN_REASONS[begin], unseen_outcome(dispatch)
            )
        if not is_keyed(dispatch):
            return self._handle_new(dispatch, token, deadline_s)
        return self._handle_keyed(dispatch, token, deadline_s)

    def would_take(self, question: Question, received_s: float) -> Told:
        """Tell whether an attempt would be taken now; nothing is kept for it."""
        held_out = self._observer.held_out(question.backend_server_id, received_s)
        told = Told(question.number, held_out=held_out, gate_time_s=received_s)
        standing = self._crash_book.standing(question.content, received_s)
        if standing.blocked_ms:
            return msgspec.structs.replace(
                told, reason=Reason.CRASHES_SERVERS, wait_ms=standing.blocked_ms
            )
        if not self._is_welcome(question):
            return msgspec.structs.replace(told, reason=Reason.SUSPECTED)
        deadline_s = received_s + question.remaining_ms / 1000
        match self._admission.preview(question, deadline_s):
            case Refused(reason, wait_ms):
                return msgspec.structs.replace(told, reason=reason, wait_ms=wait_ms)
        return told

    def _begin(self, dispatch, token, deadline_s) -> Begin:
        with self._servers.changed:
            begin = self._attempts.begin(
                dispatch.attempt_id, token, deadline_s, time.monotonic()
            )
        if begin is Begin.DUPLICATE:
            self._events.emit(
                "attempt_dropped", request=dispatch.request_id, cause="it came twice"
            )
        return begin

    def _handle_keyed(self, dispatch, token, deadline_s) -> Reply:
        """Run an attempt whose key must run once over all gates."""
        match self._ledger.begin(dispatch, time.monotonic()):
            case KeyRefused(outcome, reason):
                return self._refuse(dispatch, reason, outcome)
            case Earlier(reply):
                self._events.emit("answer_repeated", request=dispatch.request_id)
                return msgspec.structs.replace(reply, attempt_id=dispatch.attempt_id)
        # Should our own code fail, the key has to stay taken.
        reply = Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER)
        try:
            reply = self._handle_new(dispatch, token, deadline_s)
        finally:
            self._ledger.end(dispatch, reply, time.monotonic())
        return reply

    def _handle_new(self, dispatch, token, deadline_s) -> Reply:
        received_s = time.monotonic()
        if checksum(dispatch.body) != dispatch.body_checksum:
            return self._refuse(dispatch, Reason.DAMAGED)
        standing = self._crash_book.standing(dispatch.content, received_s)
        if standing.blocked_ms:
            return self._refuse_blocked(dispatch, standing.blocked_ms)
        if not self._is_welcome(dispatch):
            return self._refuse(dispatch, Reason.SUSPECTED)
        service, weight = dispatch.service, dispatch.weight
        # A request that seems to crash backend servers is lost with nothing but
        # its own fault: others' retries are not spent on it.
        if dispatch.is_repeat and not self._grants.take(
            service,
            weight,
            received_s,
            dispatch.is_last_resort or standing.is_suspect,
            dispatch.was_cut and not standing.is_suspect,
        ):
            return self._refuse(dispatch, Reason.RETRY_BUDGET)
        reply = self._handle_granted(dispatch, token, deadline_s, received_s)
        if not is_refusal(reply):
            if not dispatch.is_repeat:
                may_repeat = dispatch.execution is Execution.IDEMPOTENT
                self._grants.note_first(
                    service, weight, received_s, may_repeat, dispatch.repeated_part
                )
        elif dispatch.is_repeat:
            self._grants.give_back(service)
        return reply

    def _handle_granted(self, dispatch, token, deadline_s, received_s) -> Reply:
        with self._events.metrics.timed(Hop.QUEUE):
            decision = self._admission.admit(dispatch, token, deadline_s)
        match decision:
            case Refused(reason, retry_after_ms):
                reply = self._refuse(
                    dispatch, reason, wait_ms=retry_after_ms, cut_by=token.cause
                )
                return msgspec.structs.replace(reply, retry_after_ms=retry_after_ms)
            case Admitted() as admitted:
                # Those that waited for a slot while the backend server fell
                # sick would all be lost on it, one after the other.
                if not self._is_welcome(dispatch):
                    self._admission.release(admitted, WorkEnd.DONE)
                    return self._refuse(dispatch, Reason.SUSPECTED)
                return self._run_admitted(
                    dispatch, admitted, token, deadline_s, received_s
                )

    def _run_admitted(
        self, dispatch, admitted: Admitted, token, deadline_s, received_s
    ) -> Reply:
        """Run an attempt that has a slot, unless it is known to crash servers.

        Copies of a request wait for slots while another one crashes a backend
        server: what is known is looked at again when one has its slot.
        """
        standing = self._crash_book.standing(dispatch.content, time.monotonic())
        if standing.blocked_ms:
            self._admission.release(admitted, WorkEnd.DONE)
            return self._refuse_blocked(dispatch, standing.blocked_ms)
        server_id, content = dispatch.backend_server_id, dispatch.content
        if standing.is_suspect and not self._suspect_runs.begin(server_id, content):
            self._admission.release(admitted, WorkEnd.DONE)
            return self._refuse(dispatch, Reason.WOULD_WAIT)
        self._grants.started(dispatch.is_repeat)
        try:
            return self._runner.run(dispatch, admitted, token, deadline_s, received_s)
        finally:
            self._grants.ended(dispatch.is_repeat)
            if standing.is_suspect:
                self._suspect_runs.end(server_id, content)

    def _refuse_blocked(self, dispatch: Dispatch, blocked_ms: float) -> Reply:
        reply = self._refuse(dispatch, Reason.CRASHES_SERVERS, wait_ms=blocked_ms)
        return msgspec.structs.replace(reply, retry_after_ms=blocked_ms)

    def repeated_part(self) -> float:
        """Return the part of the runs beside this node that are repeats."""
        return self._grants.repeated_part()

    def _is_welcome(self, dispatch: Dispatch | Question) -> bool:
        """Tell whether a suspected backend server may get this attempt."""
        return dispatch.is_last_resort or self._observer.admits(
            dispatch.backend_server_id,
            dispatch.execution,
            dispatch.weight,
            time.monotonic(),
            dispatch.is_last_try,
        )

    def _refuse(
        self,
        dispatch: Dispatch,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
        wait_ms: float = 0.0,
        cut_by: CancelCause | None = None,
    ) -> Reply:
        held_out = self._observer.held_out(dispatch.backend_server_id, time.monotonic())
        hlc = self._events.emit(
            "attempt_refused",
            request=dispatch.request_id,
            backend_server=dispatch.backend_server_id,
            cause=reason,
            held_out_ms=round(held_out.held_out_ms) or None,
            wait_ms=round(wait_ms) or None,
            cut_by=cut_by if reason is Reason.CANCELLED else None,
        )
        return Reply(dispatch.attempt_id, outcome, reason, hlc=hlc, held_out=held_out)
