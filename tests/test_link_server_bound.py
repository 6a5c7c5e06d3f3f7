"""A link server with more attempts than worker threads."""

import io
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import zmq
from testtools import TestCase

from balsamspindle.backend_servers import link_server
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.backend_servers.servers import LocalBackendServers
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.link_pool import LinkPool
from balsamspindle.requests.reply_wait import WaitOptions, wait_first
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    AdmissionQuery,
    AttemptId,
    Dispatch,
    Reply,
    ReservationRequest,
    checksum,
)
from tests.utils import free_address, wait_until

THREADS = 2
TIMEOUT_S = 10.0


class HangingGate(Gate):
    """A gate that answers all attempts only when `finish` is set."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.started = threading.Semaphore(0)
        self.finish = threading.Event()

    def handle(self, dispatch, received_s):
        self.started.release()
        self.finish.wait(TIMEOUT_S)
        return Reply(
            dispatch.attempt_id,
            Outcome.ANSWERED,
            status=200,
            body_checksum=checksum(b""),
        )


def _reservation():
    query = AdmissionQuery(
        1, "crew/contracts", "server", Execution.IDEMPOTENT, TIMEOUT_S * 1000, 1.0
    )
    return ReservationRequest(AttemptId("own", 1, THREADS + 1), query)


class LinkServerBoundTests(TestCase):
    def test_an_attempt_without_a_thread_is_refused_and_not_queued(self):
        # The backend servers of a node hang, and all worker threads of its gate wait
        # for them. One more attempt must be refused. If it waited in the executor's
        # queue, which is unbounded and ignores deadlines, its caller would get no
        # answer.
        self.patch(link_server, "PENDING_MAX", THREADS)
        events = EventLog("gate", 1, HybridClock(), io.StringIO())
        gate = HangingGate(LocalBackendServers(), BackendServerClient(1000), events)
        context, address = zmq.Context(), free_address()
        executor = ThreadPoolExecutor(THREADS)
        server = LinkServer(context, address, gate, executor, events)
        task = threading.Thread(target=server.run)
        task.start()
        links = LinkPool(context, events)
        try:
            first = [self._send(links, address, number) for number in range(THREADS)]
            for _ in first:
                self.assertTrue(gate.started.acquire(timeout=TIMEOUT_S))
            link, attempt_id = self._send(links, address, THREADS)
            refused = self._wait(link, attempt_id)
            self.assertEqual(
                (Outcome.NOT_RUN, Reason.NO_FREE_SLOT),
                (refused.outcome, refused.reason),
            )
            # A reservation waits in a thread, too.
            self.assertTrue(link.send_reservation(_reservation(), time.monotonic()))
            refused = self._wait(link, _reservation().attempt_id)
            self.assertEqual(Reason.NO_FREE_SLOT, refused.reason)
            gate.finish.set()
            replies = [self._wait(*sent) for sent in first]
            self.assertEqual([200] * THREADS, [reply.status for reply in replies])
            wait_until(lambda: not server.pending(), "all replies are sent")
        finally:
            gate.finish.set()
            server.stop()
            task.join()
            executor.shutdown()
            context.destroy(0)

    def _send(self, links, address, number):
        deadline_s = time.monotonic() + TIMEOUT_S
        link = links.acquire(address, deadline_s)
        dispatch = Dispatch(
            AttemptId("own", 1, number),
            "id",
            "crew/contracts",
            "server",
            Execution.IDEMPOTENT,
            TIMEOUT_S * 1000,
            1.0,
            "GET",
            "/",
            [],
            b"",
            checksum(b""),
        )
        self.assertTrue(link.send_dispatch(dispatch, deadline_s))
        return link, dispatch.attempt_id

    def _wait(self, link, attempt_id) -> Reply:
        near, far = socket.socketpair()
        with near, far:
            deadline_s = time.monotonic() + TIMEOUT_S
            wait = WaitOptions(deadline_s, near.fileno(), lambda: False, self.fail)
            return wait_first({link: attempt_id}, wait).reply
