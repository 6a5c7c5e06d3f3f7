"""Attempts that cannot finish before a leaving node ends are refused as not run."""

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
from balsamspindle.node.gate_parts import GateParts
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests import links
from balsamspindle.requests.link_pool import LinkPool
from balsamspindle.requests.reply_wait import WaitOptions, wait_first
from balsamspindle.settings.documents import RetryBudget, ServiceDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    checksum,
)
from tests.raw_server import RawServer
from tests.utils import free_address, wait_until

SERVICE = "crew/contracts"
PATIENCE_S = 10.0
USUAL_S = 1.0


class EndingIngressTests(TestCase):
    # Guards against a request that gets a slot in a gate's queue just before the node
    # that received it ends. The run would be cut when that node gives up, and the
    # caller would get `unknown`. If the gate refuses the request instead, the caller
    # gets `not_run`.

    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.servers.announce(
            "server", Announcement(SERVICE, "127.0.0.1:1", 1, "1"), 0.0
        )
        self.admission = Admission(self.servers)
        account = self.servers.get("server").account
        account.release(WorkEnd.ANSWERED, USUAL_S, time.monotonic())
        account.acquire()

    def _admit(self, token: CancelToken, execution=Execution.NON_IDEMPOTENT):
        dispatch = msgspec.structs.replace(attempt(1), execution=execution)
        return self.admission.admit(dispatch, token, time.monotonic() + 60.0)

    def test_a_waiting_request_is_refused_as_not_run(self):
        running = self._admit(CancelToken())
        self.assertIsInstance(running, Admitted)
        token = CancelToken()
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self._admit, token)
            wait_until(self.admission.waiting, "the request waits")
            token.set_ingress_end(time.monotonic() + 1.5 * USUAL_S)
            with self.servers.changed:
                self.servers.changed.notify_all()
            self.assertEqual(Reason.NODE_STOPPING, waiting.result(5).reason)
        self.admission.release(running, WorkEnd.ANSWERED)

    def test_a_read_starts_only_if_it_is_likely_to_finish_before_its_ingress_ends(self):
        # About half of all reads take longer than the mean. If a read is cut when its
        # ingress ends, its caller gets an error. If the gate refuses the read, there is
        # still time to send it to another gate.
        token = CancelToken()
        token.set_ingress_end(time.monotonic() + 2.5 * USUAL_S)
        admitted = self._admit(token, Execution.IDEMPOTENT)
        self.assertIsInstance(admitted, Admitted)
        self.admission.release(admitted, WorkEnd.ANSWERED)
        token.set_ingress_end(time.monotonic() + 1.5 * USUAL_S)
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
    """Sends attempts to one gate and receives the replies, as an ingress does."""

    def setUp(self):
        super().setUp()
        self.patch(links, "CONNECT_TIMEOUT_S", PATIENCE_S)

    def _send(self, number: int):
        deadline_s = time.monotonic() + PATIENCE_S
        link = self.links.acquire(self.address, deadline_s)
        self.assertTrue(link.send_dispatch(attempt(number), deadline_s))
        return link, attempt(number).attempt_id

    def _wait(self, link, attempt_id, **changes):
        near, far = socket.socketpair()
        with near, far:
            deadline_s = time.monotonic() + PATIENCE_S
            wait = WaitOptions(
                deadline_s, near.fileno(), lambda: False, self.fail, **changes
            )
            return wait_first({link: attempt_id}, wait)


