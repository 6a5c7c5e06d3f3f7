"""Further sends of a request to its backend server, which the gate alone decides."""

import time

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.curl_calls import STALE_END_MAX_S
from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.idle_limits import LIMITED_S, IdleLimits
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.settings.documents import RetryBudget
from tests.gate_case import GateCase
from tests.raw_server import answer_with_length

WHOLE = answer_with_length(b"whole")
TIMEOUT_MS = 5000.0


class ResendTests(GateCase):
    def setUp(self):
        super().setUp()
        self.admission = Admission(self.servers)
        self._start_gate(_grants(1.0))

    def _start_gate(self, grants):
        self.gate = Gate(
            self.servers,
            BackendServerClient(1000),
            self.log,
            self.observer,
            self.admission,
            grants=grants,
        )

    def _read(self, sequence, **changes):
        return self._handle(
            self._dispatch(
                sequence,
                execution=Execution.IDEMPOTENT,
                remaining_ms=TIMEOUT_MS,
                **changes,
            )
        )

    def _keep_connection(self):
        """Let the gate keep a connection; a later request on it gets no answer."""
        self.assertEqual(Outcome.ANSWERED, self._read(1).outcome)

    def _lose_answers(self, count, after_s=0.0, action=lambda: None):
        """Let the next requests run for a time and end without an answer."""
        last = len(self.server.requests) + count

        def answer(number):
            if number > last:
                return WHOLE, True
            time.sleep(after_s)
            action()
            return b"", False

        self.server.answer = answer

    def _arrivals(self, reply, outcome):
        self.assertEqual(outcome, reply.outcome)
        return len(self.server.requests) - 1

    def test_a_request_whose_answer_was_lost_is_not_sent_again(self):
        # Guards against a second send that libcurl makes by itself, with the time that
        # was left before the first one, and past the retry budget.
        self._keep_connection()
        self._lose_answers(1, STALE_END_MAX_S * 2)
        reply = self._read(2)
        self.assertEqual(1, self._arrivals(reply, Outcome.UNKNOWN))
        self.assertEqual(Reason.BROKEN_ANSWER, reply.reason)
        self.assertEqual(WorkResult.BROKEN, self.observer.results[-1])

    def test_a_request_on_a_stale_connection_is_sent_again_with_the_time_left(self):
        # Guards against a second send that hands over more time than is left.
        self._keep_connection()
        self._lose_answers(1, STALE_END_MAX_S / 2)
        self.assertEqual(2, self._arrivals(self._read(2), Outcome.ANSWERED))
        first_ms, second_ms = map(_timeout_ms, self.server.requests[1:])
        self.assertLessEqual(second_ms, first_ms - STALE_END_MAX_S / 2 * 1000)
        [event] = self._logged("attempt_resent")
        self.assertEqual("stale_connection", event["cause"])

    def test_a_draining_backend_server_gets_no_second_send(self):
        # Guards against a request that reaches a backend server long after its leaving
        # was confirmed.
        self._keep_connection()
        self._lose_answers(1, action=lambda: self.servers.drain("server"))
        self.assertEqual(1, self._arrivals(self._read(2), Outcome.UNKNOWN))
        [event] = self._logged("attempt_not_resent")
        self.assertEqual("draining", event["refusal"])

    def test_a_restarted_backend_server_gets_no_second_send(self):
        self._keep_connection()
        self._lose_answers(1, action=lambda: self._announce("2"))
        self.assertEqual(1, self._arrivals(self._read(2), Outcome.UNKNOWN))

    def test_second_sends_spend_the_retry_budget(self):
        # Guards against sends beside the granted repeats, which no gate counts.
        grants, arrivals = _grants(0.2), []
        for number in range(4):
            self._start_gate(grants)
            self.server.answer = lambda number: (WHOLE, True)
            self._read(2 * number + 1)
            before = len(self.server.requests)
            self._lose_answers(1)
            self._read(2 * number + 2)
            arrivals.append(len(self.server.requests) - before)
        self.assertEqual([2, 2, 1, 1], arrivals)
        refusals = [event["refusal"] for event in self._logged("attempt_not_resent")]
        self.assertEqual(["retry_budget"] * 2, refusals)

    def test_a_second_send_spends_the_backend_servers_limit(self):
        # Guards against a limit that second sends exceed.
        head = f"{DEFAULT_HEADER_NAMES.server_limit}: 1\r\n".encode()
        self.server.answer = lambda number: (answer_with_length(b"", head), True)
        self._keep_connection()
        self._lose_answers(1)
        # The limit allows the first send after a second.
        time.sleep(1.1)
        reply = self._read(2)
        self.assertEqual(1, self._arrivals(reply, Outcome.UNKNOWN))
        [event] = self._logged("attempt_not_resent")
        self.assertEqual("limit", event["refusal"])

    def test_a_cancelled_attempt_is_not_sent_again(self):
        self._keep_connection()
        cancel = self.gate.cancel_all
        self._lose_answers(1, action=cancel)
        reply = self._read(2)
        self.assertEqual(1, self._arrivals(reply, Outcome.UNKNOWN))
        self.assertEqual(Reason.CANCELLED, reply.reason)

    def test_a_stale_connection_counts_neither_against_health_nor_as_an_answer(self):
        # Guards against an ejection because of connections that were closed while idle.
        self._keep_connection()
        self._lose_answers(2)
        reply = self._read(2)
        self.assertEqual(2, self._arrivals(reply, Outcome.UNKNOWN))
        self.assertEqual(WorkResult.BROKEN, self.observer.results[-1])
        self.servers.drain("server")
        self.servers.undrain("server")
        self.server.answer = lambda number: (WHOLE, True)
        self._read(3)
        self._lose_answers(1, action=lambda: self.servers.drain("server"))
        self._read(4)
        self.assertEqual(WorkResult.CANCELLED, self.observer.results[-1])

    def test_a_second_send_that_is_refused_a_connection_may_have_run(self):
        self._keep_connection()
        # Guards against an outcome of not_run for it, and against a crash right after a
        # request's start that counts as a connection that was closed while idle.
        self._lose_answers(1, action=self.server.close)
        reply = self._read(2)
        self.assertEqual(1, self._arrivals(reply, Outcome.UNKNOWN))
        self.assertEqual(WorkResult.BROKEN, self.observer.results[-1])

    def test_connections_that_were_closed_while_idle_lose_no_answer(self):
        # Guards against lost answers and spent retries where a backend server closes
        # its idle connections, with an orderly end and with a reset.
        self.server.answer = lambda number: (WHOLE, False)
        for sequence in range(50):
            self.assertEqual(Outcome.ANSWERED, self._read(sequence).outcome)
            # Long enough for the end of the connection to arrive.
            time.sleep(0.02)
        self.assertEqual(50, len(self.server.requests))
        self.assertEqual([], self._logged("attempt_resent"))
        self.assertEqual({WorkResult.ANSWERED}, set(self.observer.results))


class IdleLimitTests(GateCase):
    def test_connections_are_kept_for_less_time_after_one_was_closed(self):
        limits = IdleLimits()
        self.assertEqual(float("inf"), limits.idle_max_s("a", 0.0))
        limits.record_stale("a", 0.5, 0.0)
        self.assertEqual(float("inf"), limits.idle_max_s("a", 0.0))
        limits.record_stale("a", 4.0, 0.0)
        limits.record_stale("a", 8.0, 1.0)
        self.assertEqual(2.0, limits.idle_max_s("a", 1.0))
        self.assertEqual(float("inf"), limits.idle_max_s("b", 1.0))
        self.assertEqual(float("inf"), limits.idle_max_s("a", 1.0 + LIMITED_S))


def _grants(per_s: float) -> RetryGrants:
    budget = RetryBudget(fraction=0.0, fleet_per_s_min=per_s)
    return RetryGrants(lambda *_: budget)


def _timeout_ms(request: bytes) -> int:
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-timeout-ms":
            return int(value)
    raise AssertionError(request)
