"""Idempotent requests at leaving gates are tried at other gates before they are cut."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec

from balsamspindle.backend_servers.servers import Announcement
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests import links
from balsamspindle.requests.link_attempts import REPLY_RESERVE_S
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.wire import (
    BackendServerRecord,
    GateEnding,
    Reply,
    checksum,
    encode,
)
from tests.raw_server import RawServer
from tests.two_gates import BODY, OWN, TwoGateCase, answer
from tests.two_gates import SERVICE as VACANCIES
from tests.utils import wait_until

SERVICE = "crew/contracts"
PATIENCE_S = 10.0
USUAL_S = 1.0


def ending(dispatch) -> tuple[float, bytes]:
    """Return a notice, delay 0, that the gate's node may end before the attempt."""
    return 0.0, encode(GateEnding(dispatch.attempt_id))


def cut(dispatch, delay_s: float) -> tuple[float, bytes]:
    """Return the delay and the reply to an attempt whose run the leaving node cut."""
    reply = Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.CANCELLED)
    return delay_s, encode(reply)


def damaged(dispatch, delay_s: float, status: int) -> tuple[float, bytes]:
    """Return the delay and an answer whose body does not match its checksum."""
    reply = Reply(
        dispatch.attempt_id,
        Outcome.ANSWERED,
        status=status,
        body=b"XX" + BODY[2:],
        body_checksum=checksum(BODY),
    )
    return delay_s, encode(reply)


def refusal(dispatch) -> list[tuple[float, bytes]]:
    reply = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.WOULD_WAIT)
    return [(0.0, encode(reply))]


class EndingGateCase(TwoGateCase):
    def setUp(self):
        super().setUp()
        # On a busy machine, a gate may be late to answer the first message on a link,
        # the `GreetingRequest`. The ingress must not time out while it waits for this
        # answer.
        self.patch(links, "CONNECT_TIMEOUT_S", PATIENCE_S)

    def _request_at(self, name: str, **changes) -> Reply:
        """Send requests until gate `name` gets one; return the reply to that one."""
        while True:
            seen = len(self.gates[name].dispatches)
            reply = self._request(**changes)
            if len(self.gates[name].dispatches) > seen:
                return reply