class LinkServerTests(LinkCase):
    """A link server with a real gate, and links from an ingress to it."""

    def setUp(self):
        super().setUp()
        self.backend = RawServer(lambda number: (None, False))
        self.addCleanup(self.backend.close)
        self.servers = LocalBackendServers()
        self.servers.announce(
            "server", Announcement(SERVICE, self.backend.address, 1, "1"), 0.0
        )
        account = self.servers.get("server").account
        account.acquire()
        account.release(WorkEnd.ANSWERED, USUAL_S, time.monotonic())
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
        self.addCleanup(self.gate.cancel_all)

    def test_a_leaving_gate_sends_notice_of_runs_that_it_may_not_answer(self):
        link, attempt_id = self._send(1)
        wait_until(lambda: self.backend.requests, "the first attempt runs")
        self.gate.set_end_time(time.monotonic() + 60.0)
        self.assertEqual([], self.gate.outlasting_attempts(time.monotonic()))
        self.gate.set_end_time(time.monotonic() + 1.5 * USUAL_S)
        started_s = time.monotonic()
        self.assertIsNone(self._wait(link, attempt_id, ends_at_notice=lambda: True))
        self.assertLess(time.monotonic() - started_s, PATIENCE_S)
        self.assertTrue(link.has_ending_notice(attempt_id))
        link.close()

    def test_waiting_attempts_of_a_leaving_ingress_are_refused(self):
        first, _ = self._send(1)
        wait_until(lambda: self.backend.requests, "the first attempt runs")
        link, attempt_id = self._send(2)
        wait_until(self.gate._admission.waiting, "the second attempt waits")
        ends_s = math.inf

        def leaves() -> float:
            return ends_s

        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self._wait, link, attempt_id, node_ends_s=leaves)
            ends_s = time.monotonic() + 1.5 * USUAL_S
            reply = waiting.result(PATIENCE_S).reply
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.NODE_STOPPING), (reply.outcome, reply.reason)
        )
        # The running attempt is not affected.
        self.assertEqual(1, self.gate.in_flight())
        self.assertEqual(1, len(self.backend.requests))
        first.close()
        link.close()

    def test_an_ending_notice_is_kept_until_its_attempt_starts(self):
        # All threads of the gate are busy. An attempt has arrived, but has not started
        # when the notice arrives that its ingress will end.
        busy = threading.Event()
        self.addCleanup(busy.set)
        for _ in range(2):
            self.executor.submit(busy.wait, PATIENCE_S)
        link, attempt_id = self._send(1)
        link.notify_node_stop(attempt_id, 0.5 * USUAL_S)
        wait_until(lambda: self.server._ingress_ends_s, "the notice has arrived")
        busy.set()
        reply = self._wait(link, attempt_id).reply
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.NODE_STOPPING), (reply.outcome, reply.reason)
        )
        self.assertEqual([], self.backend.requests)

    def test_an_ending_notice_is_kept_after_the_ingress_ended(self):
        # All threads of the gate are busy until after the ingress has ended. If the
        # attempt started then, it would be cut at once, and its outcome would change
        # from `not_run` to `unknown`.
        busy = threading.Event()
        self.addCleanup(busy.set)
        for _ in range(2):
            self.executor.submit(busy.wait, PATIENCE_S)
        link, attempt_id = self._send(1)
        link.notify_node_stop(attempt_id, 0.1)
        time.sleep(0.5)
        busy.set()
        reply = self._wait(link, attempt_id).reply
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.NODE_STOPPING), (reply.outcome, reply.reason)
        )
        self.assertEqual([], self.backend.requests)


class StoppingNodeTests(LinkCase):
    def test_an_attempt_that_arrives_as_the_node_stops_is_not_run(self):
        # Guards against `unknown` for the caller of a non-idempotent request that did
        # not run. An attempt arrives after the gate's threads have ended and before its
        # link is closed. The node must reply `not_run` and not fail with an error.
        backend = RawServer(lambda number: (None, False))
        self.addCleanup(backend.close)
        self.address = free_address()
        own = NodeSettings(
            "gate", "r", "z", "127.0.0.1:1", self.address, "127.0.0.1:2", "127.0.0.1:3"
        )
        context = zmq.Context()
        self.addCleanup(context.destroy, 0)
        events = EventLog("gate", 1, HybridClock(), io.StringIO())
        gate_parts = GateParts(
            own, lambda _: ServiceDocument(), lambda *_: RetryBudget(), context, events
        )
        gate_parts.servers.announce(
            "server", Announcement(SERVICE, backend.address, 2, "1"), time.monotonic()
        )
        self.links = LinkPool(context, events)
        with ThreadPoolExecutor(3) as executor:
            for task in gate_parts.tasks():
                executor.submit(task)
            first = self._send(1)
            wait_until(lambda: backend.requests, "the first attempt runs")
            gate_parts.gate.refuse_new_attempts()
            gate_parts.stop()
            reply = self._wait(*self._send(2)).reply
            self.assertEqual(
                (Outcome.NOT_RUN, Reason.DRAINING), (reply.outcome, reply.reason)
            )
            gate_parts.gate.cancel_all()
            self.assertEqual(Outcome.UNKNOWN, self._wait(*first).reply.outcome)
