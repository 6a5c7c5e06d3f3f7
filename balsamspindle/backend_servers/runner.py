"""Runs an attempt at a backend server and reports how the call ended.

The end of a call is reported to the crash watch, then to the health observer, and then
to the admission, which frees the slot.
"""

import time
from collections.abc import Callable

from balsamspindle.backend_servers.admission import Admission, Admitted
from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import (
    BackendAnswer,
    BackendFailure,
    BackendServerClient,
)
from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.backend_servers.dispatches import backend_server_headers
from balsamspindle.backend_servers.evidence import HealthObserver, WorkResult
from balsamspindle.backend_servers.failed_calls import FailedCalls
from balsamspindle.backend_servers.refusals import classify_result, is_misdirected
from balsamspindle.backend_servers.resends import Resends
from balsamspindle.backend_servers.servers import (
    LocalBackendServer,
    LocalBackendServers,
)
from balsamspindle.backend_servers.work_ends import (
    call_outcome,
    run_end,
    with_answer,
    work_end,
    work_result,
)
from balsamspindle.metrics import Hop
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import CancelCause, Reason
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Dispatch, Reply

__all__ = ["Runner"]


class Runner:
    """Runs attempts that have a slot; the parameters are those of `Gate`."""

    def __init__(
        self,
        servers: LocalBackendServers,
        client: BackendServerClient,
        events: EventLog,
        observer: HealthObserver,
        admission: Admission,
        names: HeaderNames,
        on_misdirected: Callable[[str], None],
        failed_calls: FailedCalls,
        crash_watch: CrashWatch,
        answer_terms: AnswerTerms,
        resends: Resends,
    ) -> None:
        self._servers = servers
        self._client = client
        self._events = events
        self._observer = observer
        self._admission = admission
        self._names = names
        self._on_misdirected = on_misdirected
        self._failed_calls = failed_calls
        self._crash_watch = crash_watch
        self._answer_terms = answer_terms
        self._resends = resends

    def run(
        self,
        dispatch: Dispatch,
        admitted: Admitted,
        token: CancelToken,
        deadline_s: float,
        received_s: float,
    ) -> Reply:
        """Call the backend server, free the slot, and return the reply."""
        server = admitted.server
        self._events.emit(
            "attempt_dispatched",
            request=dispatch.request_id,
            backend_server=server.backend_server_id,
            queued_ms=round((admitted.started_s - received_s) * 1000),
            left_ms=round((deadline_s - time.monotonic()) * 1000),
        )
        server_id, attempt_id = server.backend_server_id, dispatch.attempt_id
        self._observer.record_peer_evidence(server_id, dispatch.peers, time.monotonic())
        self._observer.record_start(server_id, attempt_id, time.monotonic())
        self._crash_watch.record_start(
            server, attempt_id, dispatch.content_hash, time.monotonic()
        )
        result, was_sent = None, True
        earlier_counts: list[int] = []
        sent_s = time.monotonic()
        try:
            with self._events.metrics.timed(Hop.BACKEND_SERVER):
                result = self._client.call(
                    server.announcement.address,
                    dispatch.method,
                    dispatch.target,
                    backend_server_headers(dispatch, self._names),
                    dispatch.body,
                    dispatch.execution,
                    (deadline_s - time.monotonic()) * 1000,
                    token,
                    dispatch.request_id,
                    lambda cause: self._resends.try_permit(
                        dispatch, server, cause, deadline_s, time.monotonic()
                    ),
                    accepts_work=lambda: self._servers.accepts_work(server),
                    on_sent=earlier_counts.append,
                )
                was_sent = isinstance(result, BackendAnswer) or result.sent
                headers, result = result.headers, self._classify(server, result)
                self._answer_terms.record(server, headers, result, sent_s)
        finally:
            has_crashed = self._crash_watch.record_end(
                server, attempt_id, run_end(result), time.monotonic()
            )
            # Update the health before the slot is freed. Otherwise the next attempt in
            # the queue could start at a backend server that just proved unhealthy.
            judgement = self._observer.record_end(
                server_id, attempt_id, self._evidence(result), time.monotonic()
            )
            free_slots = self._admission.release(admitted, work_end(result), was_sent)
        if has_crashed:
            result = result._replace(reason=Reason.SERVER_CRASHED)
        ran_s = time.monotonic() - admitted.started_s
        cut_by = token.cause if isinstance(result, BackendAnswer) else result.cut_by
        return self._reply(
            dispatch, result, free_slots, judgement, ran_s, cut_by, earlier_counts
        )

    def _evidence(self, result: BackendAnswer | BackendFailure | None) -> WorkResult:
        """Return a call's result as evidence of the backend server's health.

        An error is no evidence if it may result from the failure of a call that the
        backend server itself made.
        """
        evidence = work_result(result)
        is_explained = self._failed_calls.explains_error(time.monotonic())
        if evidence is WorkResult.ERROR and is_explained:
            return WorkResult.CANCELLED
        return evidence

    def _lost_call(self, result: BackendAnswer | BackendFailure) -> str | None:
        """Return the call that an error probably results from; None for other ends."""
        if work_result(result) is not WorkResult.ERROR:
            return None
        return self._failed_calls.lost_call(time.monotonic()) or None

    def _classify(
        self, server: LocalBackendServer, result: BackendAnswer | BackendFailure
    ) -> BackendAnswer | BackendFailure:
        """Return a call's result as `classify_result` does.

        If the answer shows that a different backend server has the address now, this
        method also calls `on_misdirected` with the id of the intended backend server.
        """
        if isinstance(result, BackendAnswer) and is_misdirected(result, self._names):
            self._on_misdirected(server.backend_server_id)
        return classify_result(result, server.has_restarted, self._names)

    def _reply(
        self,
        dispatch,
        result,
        free_slots,
        judgement,
        ran_s: float,
        cut_by: CancelCause | None,
        earlier_counts: list[int],
    ) -> Reply:
        outcome, reason = call_outcome(result)
        server_id = dispatch.backend_server_id
        answer = result if isinstance(result, BackendAnswer) else None
        if cut_by is not None and answer is None:
            self._events.metrics.count_cut(cut_by)
        held_out = self._observer.held_out(server_id, time.monotonic())
        hlc = self._events.emit(
            "attempt_ended",
            request=dispatch.request_id,
            backend_server=server_id,
            outcome=outcome,
            status=answer and answer.status,
            cause=reason,
            cut_by=cut_by,
            ran_ms=round(ran_s * 1000),
            earlier_requests=(earlier_counts[-1] if earlier_counts else None) or None,
            held_out_ms=round(held_out.held_out_ms) or None,
            lost_call=self._lost_call(result),
        )
        reply = Reply(
            dispatch.attempt_id,
            outcome,
            reason,
            free_slots=free_slots,
            hlc=hlc,
            bad=judgement.bad,
            p99_ms=judgement.p99_ms,
            held_out=held_out,
            terms=self._admission.terms.shared(server_id),
            load=self._admission.loads.load(
                dispatch.service, server_id, time.monotonic()
            ),
        )
        return reply if answer is None else with_answer(reply, answer)
