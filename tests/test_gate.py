"""The gate: refused, dispatched or cancelled, and one of them only."""

import io
import time
from concurrent.futures import ThreadPoolExecutor

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.backend_servers import ledger
from balsamspindle.backend_servers.attempts import MEMORY_S, AttemptTable, Begin
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.evidence import Judgement, NoObserver, WorkResult
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.requests.outcomes import Execution, Outcome, Reason
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, Claim, Dispatch, checksum
from tests.raw_server import RawServer, length_answer
from tests.utils import wait_until

SERVICE = "crew/contracts"
BODY = b"signature"
NODE, INCARNATION = "gate", 7


class Observer(NoObserver):
    """Keeps the evidence that the gate reports."""

    def __init__(self):
        self.started_ids, self.results = [], []

    def started(self, backend_server_id, attempt_id, now_s):
        self.started_ids.append(attempt_id)

    def ended(self, backend_server_id, attempt_id, result, now_s):
        self.results.append(result)
        return Judgement()


class GateTests(TestCase):
    def setUp(self):
        super().setUp()
        self.server = RawServer(lambda number: (length_answer(b"%d" % number), True))
        self.addCleanup(self.server.close)
        servers = LocalBackendServers()
        servers.announce(
            "server", Announcement(SERVICE, self.server.address, 1, "1"), 0.0
        )
        self.observer = Observer()
        self.gate = Gate(
            servers,
            BackendServerClient(1000),
            EventLog(NODE, INCARNATION, HybridClock(), io.StringIO()),
            self.observer,
        )

    def _dispatch(self, sequence=1, **changes):
        fields = {
            "attempt_id": AttemptId("ingress", 1, sequence),
            "request_id": "id",
            "service": SERVICE,
            "backend_server_id": "server",
            "execution": Execution.NON_IDEMPOTENT,
            "remaining_ms": 5000.0,
            "weight": 1.0,
            "method": "POST",
            "target": "/sign",
            "headers": [],
            "body": BODY,
            "body_checksum": checksum(BODY),
            **changes,
        }
        return Dispatch(**fields)

    def _keyed(self, sequence, key="key", version=1, age_s=0.0, **changes):
        claim = Claim(NODE, INCARNATION, version, time.monotonic() - age_s)
        fields = {"idempotency_key": key, "claim": claim, **changes}
        return self._dispatch(sequence, **fields)

    def _handle(self, dispatch):
        return self.gate.handle(dispatch, time.monotonic())

    def _ended(self, dispatch):
        reply = self._handle(dispatch)
        return reply.outcome, reply.reason

    def _hang(self):
        self.server.answer = lambda number: (None, False)

    def _seen(self, number):
        wait_until(lambda: len(self.server.requests) >= number, "it is sent")

    def test_a_second_message_of_an_attempt_has_no_effect_and_no_reply(self):
        self.assertEqual(Outcome.ANSWERED, self._handle(self._dispatch()).outcome)
        self.assertIsNone(self._handle(self._dispatch()))
        self.assertEqual(1, len(self.server.requests))

    def test_a_repeat_that_is_refused_after_all_leaves_the_next_one_its_grant(self):
        # One repeat is left to grant. The gate grants it and refuses it for
        # another cause, so that it is still there for the next.
        budget = RetryBudget(fraction=0.0, fleet_per_s_min=0.1)
        self.gate._grants = RetryGrants(lambda *_: budget)
        away = self._dispatch(1, is_repeat=True, backend_server_id="elsewhere")
        self.assertEqual((Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER), self._ended(away))
        granted = self._handle(self._dispatch(2, is_repeat=True))
        self.assertEqual(Outcome.ANSWERED, granted.outcome)
        denied = self._dispatch(3, is_repeat=True)
        self.assertEqual((Outcome.NOT_RUN, Reason.RETRY_BUDGET), self._ended(denied))
        self.assertEqual(Outcome.ANSWERED, self._handle(self._dispatch(4)).outcome)
        self.assertEqual(2, len(self.server.requests))

    def test_a_refused_attempt_never_runs_later(self):
        # The gate said 'not run'; the same message comes again, when there
        # would be a slot. Running it would make that answer a lie.
        draining = self._dispatch(backend_server_id="elsewhere")
        self.assertEqual(Outcome.NOT_RUN, self._handle(draining).outcome)
        self.assertIsNone(self._handle(self._dispatch()))
        busy = self.gate.refuse_busy(self._dispatch(2), time.monotonic())
        self.assertEqual(Outcome.NOT_RUN, busy.outcome)
        self.assertIsNone(self._handle(self._dispatch(2)))
        self.assertEqual([], self.server.requests)

    def test_a_cancellation_that_overtakes_its_attempt_holds(self):
        self.gate.cancel(self._dispatch().attempt_id)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CANCELLED), self._ended(self._dispatch())
        )
        self.assertEqual([], self.server.requests)

    def test_a_cancellation_ends_waiting_and_running_attempts(self):
        # The first attempt hangs in the only slot, the second one waits. Both
        # are given up: the second never ran, of the first nobody knows, and
        # its backend server sees the connection end.
        self._hang()
        with ThreadPoolExecutor(2) as executor:
            running = executor.submit(
                self._handle, self._dispatch(1, remaining_ms=60_000.0)
            )
            self._seen(1)
            waiting = executor.submit(self._handle, self._dispatch(2))
            self.gate.cancel(AttemptId("ingress", 1, 2))
            self.assertEqual(Outcome.NOT_RUN, waiting.result().outcome)
            self.gate.cancel(AttemptId("ingress", 1, 1))
            wait_until(lambda: self.server.closed_s, "the connection ends")
            self.assertEqual(Outcome.UNKNOWN, running.result().outcome)
        self.assertEqual([WorkResult.CANCELLED], self.observer.results)

    def test_a_message_that_waited_while_the_gate_was_stopped_is_too_late(self):
        # Its duration starts when it is read and looks fresh; its end on the
        # gate's clock has passed, and the caller was told so.
        late = self._dispatch(gate_deadline_s=time.monotonic() - 0.01)
        self.assertEqual((Outcome.NOT_RUN, Reason.DEADLINE), self._ended(late))
        self.assertEqual([], self.server.requests)

    def test_a_damaged_body_is_not_run(self):
        damaged = self._dispatch(body=b"signaturE")
        self.assertEqual((Outcome.NOT_RUN, Reason.DAMAGED), self._ended(damaged))
        self.assertEqual([], self.server.requests)

    def test_work_is_reported_as_evidence(self):
        ends = [
            (length_answer(b""), WorkResult.ANSWERED),
            (length_answer(b"").replace(b"200", b"503"), WorkResult.SHED),
            (length_answer(b"").replace(b"200", b"500"), WorkResult.ERROR),
            (b"garbage", WorkResult.BROKEN),
        ]
        self.server.answer = lambda number: (ends[number - 1][0], False)
        for number in range(len(ends)):
            self._handle(self._dispatch(number))
        self._hang()
        self._handle(self._dispatch(9, remaining_ms=100.0))
        self.server.close()
        self._handle(self._dispatch(10))
        expected = [result for _, result in ends]
        expected += [WorkResult.SILENCE, WorkResult.UNREACHABLE]
        self.assertEqual(expected, self.observer.results)
        self.assertEqual(len(expected), len(self.observer.started_ids))

    def test_a_resend_with_its_key_gets_the_first_answer(self):
        first, second = self._handle(self._keyed(1)), self._handle(self._keyed(2))
        self.assertEqual(b"1", second.body)
        self.assertEqual((first.body, first.status), (second.body, second.status))
        self.assertEqual(AttemptId("ingress", 1, 2), second.attempt_id)
        # The same key of another service is another key.
        other = self._handle(self._keyed(3, service="crew/offers"))
        self.assertEqual(b"2", other.body)

    def test_a_resend_is_unknown_while_the_first_one_runs_or_was_lost(self):
        self._hang()
        with ThreadPoolExecutor(1) as executor:
            first = executor.submit(self._handle, self._keyed(1, remaining_ms=500.0))
            self._seen(1)
            expected = (Outcome.UNKNOWN, Reason.DUPLICATE)
            self.assertEqual(expected, self._ended(self._keyed(2)))
            self.assertEqual(Outcome.UNKNOWN, first.result().outcome)
        self.assertEqual(expected, self._ended(self._keyed(3)))
        self.assertEqual(1, len(self.server.requests))

    def test_a_key_with_another_request_is_refused(self):
        self._handle(self._keyed(1))
        changes = [
            {"target": "/other"},
            {"method": "PUT"},
            {"body": b"x", "body_checksum": checksum(b"x")},
        ]
        for sequence, change in enumerate(changes, 2):
            self.assertEqual(
                (Outcome.NOT_RUN, Reason.KEY_REUSED),
                self._ended(self._keyed(sequence, **change)),
            )
        self.assertEqual(1, len(self.server.requests))

    def test_a_key_claimed_for_another_gate_or_incarnation_never_runs(self):
        now_s = time.monotonic()
        claims = [None, Claim("other", INCARNATION, 1, now_s)]
        # The node was replaced: what its predecessor ran it does not know.
        claims.append(Claim(NODE, INCARNATION - 1, 1, now_s))
        for sequence, claim in enumerate(claims):
            self.assertEqual(
                (Outcome.UNKNOWN, Reason.DUPLICATE),
                self._ended(self._keyed(sequence, claim=claim)),
            )
        self.assertEqual([], self.server.requests)

    def test_a_claim_under_which_not_run_was_said_is_void(self):
        # The gate said 'not run', so the claim may have moved to another
        # gate. A slower resend under the old claim must not run here.
        refused = self._keyed(1, backend_server_id="elsewhere")
        self.assertEqual(Outcome.NOT_RUN, self._handle(refused).outcome)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CLAIM_MOVED), self._ended(self._keyed(2))
        )
        self.assertEqual(
            Outcome.ANSWERED, self._handle(self._keyed(3, version=2)).outcome
        )

    def test_a_claim_older_than_the_ledgers_memory_is_unknown(self):
        old = self._keyed(1, age_s=ledger.KEY_MEMORY_S + 1)
        self.assertEqual((Outcome.UNKNOWN, Reason.DUPLICATE), self._ended(old))

    def test_a_full_ledger_forgets_answers_but_no_key(self):
        self.patch(ledger, "ANSWERS_MAX_BYTES", 1)
        self.patch(ledger, "KEYS_MAX", 2)
        for sequence, key in enumerate("ab"):
            self.assertEqual(
                Outcome.ANSWERED, self._handle(self._keyed(sequence, key)).outcome
            )
        self.assertEqual(
            (Outcome.UNKNOWN, Reason.DUPLICATE), self._ended(self._keyed(3, "a"))
        )
        self.assertEqual(b"2", self._handle(self._keyed(4, "b")).body)
        self.assertEqual(Outcome.UNKNOWN, self._handle(self._keyed(5, "c")).outcome)
        self.assertEqual(2, len(self.server.requests))


class AttemptTableTests(TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["begin", "cancel"]),
                st.integers(0, 3),
                st.floats(0, MEMORY_S / 2),
            ),
            max_size=30,
        )
    )
    def test_an_attempt_begins_once_and_never_after_its_cancellation(self, steps):
        # Messages and cancellations in any order, repeated, over a time in
        # which deadlines pass: after its deadline the gate refuses an attempt
        # whatever the table says.
        table, now_s, begun, cancelled = AttemptTable(), 0.0, set(), set()
        for step, number, wait_s in steps:
            now_s += wait_s
            attempt_id, deadline_s = AttemptId("n", 1, number), 2.0 + number
            if step == "cancel":
                table.cancel(attempt_id, deadline_s, now_s)
                cancelled.add(number)
                continue
            begin = table.begin(attempt_id, CancelToken(), deadline_s, now_s)
            if begin is Begin.NEW and now_s < deadline_s + MEMORY_S:
                self.assertNotIn(number, begun | cancelled)
            begun.add(number)
