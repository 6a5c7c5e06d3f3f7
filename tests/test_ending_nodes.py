"""Attempts between two nodes, one of them leaving: its end is known to the other."""

import io
import math
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import zmq
from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission, Admitted
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.node.gate_side import GateSide
from balsamspindle.requests import links
from balsamspindle.requests.links import LinkPool
from balsamspindle.requests.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.waiting import Wait, wait_first
from balsamspindle.settings.documents import RetryBudget, ServiceDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    GateEnding,
    Reply,
    checksum,
    encode,
)
from tests.raw_server import RawServer
from tests.two_gates import BODY, TwoGateCase, answer
from tests.utils import free_address, wait_until

SERVICE = "crew/contracts"
PATIENCE_S = 10.0
USUAL_S = 1.0


def ending(dispatch) -> tuple[float, bytes]:
    """Return a gate's word that its node may end before an attempt does."""
    return 0.0, encode(GateEnding(dispatch.attempt_id))


def cut(dispatch, delay_s: float) -> tuple[float, bytes]:
    """Return the reply for a run that its gate's node cut."""
    reply = Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.CANCELLED)
    return delay_s, encode(reply)


def refusal(dispatch) -> list[tuple[float, bytes]]:
    reply = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.WOULD_WAIT)
    return [(0.0, encode(reply))]


class EndingGateCase(TwoGateCase):
    def setUp(self):
        super().setUp()
        # A gate that takes longer than usual to greet is no part of these stories.
        self.patch(links, "CONNECT_TIMEOUT_S", PATIENCE_S)

    def _request_at(self, name: str, **changes) -> Reply:
        """Send requests until one begins at a gate; return its reply."""
        while True:
            seen = len(self.gates[name].dispatches)
            reply = self._request(**changes)
            if len(self.gates[name].dispatches) > seen:
                return reply


class EndingGateTests(EndingGateCase):
    # A read runs at a backend server whose node was told to leave. The node cuts
    # the run when its own time is over. An ingress that looks for another place
    # only then has lost seconds, and may be leaving itself by now.

    def test_a_read_is_tried_elsewhere_before_its_gate_ends(self):
        self.answers["a"] = lambda dispatch: [ending(dispatch)]
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))
        # The slot at the gate that leaves is free for its last work.
        wait_until(lambda: self.gates["a"].cancels, "the first attempt is cancelled")

    def test_the_first_run_still_counts_if_it_ends_in_time(self):
        # The second place refuses: what was left open is all that is left.
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

    def test_a_run_that_is_cut_after_all_is_tried_elsewhere_again(self):
        # All others were busy when the gate told of its end; they are not any
        # more when the run is cut.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.5)],
            "b": refusal,
        }
        threading.Timer(0.3, self.answers.update, [{"b": answer}]).start()
        reply = self._request_at("a")
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_no_other_place_is_tried_where_the_route_allows_one(self):
        self.answers["a"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        self.answers["b"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        seen = self._dispatches()
        reply = self._request(attempts_max=1)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, self._dispatches() - seen)

    def test_what_must_not_run_twice_is_not_tried_elsewhere(self):
        self.answers["a"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        self.answers["b"] = lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)]
        seen = self._dispatches()
        reply = self._request(execution=Execution.NON_IDEMPOTENT)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, self._dispatches() - seen)


class ThreeGateTests(EndingGateCase):
    NAMES = ("a", "b", "c")

    def test_a_cut_does_not_end_the_run_beside_it(self):
        # The caller is told an error while its request runs elsewhere, and well:
        # the reply of the run that was cut is taken for the other one's when that
        # one has been silent for a third of the time.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)],
            "b": lambda dispatch: [(1.6, frame) for _, frame in answer(dispatch)],
            "c": lambda dispatch: [(1.6, frame) for _, frame in answer(dispatch)],
        }
        reply = self._request_at("a", timeout_s=3.0, attempts_max=2)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def test_a_second_gate_that_ends_is_left_open_in_its_turn(self):
        # Restarts follow each other: the run beside the first one is at a gate
        # that is told to leave, too, when the first one has been cut.
        self.answers = {
            "a": lambda dispatch: [ending(dispatch), cut(dispatch, 0.2)],
        }
        self._let_answer_late("b", "c")
        reply = self._request_at("a", attempts_max=3)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))

    def _let_answer_late(self, *names: str) -> None:
        """Let the second of some gates that is asked answer at once."""
        asked = []

        def second_answers(dispatch):
            asked.append(dispatch)
            if len(asked) > 1:
                return answer(dispatch)
            return [(0.5, encode(GateEnding(dispatch.attempt_id)))]

        self.answers.update(dict.fromkeys(names, second_answers))