class EndingGateTests(EndingGateCase):
    # An idempotent request runs at a backend server whose node is leaving. The node
    # cuts the run when its shutdown timeout ends. If the ingress tried another gate
    # only after the cut, seconds would be lost, and the ingress might be leaving itself
    # by then.

    def test_a_read_is_sent_to_another_gate_before_its_gate_ends(self):
        self.answers["a"] = lambda dispatch: [ending(dispatch)]
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))
        # The cancellation frees a slot at the leaving gate for the last requests there.
        wait_until(lambda: self.gates["a"].cancels, "the first attempt is cancelled")

    def test_the_answer_of_a_parked_run_is_used_if_it_ends_in_time(self):
        # The second gate refuses, so only the parked attempt can still be answered.
        self.answers = {
            "a": lambda dispatch: [
                ending(dispatch),
                *((0.5, frame) for _, frame in answer(dispatch)),
            ],
            "b": refusal,
        }
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))
        self.assertEqual([], self.gates["a"].cancels)

    def test_a_parked_run_that_is_cut_is_retried_elsewhere(self):
        # The other gate refuses the request when the first gate announces its end. It
        # answers the request when it is sent again after the cut.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.5)],
            "b": refusal,
        }
        threading.Timer(0.3, self.answers.update, [{"b": answer}]).start()
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_a_cut_during_a_parallel_attempt_is_retried_elsewhere(self):
        # The first run is cut while the request is queued at another gate, which then
        # refuses it. After the refusal no attempt is open, and the other gate has free
        # slots, so the request must be sent there again.
        attempts = []

        def refuses_once(dispatch):
            attempts.append(dispatch)
            if dispatch.run_was_lost and sum(one.run_was_lost for one in attempts) == 1:
                return [(0.6, frame) for _, frame in refusal(dispatch)]
            return answer(dispatch)

        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.3)],
            "b": refuses_once,
        }
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_a_parked_run_that_is_cut_counts_as_one_attempt(self):
        # The route allows two attempts. A run that is parked and then cut is one
        # attempt. If it counted as two, the request would not be sent again.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.5)],
            "b": refusal,
        }
        threading.Timer(0.3, self.answers.update, [{"b": answer}]).start()
        reply = self._request_at("a", attempts_max=2)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_a_request_refused_because_a_node_is_leaving_is_retried_elsewhere(self):
        def refuse_as_stopping(dispatch):
            reply = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.NODE_STOPPING)
            return [(0.0, encode(reply))]

        self.answers["a"] = refuse_as_stopping
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_the_announced_end_leaves_time_for_refusals(self):
        self.forwarder.set_end_time(time.monotonic() + PATIENCE_S)
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)
        [dispatch] = [one for gate in self.gates.values() for one in gate.dispatches]
        reserve_ms = REPLY_RESERVE_S * 1000
        self.assertLess(dispatch.ingress_remaining_ms, PATIENCE_S * 1000 - reserve_ms)

    def test_runs_cut_by_a_leaving_gate_use_no_retry_budget(self):
        # More requests run at a leaving gate than the service's retry budget covers.
        # The budget is only for requests that failed, so all of them must be sent to
        # other gates.
        budget = RetryBudget(fraction=0.0, per_s_min=0.0)
        self.forwarder._retries = RetryPolicy(lambda service: budget)
        self.answers["a"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.3)]
        for _ in range(3):
            reply = self._request_at("a")
            self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_no_other_gate_is_tried_if_the_route_allows_one_attempt(self):
        self.answers["a"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        self.answers["b"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        seen = self._dispatches()
        reply = self._request(attempts_max=1)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, self._dispatches() - seen)

    def test_a_non_idempotent_request_is_not_tried_elsewhere(self):
        self.answers["a"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        self.answers["b"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        seen = self._dispatches()
        reply = self._request(execution=Execution.NON_IDEMPOTENT)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, self._dispatches() - seen)


class ThreeGateTests(EndingGateCase):
    NAMES = ("a", "b", "c")

    def test_a_cut_does_not_end_the_parallel_run(self):
        # Guards against an error for the caller while its request runs elsewhere and
        # will be answered. The second run is silent for a third of the time. The reply
        # of the cut run, which arrives meanwhile, must not be taken for the reply of
        # the second run.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)],
            "b": lambda dispatch: [(1.6, frame) for _, frame in answer(dispatch)],
            "c": lambda dispatch: [(1.6, frame) for _, frame in answer(dispatch)],
        }
        reply = self._request_at("a", timeout_s=3.0, attempts_max=2)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_an_error_of_the_first_run_does_not_end_the_second(self):
        # Guards against a caller that gets the error of the first run although its
        # request runs at another gate and will be answered.
        self.answers = {
            "a": lambda dispatch: [
                ending(dispatch),
                *((0.2, frame) for _, frame in answer(dispatch, status=500)),
            ],
            "b": lambda dispatch: [(0.6, frame) for _, frame in answer(dispatch)],
            "c": lambda dispatch: [(0.6, frame) for _, frame in answer(dispatch)],
        }
        reply = self._request_at("a", attempts_max=2)
        self.assertEqual((200, BODY), (reply.status, reply.body))

    def test_an_error_of_the_first_run_is_returned_if_the_second_is_cut(self):
        self.answers = {
            "a": lambda dispatch: [
                ending(dispatch),
                *((0.2, frame) for _, frame in answer(dispatch, status=500)),
            ],
            "b": lambda dispatch: [cut(dispatch, 0.6)],
            "c": lambda dispatch: [cut(dispatch, 0.6)],
        }
        reply = self._request_at("a", attempts_max=2)
        self.assertEqual((Outcome.ANSWERED, 500), (reply.outcome, reply.status))

    def test_a_damaged_error_is_not_returned(self):
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), damaged(dispatch, 0.2, 500)],
            "b": lambda dispatch: [cut(dispatch, 0.6)],
            "c": lambda dispatch: [cut(dispatch, 0.6)],
        }
        reply = self._request_at("a", attempts_max=2)
        self.assertIs(Outcome.UNKNOWN, reply.outcome)

    def test_a_damaged_answer_does_not_end_the_parallel_run(self):
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), damaged(dispatch, 0.2, 200)],
            "b": lambda dispatch: [(0.6, frame) for _, frame in answer(dispatch)],
            "c": lambda dispatch: [(0.6, frame) for _, frame in answer(dispatch)],
        }
        reply = self._request_at("a", attempts_max=2)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_an_error_that_is_not_retried_is_returned(self):
        # The second run ends with an error that is not retried, so the caller must get
        # this error. The first run, which was cut, is no reason for a third run.
        attempts = []

        def act(dispatch):
            attempts.append(dispatch)
            match len(attempts):
                case 1:
                    return [ending(dispatch), cut(dispatch, 0.5)]
                case 2:
                    return [(0.1, frame) for _, frame in answer(dispatch, status=500)]
            return answer(dispatch)

        self.answers = dict.fromkeys(self.NAMES, act)
        self.assertEqual(500, self._request().status)
        self.assertEqual(2, len(attempts))

    def test_the_parked_runs_latency_is_recorded_in_full(self):
        # The recorded latencies determine when second attempts start. The first run
        # takes a second. Its answer arrives a fifth of a second after the second
        # attempt was sent. The whole second must be recorded as the latency, not the
        # fifth.
        latencies_s, attempts = [], []
        policy = self.forwarder._retries
        record_original = policy.record_answer

        def record_latency(service, latency_s, *rest):
            latencies_s.append(latency_s)
            record_original(service, latency_s, *rest)

        def slow_first(dispatch):
            attempts.append(dispatch)
            if len(attempts) > 1:
                return [(5.0, frame) for _, frame in answer(dispatch)]
            notice = (0.8, ending(dispatch)[1])
            return [notice, *((1.0, frame) for _, frame in answer(dispatch))]

        self.patch(policy, "record_answer", record_latency)
        self.answers = dict.fromkeys(self.NAMES, slow_first)
        self.assertIs(Outcome.ANSWERED, self._request().outcome)
        self.assertEqual(
            [], [latency_s for latency_s in latencies_s if latency_s < 0.9]
        )

    def test_an_attempt_at_a_second_ending_gate_is_parked_too(self):
        # Nodes are restarted one after the other. The first gate announces its end, so
        # the ingress also sends the request to a second gate. The first gate cuts its
        # run. Then the second gate announces its own end while the second run is not
        # finished. The second attempt must be parked like the first one, and the
        # request must be sent to a third gate.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)],
        }
        self._let_second_attempt_answer("b", "c")
        reply = self._request_at("a", attempts_max=3)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def _let_second_attempt_answer(self, *names: str) -> None:
        """Make the gates announce their end at the first attempt, answer later ones."""
        attempts = []

        def second_answers(dispatch):
            attempts.append(dispatch)
            if len(attempts) > 1:
                return answer(dispatch)
            return [(0.5, encode(GateEnding(dispatch.attempt_id)))]

        self.answers.update(dict.fromkeys(names, second_answers))


