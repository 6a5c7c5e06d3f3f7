"""Backend servers that fall sick independently, a third of them at any time."""

import time

import msgspec
from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.evidence import Judgement, WorkResult
from balsamspindle.backend_servers.failed_calls import ERROR_DELAY_MAX_S, FailedCalls
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.health import (
    LIGHTEST_WAIT_S,
    TRIAL_WAIT_S,
    ServerHealth,
)
from balsamspindle.backend_servers.health_readmission import HealthPhase
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.settings.documents import Detection
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NOT_HELD_OUT, AttemptId, Dispatch, HoldOut, checksum
from tests.raw_server import RawServer, answer_with_length

DETECTION = Detection(
    independent_errors=True,
    hold_out_s=0.5,
    hold_out_max_s=2.0,
    trial_successes=1,
    calm_s=1.0,
    slow_ms_min=2000.0,
)
LIGHT, HEAVY = 0.3, 0.5
ERROR_500 = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class _TimedServer:
    """A backend server's health, in simulated time."""

    def __init__(self, detection: Detection = DETECTION) -> None:
        self.now_s = 100.0
        self.health = ServerHealth(detection, self.now_s)
        self._attempts = 0

    def admits(self, execution=Execution.IDEMPOTENT, weight=LIGHT, last=False) -> bool:
        return self.health.admits(execution, weight, self.now_s, last)

    def start(self) -> AttemptId:
        self._attempts += 1
        attempt_id = AttemptId("node", 1, self._attempts)
        self.health.record_start(attempt_id, self.now_s)
        return attempt_id

    def end(self, attempt_id: AttemptId, result: WorkResult) -> None:
        self.health.record_end(attempt_id, result, self.now_s)

    def run(self, result: WorkResult) -> None:
        attempt_id = self.start()
        self.now_s += 0.001
        self.end(attempt_id, result)