class GivenUpTests(TwoGateCase):
    def test_nothing_is_sent_after_the_node_gave_up(self):
        # The caller's connection ends without an answer. Its request had been
        # refused everywhere and paused before it searched again, when the node
        # gave up what was left; it was sent once more after that, and the node
        # ended its callers' connections before the reply.
        def suspected(dispatch):
            reply = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.SUSPECTED)
            return [(0.0, encode(reply))]

        self.answers = {"a": suspected, "b": suspected}
        with ThreadPoolExecutor(1) as executor:
            request = executor.submit(
                self._request, execution=Execution.NON_IDEMPOTENT, timeout_s=200.0
            )
            wait_until(lambda: self._dispatches() >= 2, "both gates refused it")
            self.forwarder.give_up()
            sent = self._dispatches()
            reply = request.result(PATIENCE_S)
        self.assertEqual(Outcome.NOT_RUN, reply.outcome)
        self.assertEqual(sent, self._dispatches())


class EndingIngressTests(TestCase):
    # A request waits in a gate's queue while the node that took it is leaving. It
    # gets a slot in the last moment, runs, and is cut when that node gives up: its
    # caller is told that nobody knows, where `not_run` was true until then.

    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.servers.announce(
            "server", Announcement(SERVICE, "127.0.0.1:1", 1, "1"), 0.0
        )
        self.admission = Admission(self.servers)
        account = self.servers.get("server").account
        account.give_back(WorkEnd.ANSWERED, USUAL_S, time.monotonic())
        account.take()

    def _admit(self, token: CancelToken, execution=Execution.NON_IDEMPOTENT):
        dispatch = msgspec.structs.replace(attempt(1), execution=execution)
        return self.admission.admit(dispatch, token, time.monotonic() + 60.0)

    def test_one_that_waits_is_told_not_run_while_that_is_true(self):
        running = self._admit(CancelToken())
        self.assertIsInstance(running, Admitted)
        token = CancelToken()
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self._admit, token)
            wait_until(self.admission.waiting, "one waits")
            token.end_by(time.monotonic() + 1.5 * USUAL_S)
            with self.servers.changed:
                self.servers.changed.notify_all()
            self.assertEqual(Reason.NODE_STOPPING, waiting.result(5).reason)
        self.admission.release(running, WorkEnd.ANSWERED)

    def test_a_read_may_start_as_long_as_it_usually_ends_in_time(self):
        # Cut, it may be sent again by its caller: it needs less time to spare.
        token = CancelToken()
        token.end_by(time.monotonic() + 1.5 * USUAL_S)
        admitted = self._admit(token, Execution.IDEMPOTENT)
        self.assertIsInstance(admitted, Admitted)
        self.admission.release(admitted, WorkEnd.ANSWERED)
        token.end_by(time.monotonic() + 0.5 * USUAL_S)
        self.assertEqual(
            Reason.NODE_STOPPING, self._admit(token, Execution.IDEMPOTENT).reason
        )


def attempt(number: int) -> Dispatch:
    return Dispatch(
        AttemptId("own", 1, number),
        "id",
        SERVICE,
        "server",
        Execution.NON_IDEMPOTENT,
        PATIENCE_S * 1000,
        1.0,
        "GET",
        "/",
        [],
        b"",
        checksum(b""),
    )


class LinkCase(TestCase):
    """The ingress's end of links to one gate."""

    def setUp(self):
        super().setUp()
        self.patch(links, "CONNECT_TIMEOUT_S", PATIENCE_S)

    def _send(self, number: int):
        deadline_s = time.monotonic() + PATIENCE_S
        link = self.links.take(self.address, deadline_s)
        self.assertTrue(link.send_dispatch(attempt(number), deadline_s))
        return link, attempt(number).attempt_id

    def _wait(self, link, attempt_id, **changes):
        near, far = socket.socketpair()
        with near, far:
            deadline_s = time.monotonic() + PATIENCE_S
            wait = Wait(deadline_s, near.fileno(), lambda: False, self.fail, **changes)
            return wait_first({link: attempt_id}, wait)


