"""The gate: each attempt is refused, dispatched or cancelled, and runs at most once."""

import time
from concurrent.futures import ThreadPoolExecutor

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.backend_servers import ledger
from balsamspindle.backend_servers.attempts import (
    ATTEMPT_RETENTION_S,
    AttemptTable,
    BeginResult,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.evidence import (
    WorkResult,
)
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.wire import AttemptId, Claim, checksum
from tests.gate_case import INCARNATION, NODE, RAN_MS_MIN, GateCase
from tests.raw_server import answer_with_length
from tests.utils import wait_until


class GateTests(GateCase):
    def test_a_second_message_of_an_attempt_has_no_effect_and_no_reply(self):
        self.assertEqual(Outcome.ANSWERED, self._handle(self._dispatch()).outcome)
        self.assertIsNone(self._handle(self._dispatch()))
        self.assertEqual(1, len(self.server.requests))

    def test_the_grant_of_a_repeat_that_is_refused_is_used_for_the_next_repeat(self):
        # The budget allows one more repeat. The gate grants it but then refuses the
        # attempt for another reason, so the next repeat must still be granted.
        budget = RetryBudget(fraction=0.0, fleet_per_s_min=0.1)
        self.gate._checked._grants = RetryGrants(lambda *_: budget)
        away = self._dispatch(1, is_repeat=True, backend_server_id="elsewhere")
        self.assertEqual((Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER), self._ended(away))
        granted = self._handle(self._dispatch(2, is_repeat=True))
        self.assertEqual(Outcome.ANSWERED, granted.outcome)
        denied = self._dispatch(3, is_repeat=True)
        self.assertEqual((Outcome.NOT_RUN, Reason.RETRY_BUDGET), self._ended(denied))
        self.assertEqual(Outcome.ANSWERED, self._handle(self._dispatch(4)).outcome)
        self.assertEqual(2, len(self.server.requests))

    def test_a_refused_attempt_never_runs_later(self):
        # The gate replied 'not run', and the same message arrives again when a slot
        # is free. If it ran now, that reply would be false.
        refused = self._dispatch(backend_server_id="elsewhere")
        self.assertEqual(Outcome.NOT_RUN, self._handle(refused).outcome)
        self.assertIsNone(self._handle(self._dispatch()))
        busy = self.gate.refuse_busy(self._dispatch(2), time.monotonic())
        self.assertEqual(Outcome.NOT_RUN, busy.outcome)
        self.assertIsNone(self._handle(self._dispatch(2)))
        self.assertEqual([], self.server.requests)

    def test_an_attempt_whose_cancellation_arrived_first_is_not_run(self):
        self.gate.cancel(self._dispatch().attempt_id)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CANCELLED), self._ended(self._dispatch())
        )
        self.assertEqual([], self.server.requests)

    def test_a_cancellation_ends_waiting_and_running_attempts(self):
        # The first attempt hangs in the only slot, the second one waits. Both are
        # cancelled: the second did not run, the outcome of the first is unknown, and
        # its backend server sees the connection end.
        self._hang()
        with ThreadPoolExecutor(2) as executor:
            running = executor.submit(
                self._handle, self._dispatch(1, remaining_ms=60_000.0)
            )
            self._wait_until_sent(1)
            waiting = executor.submit(self._handle, self._dispatch(2))
            self.gate.cancel(AttemptId("ingress", 1, 2))
            self.assertEqual(Outcome.NOT_RUN, waiting.result().outcome)
            self.gate.cancel(AttemptId("ingress", 1, 1))
            wait_until(lambda: self.server.closed_s, "the connection ends")
            self.assertEqual(Outcome.UNKNOWN, running.result().outcome)
        self.assertEqual([WorkResult.CANCELLED], self.observer.results)

    def test_a_cut_run_is_logged_with_its_cause_and_duration(self):
        # In each case the caller gets 'unknown' and the backend server sees its
        # connection end. Only the log shows whether the caller left, the node is
        # leaving or the backend server was restarted.
        self._hang()
        ends = {
            "ingress_gave_up": lambda attempt_id: self.gate.cancel(attempt_id),
            "caller_left": lambda attempt_id: self.gate.cancel(
                attempt_id, cause=CancelCause.CALLER_LEFT
            ),
            "server_restarted": lambda attempt_id: self._announce("2"),
            "node_leaving": lambda attempt_id: self.gate.cancel_all(),
        }
        began_s = time.monotonic()
        with ThreadPoolExecutor(1) as executor:
            for sequence, end in enumerate(ends.values(), 1):
                dispatch = self._dispatch(sequence, remaining_ms=60_000.0)
                running = executor.submit(self._handle, dispatch)
                self._wait_until_sent(sequence)
                time.sleep(RAN_MS_MIN / 1000)
                end(dispatch.attempt_id)
                self.assertEqual(Outcome.UNKNOWN, running.result().outcome)
        took_ms = (time.monotonic() - began_s) * 1000
        ended = self._logged("attempt_ended")
        self.assertEqual(list(ends), [event["cut_by"] for event in ended])
        ran_ms = [int(event["ran_ms"]) for event in ended]
        self.assertGreaterEqual(min(ran_ms), RAN_MS_MIN)
        self.assertLessEqual(sum(ran_ms), took_ms + len(ran_ms))
        self.assertEqual(dict.fromkeys(ends, 1), self.log.metrics.report().cuts)

    def test_a_run_that_was_not_cut_is_logged_without_cut_by(self):
        self._handle(self._dispatch(1))
        self.gate.cancel(self._dispatch(1).attempt_id)
        self._hang()
        self._handle(self._dispatch(2, remaining_ms=100.0))
        ended = self._logged("attempt_ended")
        self.assertEqual(["answered", "unknown"], [event["outcome"] for event in ended])
        for event in ended:
            self.assertNotIn("cut_by", event)
            self.assertIn("ran_ms", event)
        self.assertEqual({}, self.log.metrics.report().cuts)

    def test_attempts_that_a_leaving_node_cancels_are_logged_as_such(self):
        # The node's shutdown timeout is over. One attempt holds the only slot and
        # another one waits for it. Each must get an event in the log.
        self._hang()
        with ThreadPoolExecutor(2) as executor:
            executor.submit(self._handle, self._dispatch(1, remaining_ms=60_000.0))
            self._wait_until_sent(1)
            executor.submit(self._handle, self._dispatch(2, remaining_ms=60_000.0))
            wait_until(self.gate.waiting, "one attempt waits")
            self.gate.cancel_all()
        names = ("attempt_ended", "attempt_refused")
        logged = [self._logged(name) for name in names]
        self.assertEqual([1, 1], list(map(len, logged)))
        cuts = [event["cut_by"] for events in logged for event in events]
        self.assertEqual(["node_leaving"] * 2, cuts)

    def test_an_attempt_that_is_read_after_its_deadline_is_not_run(self):
        # The gate's process was suspended, so it reads the message late. The gate
        # counts the message's remaining time from the moment of reading, so this time
        # looks sufficient. But the deadline on the gate's clock has passed, and the
        # caller has already been notified that it has passed.
        late = self._dispatch(gate_deadline_s=time.monotonic() - 0.01)
        self.assertEqual((Outcome.NOT_RUN, Reason.DEADLINE), self._ended(late))
        self.assertEqual([], self.server.requests)

    def test_a_damaged_body_is_not_run(self):
        damaged = self._dispatch(body=b"signaturE")
        self.assertEqual((Outcome.NOT_RUN, Reason.DAMAGED), self._ended(damaged))
        self.assertEqual([], self.server.requests)

    def test_ends_of_runs_are_reported_as_evidence_of_health(self):
        ends = [
            (answer_with_length(b""), WorkResult.ANSWERED),
            (answer_with_length(b"").replace(b"200", b"503"), WorkResult.SHED),
            (answer_with_length(b"").replace(b"200", b"500"), WorkResult.ERROR),
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
        # Keys are separate for each service.
        other = self._handle(self._keyed(3, service="crew/offers"))
        self.assertEqual(b"2", other.body)

    def test_a_resend_is_unknown_while_the_first_run_goes_on_or_if_it_was_lost(self):
        self._hang()
        with ThreadPoolExecutor(1) as executor:
            first = executor.submit(self._handle, self._keyed(1, remaining_ms=500.0))
            self._wait_until_sent(1)
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
        # The node was replaced and does not know what its predecessor has run.
        claims.append(Claim(NODE, INCARNATION - 1, 1, now_s))
        for sequence, claim in enumerate(claims):
            self.assertEqual(
                (Outcome.UNKNOWN, Reason.DUPLICATE),
                self._ended(self._keyed(sequence, claim=claim)),
            )
        self.assertEqual([], self.server.requests)

    def test_a_claim_is_void_after_a_reply_of_not_run(self):
        # The gate replied 'not run', so the claim may have moved to another gate. A
        # delayed resend under the old claim must not run here.
        refused = self._keyed(1, backend_server_id="elsewhere")
        self.assertEqual(Outcome.NOT_RUN, self._handle(refused).outcome)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CLAIM_MOVED), self._ended(self._keyed(2))
        )
        self.assertEqual(
            Outcome.ANSWERED, self._handle(self._keyed(3, version=2)).outcome
        )

    def test_the_outcome_of_a_claim_older_than_the_key_retention_is_unknown(self):
        old = self._keyed(1, age_s=ledger.KEY_RETENTION_S + 1)
        self.assertEqual((Outcome.UNKNOWN, Reason.DUPLICATE), self._ended(old))

    def test_a_full_ledger_discards_answers_but_no_key(self):
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
                st.floats(0, ATTEMPT_RETENTION_S / 2),
            ),
            max_size=30,
        )
    )
    def test_an_attempt_begins_once_and_never_after_its_cancellation(self, steps):
        # Messages and cancellations arrive in any order and repeatedly while deadlines
        # pass. The gate refuses an attempt after its deadline whatever the table
        # returns, so the check ends some time after the deadline.
        table, now_s, begun, cancelled = AttemptTable(), 0.0, set(), set()
        for step, number, wait_s in steps:
            now_s += wait_s
            attempt_id, deadline_s = AttemptId("n", 1, number), 2.0 + number
            if step == "cancel":
                table.cancel(attempt_id, deadline_s, now_s)
                cancelled.add(number)
                continue
            begin = table.begin(attempt_id, CancelToken(), deadline_s, now_s)
            if begin is BeginResult.NEW and now_s < deadline_s + ATTEMPT_RETENTION_S:
                self.assertNotIn(number, begun | cancelled)
            begun.add(number)