class OneErrorTests(TestCase):
    def test_after_an_error_only_idempotent_requests_run_until_a_trial_succeeds(
        self,
    ):
        # A sick backend server answers errors within a millisecond, so it looks idle
        # and would attract all requests. A non-idempotent request that gets an error is
        # lost. After the first error, the backend server therefore gets no
        # non-idempotent request until an idempotent request has succeeded there.
        server = _TimedServer()
        server.run(WorkResult.ANSWERED)
        server.run(WorkResult.ERROR)
        for execution in Execution:
            self.assertFalse(server.admits(execution))
        server.now_s += DETECTION.hold_out_s + 0.01
        self.assertFalse(server.admits(Execution.NON_IDEMPOTENT))
        self.assertTrue(server.admits(Execution.IDEMPOTENT))
        server.run(WorkResult.ANSWERED)
        self.assertTrue(server.admits(Execution.NON_IDEMPOTENT))

    def test_a_request_that_cannot_be_retried_is_not_used_for_a_trial(self):
        # Guards against a request that fails in a trial on its last attempt while other
        # backend servers are free. A trial accepts a request on its last attempt only
        # after `TRIAL_WAIT_S`, in which no other request was available.
        server = _TimedServer()
        server.run(WorkResult.ERROR)
        server.now_s += DETECTION.hold_out_s + 0.01
        self.assertFalse(server.admits(last=True))
        self.assertTrue(server.admits())
        server.now_s += TRIAL_WAIT_S
        self.assertTrue(server.admits(last=True))

    def test_a_trial_succeeds_once_it_has_run_longer_than_errors_take(self):
        # All errors come within a millisecond. An attempt that has run for 20 ms is
        # therefore not one of these errors, and the trial succeeds. Guards against
        # leaving the other slots empty until the attempt ends after 300 ms.
        server = _TimedServer()
        server.run(WorkResult.ERROR)
        server.now_s += DETECTION.hold_out_s + 0.01
        self.assertTrue(server.admits())
        trial = server.start()
        server.now_s += 0.01
        self.assertFalse(server.admits())
        server.now_s += 0.02
        self.assertTrue(server.admits(Execution.NON_IDEMPOTENT))
        # If the trial's attempt fails in the end, this single error ejects the backend
        # server again.
        server.end(trial, WorkResult.ERROR)
        self.assertFalse(server.admits())

    def test_a_trial_succeeds_only_at_its_end_if_errors_take_as_long_as_work(self):
        # Errors come at the end of the work, so a trial that is still running is no
        # evidence that the backend server has recovered.
        server = _TimedServer()
        failing = server.start()
        server.now_s += 0.3
        server.end(failing, WorkResult.ERROR)
        server.now_s += DETECTION.hold_out_s + 0.01
        self.assertTrue(server.admits())
        server.start()
        server.now_s += 0.35
        self.assertFalse(server.admits())

    def test_the_evidence_is_reported_with_the_hold_out(self):
        # If all backend servers are held out, an ingress prefers one with a single
        # error to one that keeps failing. It needs the number of errors in a row for
        # this.
        server = _TimedServer()
        server.run(WorkResult.ANSWERED)
        for bad_in_a_row in (1, 2, 3):
            server.run(WorkResult.ERROR)
            held_out = server.health.held_out(server.now_s)
            self.assertGreater(held_out.held_out_ms, 0)
            self.assertEqual(bad_in_a_row, held_out.bad_in_a_row)
        server.now_s += DETECTION.hold_out_max_s
        self.assertTrue(server.admits())
        server.run(WorkResult.ANSWERED)
        self.assertEqual(HoldOut(), server.health.held_out(server.now_s))

    def test_a_failed_trial_doubles_the_hold_out_and_good_service_reduces_it(self):
        server = _TimedServer()
        server.run(WorkResult.ERROR)
        for hold_out_s in (0.5, 1.0, 2.0, 2.0):
            server.now_s += hold_out_s - 0.1
            self.assertFalse(server.admits())
            server.now_s += 0.2
            self.assertTrue(server.admits())
            server.run(WorkResult.ERROR)
        server.now_s += 2.1
        self.assertTrue(server.admits())
        server.run(WorkResult.ANSWERED)
        server.now_s += 5.0
        server.run(WorkResult.ERROR)
        server.now_s += 0.6
        self.assertTrue(server.admits())

    def test_the_first_error_after_good_service_gives_a_short_hold_out(self):
        # A healthy backend server with fifteen requests a second has an error every few
        # seconds. If each error caused a hold-out of half a second, the server would be
        # held out for a tenth of the time. While four other servers are sick, there
        # would be moments in which the healthy one is held out, too, and all requests
        # would be sent to sick ones.
        server = _TimedServer(
            msgspec.structs.replace(DETECTION, hold_out_s=0.05, hold_out_growth=8.0)
        )
        for hold_out_s in (0.05, 0.4, 2.0):
            server.run(WorkResult.ERROR)
            server.now_s += hold_out_s - 0.01
            self.assertFalse(server.admits())
            server.now_s += 0.02
            self.assertTrue(server.admits())
        server.run(WorkResult.ANSWERED)
        self.assertTrue(server.admits(Execution.NON_IDEMPOTENT))

    def test_trials_run_one_at_a_time_and_do_not_wait_for_older_attempts(self):
        # Attempts from before the ejection may last for seconds. Waiting for their
        # end would keep a recovered backend server out for as long.
        server = _TimedServer()
        server.start()
        server.run(WorkResult.ERROR)
        server.now_s += 0.6
        self.assertTrue(server.admits())
        server.start()
        self.assertFalse(server.admits())

    def test_the_lightest_idempotent_work_is_used_for_trials_first(self):
        # Guards against a failed trial that makes a non-idempotent request fail. A
        # heavier idempotent request may be a call that a non-idempotent request made
        # and waits for. If the call is lost in a trial, the non-idempotent request
        # fails, too, and it can't be retried.
        server = _TimedServer()
        server.admits(weight=LIGHT)
        server.run(WorkResult.ERROR)
        server.now_s += 0.6
        self.assertFalse(server.admits(weight=HEAVY))
        self.assertTrue(server.admits(weight=LIGHT))
        server.now_s += LIGHTEST_WAIT_S
        self.assertTrue(server.admits(weight=HEAVY))

    def test_a_single_slow_answer_does_not_eject(self):
        server = _TimedServer()
        attempt_id = server.start()
        server.now_s += 3.0
        server.end(attempt_id, WorkResult.ANSWERED)
        self.assertIs(HealthPhase.SERVING, server.health.phase)


