"""Tests which attempts a gate admits, queues or refuses."""

import itertools
import math
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission, Admitted, Refused
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.servers import (
    ANNOUNCEMENT_TTL_S,
    Announcement,
    LocalBackendServers,
)
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.protocol.outcomes import Execution, Reason
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.wire import AttemptId, Dispatch
from tests.utils import wait_until

SERVICE = "crew/contracts"
SLOTS = 3
QUEUE_MAX = 8
WORK_S = 0.01
HEAVY, LIGHT = 5.0, 1.0


class AdmissionTests(TestCase):
    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.announcement = Announcement(SERVICE, "127.0.0.1:1", SLOTS, "1")
        self.servers.announce("server", self.announcement, time.monotonic())
        self.document = ServiceDocument(queue_max=QUEUE_MAX)
        self.admission = Admission(self.servers, lambda service: self.document)
        self.numbers = itertools.count()

    def _admit(self, weight=LIGHT, timeout_s=30.0) -> Admitted | Refused:
        dispatch = Dispatch(
            AttemptId("ingress", 1, next(self.numbers)),
            "id",
            SERVICE,
            "server",
            Execution.IDEMPOTENT,
            timeout_s * 1000,
            weight,
            "GET",
            "/",
            [],
            b"",
            0,
        )
        deadline_s = time.monotonic() + timeout_s
        return self.admission.admit(dispatch, CancelToken(), deadline_s)

    def test_running_attempts_never_exceed_the_slots_and_all_get_an_outcome(self):
        running, running_max, outcomes = Counter(), [], Counter()
        lock = threading.Lock()

        def attempt(number):
            admitted = self._admit(HEAVY if number % 4 == 0 else LIGHT)
            if isinstance(admitted, Refused):
                outcomes[admitted.reason] += 1
                return
            with lock:
                running["now"] += 1
                running_max.append(running["now"])
            time.sleep(WORK_S)
            with lock:
                running["now"] -= 1
                outcomes["answered"] += 1
            self.admission.release(admitted, WorkEnd.ANSWERED)

        with ThreadPoolExecutor(40) as executor:
            list(executor.map(attempt, range(400)))
        self.assertEqual(SLOTS, max(running_max))
        self.assertEqual(400, sum(outcomes.values()))
        self.assertEqual({"answered", Reason.NO_FREE_SLOT}, set(outcomes))
        self.assertEqual(0, self.admission.in_flight())

    def test_a_drain_refuses_waiting_attempts(self):
        admitted = [self._admit() for _ in range(SLOTS)]
        with ThreadPoolExecutor(QUEUE_MAX) as executor:
            waiting = [executor.submit(self._admit) for _ in range(QUEUE_MAX)]
            wait_until(
                lambda: self.admission.waiting() == QUEUE_MAX, "all attempts wait"
            )
            self.servers.drain("server")
            reasons = {future.result().reason for future in waiting}
        self.assertEqual({Reason.DRAINING}, reasons)
        for attempt in admitted:
            self.admission.release(attempt, WorkEnd.ANSWERED)

    def test_a_heavier_attempt_replaces_a_lighter_one_that_waits(self):
        for _ in range(SLOTS):
            self._admit()
        self.document = ServiceDocument(queue_max=1)
        with ThreadPoolExecutor(2) as executor:
            light = executor.submit(self._admit, LIGHT)
            wait_until(lambda: self.admission.waiting(), "the light attempt waits")
            heavy = executor.submit(self._admit, HEAVY, 1.0)
            self.assertEqual(Reason.NO_FREE_SLOT, light.result().reason)
            self.assertEqual(Reason.DEADLINE, heavy.result().reason)

    def test_the_slot_of_a_timed_out_attempt_is_released_later(self):
        # Guards against an overload of a backend server that hangs. It may still be
        # working on an attempt that timed out. If each time-out released a slot at
        # once, the gate would send it more and more requests at the same time.
        admitted = [self._admit() for _ in range(SLOTS)]
        for attempt in admitted:
            self.admission.release(attempt, WorkEnd.IN_DOUBT)
        refused = self._admit(timeout_s=0.02)
        self.assertEqual(Reason.DEADLINE, refused.reason)
        self.assertIsInstance(self._admit(), Admitted)

    def test_a_leaving_node_refuses_attempts_that_would_run_too_long(self):
        # Guards against unknown outcomes when a node leaves. At its end time, a leaving
        # node cuts the attempts that still run. An attempt that is expected to run
        # longer is refused as not run, so that it can be sent to another gate.
        server = self.servers.get("server")
        server.account.release(WorkEnd.ANSWERED, 1.0, time.monotonic())
        server.account.acquire()
        self.admission.set_end_time(time.monotonic() + 60.0)
        admitted = self._admit()
        self.assertIsInstance(admitted, Admitted)
        self.admission.set_end_time(time.monotonic() + 1.5)
        self.assertEqual(Reason.DRAINING, self._admit().reason)
        # A waiting attempt is refused at once, not only when a slot becomes free.
        self.admission.set_end_time(math.inf)
        admitted = [admitted, *(self._admit() for _ in range(SLOTS - 1))]
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self._admit)
            wait_until(self.admission.waiting, "an attempt waits")
            self.admission.set_end_time(time.monotonic() + 1.5)
            self.assertEqual(Reason.DRAINING, waiting.result(5).reason)
        for attempt in admitted:
            self.admission.release(attempt, WorkEnd.ANSWERED)

    def test_a_silent_backend_server_with_running_work_gets_no_attempts(self):
        # Guards against attempts sent to a backend server that no longer announces
        # itself. It has stopped without notice, or it is cut off from its node, and one
        # of its requests never ends. After it has announced itself again, it gets
        # attempts again.
        now_s = time.monotonic()
        admitted = self._admit()
        later_s = now_s + ANNOUNCEMENT_TTL_S + 1
        self.assertEqual(["server"], self.servers.remove_silent(later_s))
        self.assertEqual([], self.servers.remove_silent(later_s))
        self.assertEqual(Reason.DRAINING, self._admit().reason)
        self.servers.announce("server", self.announcement, later_s)
        self.assertIsInstance(self._admit(), Admitted)
        self.assertEqual([], self.servers.remove_silent(later_s))
        self.admission.release(admitted, WorkEnd.ANSWERED)

    def test_a_cold_backend_server_starts_with_one_attempt(self):
        self.document = ServiceDocument(cold_start_s=3600)
        self.assertIsInstance(self._admit(), Admitted)
        self.assertEqual(Reason.DEADLINE, self._admit(timeout_s=0.02).reason)
        server = self.servers.all()[0]
        started_s = server.started_s
        capacities = [
            self.admission.capacity(server, started_s + age_s)
            # A little more than 3600 s, since the floating-point sum may be rounded
            # down.
            for age_s in (0, 2500, 3600.001)
        ]
        self.assertEqual([0.25, 0.5, 1.0], capacities)