class LinkServerTests(LinkCase):
    """A link server with a real gate, and the ingress's end of a link."""

    def setUp(self):
        super().setUp()
        self.backend = RawServer(lambda number: (None, False))
        self.addCleanup(self.backend.close)
        self.servers = LocalBackendServers()
        self.servers.announce(
            "server", Announcement(SERVICE, self.backend.address, 1, "1"), 0.0
        )
        account = self.servers.get("server").account
        account.take()
        account.give_back(WorkEnd.ANSWERED, USUAL_S, time.monotonic())
        self.events = EventLog("gate", 1, HybridClock(), io.StringIO())
        self.gate = Gate(self.servers, BackendServerClient(1000), self.events)
        self.context, self.address = zmq.Context(), free_address()
        self.executor = ThreadPoolExecutor(2)
        self.server = LinkServer(
            self.context, self.address, self.gate, self.executor, self.events
        )
        task = threading.Thread(target=self.server.run)
        task.start()
        self.links = LinkPool(self.context, self.events)
        self.addCleanup(self.context.destroy, 0)
        self.addCleanup(self.executor.shutdown)
        self.addCleanup(task.join)
        self.addCleanup(self.server.stop)
        self.addCleanup(self.gate.give_up)

    def test_a_leaving_gate_tells_of_runs_that_it_may_not_live_to_answer(self):
        link, attempt_id = self._send(1)
        wait_until(lambda: self.backend.requests, "it runs")
        self.gate.end_by(time.monotonic() + 60.0)
        self.assertEqual([], self.gate.outlasting(time.monotonic()))
        self.gate.end_by(time.monotonic() + 1.5 * USUAL_S)
        started_s = time.monotonic()
        self.assertIsNone(self._wait(link, attempt_id, ends_at_notice=lambda: True))
        self.assertLess(time.monotonic() - started_s, PATIENCE_S)
        self.assertTrue(link.is_ending(attempt_id))
        link.close()

    def test_a_leaving_ingress_takes_back_what_waits_at_a_gate(self):
        first, _ = self._send(1)
        wait_until(lambda: self.backend.requests, "it runs")
        link, attempt_id = self._send(2)
        wait_until(self.gate._admission.waiting, "it waits")
        ends_s = math.inf

        def leaves() -> float:
            return ends_s

        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self._wait, link, attempt_id, ends_s=leaves)
            ends_s = time.monotonic() + 1.5 * USUAL_S
            reply = waiting.result(PATIENCE_S).reply
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.NODE_STOPPING), (reply.outcome, reply.reason)
        )
        # What runs goes on.
        self.assertEqual(1, self.gate.in_flight())
        self.assertEqual(1, len(self.backend.requests))
        first.close()
        link.close()


class StoppingNodeTests(LinkCase):
    def test_an_attempt_that_comes_as_the_node_stops_is_told_not_run(self):
        # The caller of a request that must not run twice is told that nobody
        # knows. Its attempt came in the milliseconds in which the gate's threads
        # had ended and its link was still open: the node could neither run nor
        # refuse it, and ended with an error.
        backend = RawServer(lambda number: (None, False))
        self.addCleanup(backend.close)
        self.address = free_address()
        own = NodeSettings(
            "gate", "r", "z", "127.0.0.1:1", self.address, "127.0.0.1:2", "127.0.0.1:3"
        )
        context = zmq.Context()
        self.addCleanup(context.destroy, 0)
        events = EventLog("gate", 1, HybridClock(), io.StringIO())
        side = GateSide(
            own, lambda _: ServiceDocument(), lambda *_: RetryBudget(), context, events
        )
        side.servers.announce(
            "server", Announcement(SERVICE, backend.address, 2, "1"), time.monotonic()
        )
        self.links = LinkPool(context, events)
        with ThreadPoolExecutor(3) as executor:
            for task in side.tasks():
                executor.submit(task)
            first = self._send(1)
            wait_until(lambda: backend.requests, "it runs")
            side.gate.leave()
            side.stop()
            reply = self._wait(*self._send(2)).reply
            self.assertEqual(
                (Outcome.NOT_RUN, Reason.DRAINING), (reply.outcome, reply.reason)
            )
            side.gate.give_up()
            self.assertEqual(Outcome.UNKNOWN, self._wait(*first).reply.outcome)