class GateTests(TestCase):
    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.failed_calls = FailedCalls()
        self.observer = _Observer()
        self.events = EventLog("gate", 1, HybridClock())
        self.gate = Gate(
            self.servers,
            BackendServerClient(1000),
            self.events,
            self.observer,
            failed_calls=self.failed_calls,
        )
        self.sequence = 0

    def announce(self, answer):
        server = RawServer(lambda number: (answer, True))
        self.addCleanup(server.close)
        self.servers.announce("s", Announcement("t/a", server.address, 6, "1"), 0.0)
        return server

    def handle(self, now_s, **changes):
        self.sequence += 1
        dispatch = Dispatch(
            AttemptId("ingress", 1, self.sequence),
            "r",
            "t/a",
            "s",
            Execution.NON_IDEMPOTENT,
            5000.0,
            1.0,
            "POST",
            "/",
            [],
            b"",
            checksum(b""),
            **changes,
        )
        return self.gate.handle(dispatch, now_s)

    def test_a_suspected_backend_server_gets_only_last_resort_attempts(self):
        server = self.announce(answer_with_length(b"whole"))
        self.observer.is_admitting = False
        refused = self.handle(time.monotonic())
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.SUSPECTED), (refused.outcome, refused.reason)
        )
        self.assertEqual([], server.requests)
        reply = self.handle(time.monotonic(), is_last_resort=True)
        self.assertIs(Outcome.ANSWERED, reply.outcome)

    def test_an_error_is_scored_before_its_slot_is_freed(self):
        # All slots are taken and requests wait. The first error frees a slot. If the
        # slot were freed before the error is scored, the next request in the queue
        # would start and fail as well, and then the one after it.
        self.announce(ERROR_500)
        order = []
        release = self.gate._admission.release

        def recorded(*arguments):
            order.append("free")
            return release(*arguments)

        self.gate._admission.release = recorded
        self.observer.results = _RecordingResults(order)
        self.handle(time.monotonic())
        self.assertEqual(["judged", "free"], order)

    def test_an_error_after_a_failed_call_is_no_evidence_against_the_calling_server(
        self,
    ):
        # A signing service calls the records service. The call fails, so the signing
        # service answers its own request with a 500 at once. If this 500 counted as an
        # error, one sick service would get healthy backend servers of other services
        # ejected.
        self.announce(ERROR_500)
        self.handle(time.monotonic())
        self.failed_calls.record(time.monotonic())
        self.handle(time.monotonic())
        expected = [WorkResult.ERROR, WorkResult.CANCELLED]
        self.assertEqual(expected, self.observer.results)

    def test_the_end_of_a_run_names_the_call_that_it_was_lost_to(self):
        self.announce(ERROR_500)
        # In the future, so that a pause of this process does not make the call too old.
        self.failed_calls.record(time.monotonic() + 60.0, "call")
        # The failure of a caller's request, which is no call, is not named.
        self.failed_calls.record(time.monotonic())
        self.handle(time.monotonic())
        self.assertIn("lost_call=call", self.events.recent(0, 100).lines[-1])

    def test_an_old_failed_call_loses_no_run(self):
        self.failed_calls.record(10.0, "call")
        self.assertEqual("call", self.failed_calls.lost_call(10.0))
        late_s = 10.1 + ERROR_DELAY_MAX_S
        self.assertEqual("", self.failed_calls.lost_call(late_s))

    def test_an_old_failed_call_explains_no_error(self):
        self.failed_calls.record(10.0)
        self.assertTrue(self.failed_calls.explains_error(10.0 + ERROR_DELAY_MAX_S / 2))
        self.assertFalse(self.failed_calls.explains_error(10.1 + ERROR_DELAY_MAX_S))


class _RecordingResults(list):
    """A list of results that adds "judged" to `order` for each result."""

    def __init__(self, order) -> None:
        super().__init__()
        self._order = order

    def append(self, result):
        self._order.append("judged")
        super().append(result)


class _Observer:
    """A `HealthObserver` that records results, and admits all attempts or none."""

    def __init__(self) -> None:
        self.is_admitting = True
        self.results: list[WorkResult] = []

    def record_start(self, backend_server_id, attempt_id, now_s):
        pass

    def record_peer_evidence(self, backend_server_id, evidence, now_s):
        pass

    def record_end(self, backend_server_id, attempt_id, result, now_s):
        self.results.append(result)
        return Judgement()

    def admits(self, backend_server_id, execution, weight, now_s, is_last_try=False):
        return self.is_admitting

    def held_out(self, backend_server_id, now_s):
        return NOT_HELD_OUT
