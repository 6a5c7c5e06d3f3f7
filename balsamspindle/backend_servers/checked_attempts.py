"""Checks an attempt whose id is new at this gate, gets it a slot and runs it."""

import time

import msgspec

from balsamspindle.backend_servers.admission import Admission, Admitted, Refused
from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.evidence import HealthObserver
from balsamspindle.backend_servers.gate_previews import health_admits
from balsamspindle.backend_servers.open_runs import OpenRun, OpenRuns
from balsamspindle.backend_servers.refused_attempts import Refusals
from balsamspindle.backend_servers.reserved_attempts import HeldSlot
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.runner import Runner
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.backend_servers.suspect_runs import SuspectRuns
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.metrics import Hop
from balsamspindle.protocol.outcomes import Execution, Reason
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Dispatch, Reply, checksum
from balsamspindle.wire.replies import is_refusal

__all__ = ["CheckedAttempts"]


class CheckedAttempts:
    """Makes checks 3 to 7 of `Gate`; the parameters are those of `Gate`."""

    def __init__(
        self,
        events: EventLog,
        observer: HealthObserver,
        admission: Admission,
        refusals: Refusals,
        grants: RetryGrants,
        crash_history: CrashHistory,
        answer_terms: AnswerTerms,
        runner: Runner,
        open_runs: OpenRuns,
    ) -> None:
        self._open_runs = open_runs
        self._events = events
        self._observer = observer
        self._admission = admission
        self._refusals = refusals
        self._grants = grants
        self._crash_history = crash_history
        self._suspect_runs = SuspectRuns()
        self._answer_terms = answer_terms
        self._runner = runner

    def handle(
        self,
        dispatch: Dispatch,
        token: CancelToken,
        deadline_s: float,
        held: HeldSlot | None = None,
    ) -> Reply:
        """Refuse an attempt, or run it and wait for its end; return the reply.

        Parameters
        ----------
        held : HeldSlot or None
            The slot that is held for the attempt; None if it has to get one.
        """
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
        reply = self._handle_granted(dispatch, token, deadline_s, received_s, held)
        if not is_refusal(reply):
            if not dispatch.is_repeat:
                may_repeat = dispatch.execution is Execution.IDEMPOTENT
                self._grants.record_first_attempt(
                    service, weight, received_s, may_repeat, dispatch.repeat_fraction
                )
        elif dispatch.is_repeat:
            self._grants.return_grant(service)
        return reply

    def _handle_granted(self, dispatch, token, deadline_s, received_s, held) -> Reply:
        if held is None:
            with self._events.metrics.timed(Hop.QUEUE):
                decision = self._admission.admit(dispatch, token, deadline_s)
        elif received_s >= deadline_s:
            decision = Refused(Reason.DEADLINE)
        else:
            decision = held.use()
        match decision:
            case Refused(reason, retry_after_ms):
                self._admission.loads.record_refusal(
                    dispatch.backend_server_id, reason, time.monotonic()
                )
                reply = self._refusals.refuse(
                    dispatch, reason, wait_ms=retry_after_ms, cut_by=token.cause
                )
                return msgspec.structs.replace(reply, retry_after_ms=retry_after_ms)
            case Admitted() as admitted:
                self._admission.loads.record_start(
                    dispatch.backend_server_id, dispatch.weight, time.monotonic()
                )
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
        self._open_runs.begin(
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
            self._open_runs.end(attempt_id)
            self._grants.record_run_end(dispatch.is_repeat)
            if status.is_suspect:
                self._suspect_runs.end(server_id, content_hash)
