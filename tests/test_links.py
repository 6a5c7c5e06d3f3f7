"""Attempts over links: complete answers to the right request, correct outcomes."""

import random
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec
from testtools import TestCase

from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.requests import links
from balsamspindle.requests.forwarded import StopReason
from balsamspindle.requests.links import GateClock
from balsamspindle.wire import (
    AttemptId,
    Cancel,
    WireError,
    decode_link,
    encode,
)
from tests.fake_gate import FakeGate
from tests.one_gate import Ingress, answer_frame, prompt_answer
from tests.relay import Flow, Relay
from tests.utils import free_address, wait_until

SEED = 20_261
# Count of numbers that one call adds up while it holds the interpreter lock.
STALL_NUMBERS = 20_000_000


class EarlierCancel(msgspec.Struct, array_like=True, tag="cancel", frozen=True):
    """A cancellation as earlier releases decode it, without a cause."""

    attempt_id: AttemptId
    hlc: int = 0
    gate_deadline_s: float | None = None


class CancelCauseTests(TestCase):
    # During a roll-out, nodes of two releases exchange messages. Guards against a
    # cancellation that one release cannot decode and therefore drops. The backend
    # server would keep working on a request whose answer is not used.

    def setUp(self):
        super().setUp()
        self.attempt_id = AttemptId("own", 1, 2)

    def test_a_cancellation_keeps_its_cause(self):
        for cause in CancelCause:
            cancel = Cancel(self.attempt_id, 3, 4.5, cause)
            self.assertEqual(cancel, decode_link(encode(cancel)))

    def test_an_earlier_release_ignores_the_cause(self):
        frame = encode(Cancel(self.attempt_id, 3, 4.5, CancelCause.DEADLINE))
        read = msgspec.msgpack.decode(frame[1:], type=EarlierCancel)
        self.assertEqual(EarlierCancel(self.attempt_id, 3, 4.5), read)

    def test_a_cancellation_without_a_known_cause_still_cancels(self):
        for fields in ([], ["of a later release"], ["of a later release", "more"]):
            read = decode_link(encode(["cancel", self.attempt_id, 3, 4.5, *fields]))
            self.assertNotIsInstance(read, WireError)
            self.assertEqual(self.attempt_id, read.attempt_id)
            self.assertIs(CancelCause.INGRESS_GAVE_UP, read.cause)


def _stall_process() -> None:
    """Block all other threads of this process for about half a second."""
    sum(range(STALL_NUMBERS))