class OwnGateTests(EndingGateCase):
    NAMES = ("a",)

    def test_an_answer_that_arrives_during_a_run_at_the_own_gate_is_used(self):
        # Guards against a caller that keeps waiting, or gets an error, although its
        # request was answered. The run at the leaving gate ends in time. Meanwhile the
        # request also runs at the ingress's own gate and hangs there. If the ingress
        # does not read the answer of the leaving gate during this time, the answer is
        # lost when the leaving node ends and closes its connection.
        server = RawServer(lambda number: (None, False))
        self.addCleanup(server.close)
        self.servers.announce(
            "server-own", Announcement(VACANCIES, server.address, 4, "1"), 0.0
        )

        def answered_in_time(dispatch):
            record = BackendServerRecord("server-own", VACANCIES, "1", 4, "ready")
            self.directory.update(
                msgspec.structs.replace(OWN, version=2, backend_servers=(record,)), 0.0
            )
            threading.Timer(1.0, self.gates["a"].close).start()
            return [ending(dispatch), *((0.5, frame) for _, frame in answer(dispatch))]

        self.answers["a"] = answered_in_time
        reply = self._request()
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))
        self.assertEqual(1, len(server.requests))
        wait_until(lambda: server.closed_s, "the run at the own gate is cancelled")


class GivenUpRequestTests(TwoGateCase):
    def test_no_attempt_is_sent_after_the_node_gave_up_its_requests(self):
        # Guards against a caller's connection that closes without an answer. All gates
        # refuse the request, and the ingress waits before it searches again. During
        # this wait the node gives up its requests. If the request were sent again, the
        # node would close the caller's connection before the reply arrives.
        def suspected(dispatch):
            reply = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.SUSPECTED)
            return [(0.0, encode(reply))]

        self.answers = {"a": suspected, "b": suspected}
        with ThreadPoolExecutor(1) as executor:
            request = executor.submit(
                self._request, execution=Execution.NON_IDEMPOTENT, timeout_s=200.0
            )
            wait_until(
                lambda: self._dispatches() >= 2, "both gates have refused the request"
            )
            self.forwarder.abort_attempts()
            sent = self._dispatches()
            reply = request.result(PATIENCE_S)
        self.assertEqual(Outcome.NOT_RUN, reply.outcome)
        self.assertEqual(sent, self._dispatches())

    def test_no_attempt_is_sent_over_a_link_opened_while_the_node_gave_up(self):
        acquire = self.links.acquire

        def give_up_meanwhile(*arguments):
            link = acquire(*arguments)
            self.forwarder.abort_attempts()
            return link

        self.patch(self.links, "acquire", give_up_meanwhile)
        reply = self._request(execution=Execution.NON_IDEMPOTENT)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.NODE_STOPPING), (reply.outcome, reply.reason)
        )
        self.assertEqual(0, self._dispatches())