class LinkTests(TestCase):
    def _gate(self, answer=prompt_answer, address=None):
        address = address or free_address()
        gate = FakeGate(address, answer)
        self.addCleanup(gate.close)
        return gate, address

    def _ingress(self, address, servers_count=1):
        ingress = Ingress(address, servers_count)
        self.addCleanup(ingress.links.close)
        return ingress

    def _relayed(self):
        gate, address = self._gate()
        relay = Relay(address)
        self.addCleanup(relay.close)
        return gate, relay, self._ingress(relay.address)

    def test_both_servers_of_a_hedged_request_are_left_out_of_a_further_search(self):
        # Guards against a request that is sent again to a backend server that still
        # runs it.
        def answer(dispatch):
            if gate.dispatches[0].attempt_id != dispatch.attempt_id:
                return []
            return [(2.0, answer_frame(dispatch, status=500))]

        gate, address = self._gate(answer)
        ingress = self._ingress(address, servers_count=3)
        reply = ingress.request(timeout_s=3.0, execution=Execution.IDEMPOTENT)
        self.assertEqual(500, reply.status)
        sent_to = [dispatch.backend_server_id for dispatch in gate.dispatches]
        self.assertEqual(2, len(sent_to))
        self.assertEqual(set(sent_to), ingress.forwarded.failed)

    def test_each_of_thousands_of_requests_gets_its_own_complete_answer(self):
        # Replies arrive late, in any order, twice, damaged or with the ids of other
        # attempts, over links that are reused. If they were mixed up, one caller
        # would get another caller's answer.
        rng = random.Random(SEED)
        earlier: list[bytes] = []

        def answer(dispatch):
            own = answer_frame(dispatch)
            stranger = AttemptId("own", 1, dispatch.attempt_id.sequence + 1)
            half = dispatch.body[: len(dispatch.body) // 2]
            earlier.append(own)
            noise = {
                "twice": (0.0, own),
                "an earlier one": (0.0, rng.choice(earlier)),
                "a stranger's": (0.0, answer_frame(dispatch, attempt_id=stranger)),
                "another incarnation's": (
                    0.0,
                    answer_frame(dispatch, attempt_id=("own", 0, 1)),
                ),
                "garbage": (0.0, b"\x01\xc1garbage"),
            }
            kind = rng.choice([*noise, "damaged", "cut", "prompt", "late"])
            if kind == "damaged":
                return [(0, answer_frame(dispatch, body=dispatch.body[::-1] + b"x"))]
            if kind == "cut":
                return [(0, answer_frame(dispatch, body=half))]
            first = [noise[kind]] if kind in noise else []
            delay_s = rng.random() * 0.02 if kind == "late" else 0
            # The unwanted reply is sent both before and after the right answer.
            return [*first, (delay_s, own), *first]

        # 16 tasks open links at once. On a busy machine a gate's `GreetingReply` may
        # take longer than the time-out for connecting, and the request would be
        # `not_run`.
        self.patch(links, "CONNECT_TIMEOUT_S", 10.0)
        _, address = self._gate(answer)
        ingress = self._ingress(address)
        bodies = [f"nonce-{number}:".encode() * 7 for number in range(3000)]
        with ThreadPoolExecutor(16) as executor:
            replies = list(executor.map(ingress.request, bodies))
        counts = Counter(reply.outcome for reply in replies)
        for body, reply in zip(bodies, replies, strict=True):
            if reply.outcome is Outcome.ANSWERED:
                self.assertEqual(body, reply.body)
            else:
                self.assertEqual(
                    (Outcome.UNKNOWN, Reason.BROKEN_ANSWER),
                    (reply.outcome, reply.reason),
                )
        # Two of the nine kinds of answers are damaged.
        self.assertTrue(500 < counts[Outcome.UNKNOWN] < 850, counts)

    def test_an_answer_without_a_checksum_is_not_trusted(self):
        _, address = self._gate(
            lambda dispatch: [(0, answer_frame(dispatch, body_checksum=0))]
        )
        reply = self._ingress(address).request()
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)

    def test_a_request_at_a_gate_whose_process_ends_is_unknown_at_once(self):
        # The gate's process ends after it received the request, which may or may not
        # have run. The caller must get `unknown` long before the deadline.
        gate, address = self._gate(lambda dispatch: [])
        ingress = self._ingress(address)
        with ThreadPoolExecutor(1) as executor:
            result = executor.submit(ingress.request, timeout_s=600)
            wait_until(lambda: gate.dispatches, "the gate has the request")
            gate.close()
            self.assertEqual(Outcome.UNKNOWN, result.result(60).outcome)
        self.assertEqual(1, len(gate.dispatches))

    def test_no_request_is_queued_for_an_absent_gate(self):
        # No process listens at the address. The caller gets `not_run` and may send the
        # request again. Guards against a request that is queued and delivered to the
        # next process that listens there: it would run a second time.
        address = free_address()
        ingress = self._ingress(address)
        reply = ingress.request()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.UNREACHABLE), (reply.outcome, reply.reason)
        )
        gate, _ = self._gate(address=address)
        self.assertEqual(Outcome.ANSWERED, ingress.request(b"second").outcome)
        self.assertEqual([b"second"], [d.body for d in gate.dispatches])

    def test_a_replacement_at_the_same_address_gets_new_requests_only(self):
        gate, address = self._gate(
            lambda d: [] if d.body == b"lost" else prompt_answer(d)
        )
        ingress = self._ingress(address)
        self.assertEqual(Outcome.ANSWERED, ingress.request(b"first").outcome)
        lost = ingress.request(b"lost", timeout_s=0.1)
        self.assertEqual(Outcome.UNKNOWN, lost.outcome)
        gate.close()
        replacement, _ = self._gate(address=address)
        self.assertEqual(Outcome.ANSWERED, ingress.request(b"new").outcome)
        self.assertEqual([b"new"], [d.body for d in replacement.dispatches])

    def test_no_request_is_sent_over_a_link_that_is_cut_in_one_direction(self):
        # One direction of a link is cut while the link is idle, and its connection
        # stays open. If a request were sent over this link, the request or its answer
        # would be lost, and the outcome would be `unknown`. The ingress must check the
        # link before it sends the request. The outcome is then `not_run`.
        self.patch(links, "CHECK_VALID_S", dict.fromkeys(Execution, 0.0))
        for direction in ("forward", "backward"):
            gate, relay, ingress = self._relayed()
            self.assertEqual(Outcome.ANSWERED, ingress.request().outcome)
            setattr(relay, direction, Flow.DROP)
            # The first request finds the idle link, the second one needs a new link.
            for _ in range(2):
                reply = ingress.request()
                self.assertEqual(Outcome.NOT_RUN, reply.outcome, direction)
            self.assertEqual(1, len(gate.dispatches))

    def test_a_request_is_unknown_if_its_link_is_cut_in_one_direction(self):
        for direction in ("forward", "backward"):
            gate, relay, ingress = self._relayed()
            self.assertEqual(Outcome.ANSWERED, ingress.request().outcome)
            # A link is not checked again right after a reply, so this request is sent.
            setattr(relay, direction, Flow.DROP)
            reply = ingress.request(timeout_s=0.3)
            self.assertEqual(Outcome.UNKNOWN, reply.outcome, direction)
            ran = 1 if direction == "forward" else 2
            self.assertEqual(ran, len(gate.dispatches))

    def test_a_link_gets_its_full_timeout_despite_a_pause_of_the_process(self):
        # Guards against `not_run` although the gate sent its `GreetingReply` on the new
        # link in time. A pause of this process delays the reading of the reply.
        gate, _, ingress = self._relayed()
        stall = threading.Thread(target=_stall_process)
        stall.start()
        reply = ingress.request()
        stall.join()
        self.assertEqual(Outcome.ANSWERED, reply.outcome)
        self.assertEqual(1, len(gate.dispatches))

    def test_a_request_on_a_reset_connection_is_unknown_and_not_resent(self):
        gate, relay, ingress = self._relayed()
        gate._answer = lambda dispatch: []
        with ThreadPoolExecutor(1) as executor:
            result = executor.submit(ingress.request, timeout_s=600)
            wait_until(lambda: gate.dispatches, "the gate has the request")
            relay.reset_connections()
            self.assertEqual(Outcome.UNKNOWN, result.result(60).outcome)
        gate._answer = prompt_answer
        self.assertEqual(Outcome.ANSWERED, ingress.request(b"new").outcome)
        self.assertEqual([b"signature", b"new"], [d.body for d in gate.dispatches])

    def test_a_request_that_is_given_up_is_cancelled_at_the_gate(self):
        gate, address = self._gate(lambda dispatch: [])
        ingress = self._ingress(address)
        self.assertEqual(Outcome.UNKNOWN, ingress.request(timeout_s=0.1).outcome)
        wait_until(lambda: gate.cancels, "the cancellation arrives")
        dispatch, cancel = gate.dispatches[0], gate.cancels[0]
        self.assertEqual(dispatch.attempt_id, cancel.attempt_id)
        self.assertEqual(dispatch.gate_deadline_s, cancel.gate_deadline_s)

    def test_a_cancellation_contains_why_the_request_was_given_up(self):
        # The gate cuts the run in each case. If the message did not contain the cause,
        # the gate's log would not distinguish a caller that left from a leaving node.
        gate, address = self._gate(lambda dispatch: [])
        causes = [
            (CancelCause.CALLER_LEFT, self._leave),
            (CancelCause.DEADLINE, lambda ingress: None),
            (CancelCause.INGRESS_LEAVING, lambda ingress: ingress.abort_attempts()),
        ]
        for number, (cause, end) in enumerate(causes, 1):
            timeout_s = 0.1 if cause is CancelCause.DEADLINE else 600
            ingress = self._ingress(address)
            with ThreadPoolExecutor(1) as executor:
                result = executor.submit(ingress.request, timeout_s=timeout_s)
                self._wait_for(gate.dispatches, number)
                end(ingress)
                self.assertEqual(Outcome.UNKNOWN, result.result(60).outcome)
            self._wait_for(gate.cancels, number)
            self.assertIs(cause, gate.cancels[-1].cause)

    def _leave(self, ingress: Ingress) -> None:
        ingress.caller.shutdown(socket.SHUT_RDWR)

    def _wait_for(self, messages: list, count: int) -> None:
        wait_until(lambda: len(messages) == count, f"{count} messages")

    def test_a_request_records_when_its_run_was_lost(self):
        # The first attempt is refused, so it has no run. The run of the second one is
        # cancelled, and the third one is answered. `run_lost_s` must be the time of the
        # second reply.
        ends = [
            {"outcome": Outcome.NOT_RUN, "reason": Reason.DRAINING},
            {"outcome": Outcome.UNKNOWN, "reason": Reason.CANCELLED},
            {},
        ]
        received_s = []

        def answer(dispatch):
            received_s.append(time.monotonic())
            return [(0, answer_frame(dispatch, **ends[len(gate.dispatches) - 1]))]

        gate, address = self._gate(answer)
        ingress = self._ingress(address, servers_count=3)
        reply = ingress.request(execution=Execution.IDEMPOTENT)
        self.assertEqual((3, Outcome.ANSWERED), (len(gate.dispatches), reply.outcome))
        self.assertTrue(received_s[1] <= ingress.forwarded.run_lost_s <= received_s[2])

    def test_a_request_whose_run_was_lost_records_why_it_was_not_retried(self):
        # The run is cut long before the deadline, and the caller gets `unknown` at
        # once. The request is not retried for one of three reasons: the route allows
        # one attempt, there is no other backend server, or the request must not run
        # twice.
        cut = {"outcome": Outcome.UNKNOWN, "reason": Reason.CANCELLED}
        gate, address = self._gate(
            lambda dispatch: [(0, answer_frame(dispatch, **cut))]
        )
        idempotent = {"execution": Execution.IDEMPOTENT}
        ends = [
            (2, idempotent | {"attempts_max": 1}, StopReason.ATTEMPTS_MAX),
            (1, idempotent, StopReason.NO_PLACE),
            (2, {}, StopReason.REPEAT_DENIED),
        ]
        for servers_count, route, expected in ends:
            ingress = self._ingress(address, servers_count)
            self.assertEqual(Outcome.UNKNOWN, ingress.request(**route).outcome)
            self.assertIs(expected, ingress.forwarded.stopped_by)
        self.assertEqual(len(ends), len(gate.dispatches))

    def test_not_run_after_an_attempt_that_may_have_run_is_unknown(self):
        # An idempotent request is lost at one backend server and refused at the next.
        # The `not_run` of the second reply applies to the second attempt only, so the
        # request's outcome is `unknown`.
        ends = [Outcome.UNKNOWN, Outcome.NOT_RUN]

        def answer(dispatch):
            outcome = ends[len(gate.dispatches) - 1]
            return [(0, answer_frame(dispatch, outcome=outcome))]

        gate, address = self._gate(answer)
        ingress = self._ingress(address, servers_count=2)
        reply = ingress.request(execution=Execution.IDEMPOTENT)
        self.assertEqual(2, len(gate.dispatches))
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)

    def test_a_deadline_converted_to_the_gates_clock_is_never_late(self):
        # The gate's clock has an offset and a drift, and messages are delayed, all at
        # random from a seed. A deadline converted to the gate's clock is never later
        # than the true one.
        rng = random.Random(SEED)
        for _ in range(50):
            start_s = rng.uniform(-1e6, 1e6)
            rate = 1 + rng.uniform(-1, 1) * 2e-4
            clock, now_s = GateClock(), rng.uniform(0, 1e6)
            begin_s = now_s
            for _ in range(50):
                now_s += rng.choice([0.01, 1, 600])
                one_way_s = rng.expovariate(100)
                gate_time_s = start_s + (now_s - one_way_s - begin_s) * rate
                clock.update(gate_time_s, now_s)
                for later_s in (0, 2, 60):
                    true_s = start_s + (now_s + later_s - begin_s) * rate
                    early_s = true_s - clock.at(now_s + later_s)
                    early_max_s = one_way_s * 1.001 + later_s / 1000
                    self.assertTrue(-1e-6 <= early_s <= early_max_s, early_s)
