"""How a gate detects crashes, and how it treats a request that causes them."""

import io
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.crash_watch import CrashWatch, refuses_connections
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.lifetimes import AnnouncedStatus, Lifetimes
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate, RunEnd
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.content import hash_content
from balsamspindle.requests.http import CallerRequest
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.timeline import EventLog, HybridClock, parse_event
from balsamspindle.wire import AdmissionQuery, AttemptId, Dispatch, checksum
from tests.raw_server import RawServer, answer_with_length
from tests.utils import wait_until

SERVICE = "crew/vacancies"
CAUSE, OTHER = 11, 22
SLOTS = 3


class CrashWatchCase(TestCase):
    """One gate with one backend server, which a test can crash."""

    def setUp(self):
        super().setUp()
        self.may_end = threading.Event()
        self.server = RawServer(self._answer)
        self.addCleanup(self.server.close)
        self.addCleanup(self.may_end.set)
        self.servers = LocalBackendServers()
        self._announce("1")
        self.log = EventLog("gate", 7, HybridClock(), io.StringIO())
        self.history = CrashHistory(lambda service: 6)
        self.updates: list[CrashUpdate] = []
        self.watch = CrashWatch(
            self.log, self.history, lambda update, now_s: self.updates.append(update)
        )
        self.gate = self._make_gate()
        self.executor = ThreadPoolExecutor(8)
        self.addCleanup(self.executor.shutdown)

    def _make_gate(self, **options) -> Gate:
        return Gate(
            self.servers,
            BackendServerClient(1000),
            self.log,
            crash_history=self.history,
            crash_watch=self.watch,
            **options,
        )

    def _announce(self, boot_id, slots=SLOTS):
        announcement = Announcement(SERVICE, self.server.address, slots, boot_id)
        self.servers.announce("server", announcement, 0.0)

    def _answer(self, number):
        """Wait until `may_end` is set, then close the connection without an answer."""
        self.may_end.wait(10.0)
        return b"", False

    def _dispatch(self, sequence, content_hash=CAUSE, **changes):
        fields = {
            "attempt_id": AttemptId("ingress", 1, sequence),
            "request_id": f"id-{sequence}",
            "service": SERVICE,
            "backend_server_id": "server",
            "execution": Execution.IDEMPOTENT,
            "remaining_ms": 5000.0,
            "weight": 1.0,
            "method": "GET",
            "target": "/vacancies/7",
            "headers": [],
            "body": b"",
            "body_checksum": checksum(b""),
            "content_hash": content_hash,
            **changes,
        }
        return Dispatch(**fields)

    def _begin(self, sequence, content_hash=CAUSE, **changes):
        """Start an attempt in another thread."""
        dispatch = self._dispatch(sequence, content_hash, **changes)
        return self.executor.submit(self.gate.handle, dispatch, time.monotonic())

    def _wait_running(self, count):
        wait_until(lambda: len(self.server.requests) >= count, f"{count} run")

    def _crash(self):
        """Stop the backend server with all requests that run there."""
        self.server.close()
        self.may_end.set()

    def _earlier_crashes(self, count, content_hash=CAUSE):
        for number in range(count):
            server_id = f"other-{content_hash}-{number}"
            age_ms = 1000 * (number + 1)
            crash = Crash(
                server_id, 1, SERVICE, age_ms, (CrashedRun(content_hash, 90),)
            )
            self.history.merge(CrashUpdate([crash]), time.monotonic())

    def _logged(self, name):
        events = map(parse_event, self.log.recent(0, 1000).lines)
        return [event for event in events if event["event"] == name]


class CrashWatchTests(CrashWatchCase):
    def test_a_crash_is_reported_once_with_all_requests_that_ran_there(self):
        # Three callers lose their runs at the same moment. Each run ends in its own
        # thread, and only one of the threads may report the crash.
        running = [self._begin(1), self._begin(2, OTHER), self._begin(3, 33)]
        self._wait_running(3)
        self._crash()
        replies = [attempt.result() for attempt in running]
        self.assertEqual(
            {(Outcome.UNKNOWN, Reason.SERVER_CRASHED)},
            {(reply.outcome, reply.reason) for reply in replies},
        )
        crashes = [crash for update in self.updates for crash in update.crashes]
        self.assertEqual(1, len(crashes))
        self.assertEqual(
            {CAUSE, OTHER, 33}, {run.content_hash for run in crashes[0].runs}
        )
        self.assertEqual(1, len(self._logged("backend_server_crashed")))

    def test_an_answer_broken_off_by_a_running_backend_server_is_no_crash(self):
        # An unhealthy backend server resets half of its connections. If these resets
        # counted as crashes, all nodes would refuse a request that was sent to this
        # backend server three times.
        self.may_end.set()
        for sequence in range(1, 6):
            reply = self._begin(sequence).result()
            self.assertEqual(Reason.BROKEN_ANSWER, reply.reason)
        self.assertEqual([], self.updates)

    def test_a_crash_right_after_a_broken_answer_is_detected(self):
        # Guards against a crash that is missed because the backend server was still
        # running after an earlier broken answer. The next request crashes it a moment
        # later.
        self.may_end.set()
        self.assertEqual(Reason.BROKEN_ANSWER, self._begin(1).result().reason)
        self.may_end.clear()
        running = self._begin(2)
        self._wait_running(2)
        self._crash()
        self.assertEqual(Reason.SERVER_CRASHED, running.result().reason)

    def test_a_restart_without_notice_is_a_crash(self):
        # Guards against a crash that is missed because no connection ends. The backend
        # server loses power and restarts. The gate detects the crash when the backend
        # server announces itself with another boot id.
        running = self._begin(1)
        self._wait_running(1)
        self._announce("2")
        self.assertEqual(Reason.SERVER_CRASHED, running.result().reason)
        self.assertTrue(self.updates)

    def _announce_another(self, sequence):
        """Announce another backend server at the same address."""
        announcement = Announcement(SERVICE, self.server.address, SLOTS, "")
        self.lifetimes.announce(
            "another", announcement, AnnouncedStatus(sequence), time.monotonic()
        )

    def _announce_first(self):
        self.lifetimes = Lifetimes(self.servers, self.log)
        self.servers.on_replaced = self.watch.record_replacement
        announcement = Announcement(SERVICE, self.server.address, SLOTS, "")
        self.lifetimes.announce(
            "server", announcement, AnnouncedStatus(1), time.monotonic()
        )

    def test_a_replacement_during_a_run_is_a_crash(self):
        # Guards against a crash that a probe of the address can't detect. The node is
        # suspended while its backend server crashes and is replaced by one with another
        # id. When the node probes the address, the replacement already accepts
        # connections there. The run at the crashed backend server has not ended at the
        # gate yet.
        self._announce_first()
        running = self._begin(1)
        self._wait_running(1)
        self._announce_another(1)
        self.may_end.set()
        self.assertEqual(Reason.SERVER_CRASHED, running.result().reason)
        self.assertTrue(self.updates)

    def test_a_replacement_right_after_a_broken_answer_is_a_crash(self):
        # Guards against a crash that a probe of the address can't detect. A supervisor
        # replaces the backend server within a millisecond, before the gate probes the
        # address. The replacement announces itself a second later.
        self._announce_first()
        self.may_end.set()
        self.assertEqual(Reason.BROKEN_ANSWER, self._begin(1).result().reason)
        self.assertEqual([], self.updates)
        self._announce_another(1)
        crashes = [crash for update in self.updates for crash in update.crashes]
        self.assertEqual([CAUSE], [run.content_hash for run in crashes[0].runs])

    def test_the_crash_of_an_idle_backend_server_is_reported(self):
        # Guards against a crash rate without the crashes of idle backend servers. The
        # rate shows whether a request that ran during several crashes did so by chance.
        self._announce_first()
        self._announce_another(1)
        crashes = [crash for update in self.updates for crash in update.crashes]
        self.assertEqual([()], [crash.runs for crash in crashes])

    def test_a_replacement_after_a_drain_is_no_crash(self):
        self._announce_first()
        self.may_end.set()
        self._begin(1).result()
        self.lifetimes.record_leave("server")
        self._announce_another(1)
        self.assertEqual([], self.updates)

    def test_an_answer_after_a_refused_connection_retracts_the_crash(self):
        # Guards against suspected requests whose backend server has not crashed. A
        # backend server may stop listening while its queue is long. It refuses
        # connections then, so the gate reports a crash. The first run that the backend
        # server answers shows that it has not crashed, so all requests that ran there
        # are cleared.
        watch = CrashWatch(self.log, self.history, is_down=lambda address: True)
        self.watch = watch
        self.gate = self._make_gate()
        self.may_end.set()
        self.assertEqual(Reason.SERVER_CRASHED, self._begin(1).result().reason)
        self.assertEqual(1, len(self.history.export(time.monotonic()).crashes[0].runs))
        self.server.answer = lambda number: (answer_with_length(b"whole"), True)
        self.assertEqual(200, self._begin(2, OTHER).result().status)
        self.assertEqual((), self.history.export(time.monotonic()).crashes[0].runs)

    def test_an_answer_that_is_recorded_late_does_not_retract_a_crash(self):
        # Guards against a crash that is retracted because of an earlier answer. A
        # request is answered just before another one crashes its backend server. On a
        # busy VM, the thread of the answered request may record its end after the crash
        # was reported.
        first, second = self._begin(1, OTHER), self._begin(2)
        self._wait_running(2)
        server = self.servers.get("server")
        now_s = time.monotonic()
        cause, answered = AttemptId("x", 1, 1), AttemptId("x", 1, 2)
        self.watch.record_start(server, cause, CAUSE, now_s)
        self.watch.record_start(server, answered, OTHER, now_s)
        self.server.close()
        broken = RunEnd(is_lost=True, is_broken=True)
        self.assertTrue(self.watch.record_end(server, cause, broken, now_s + 0.1))
        whole = RunEnd(is_success=True, is_answer=True)
        self.watch.record_end(server, answered, whole, now_s + 0.12)
        runs = self.history.export(now_s + 0.2).crashes[0].runs
        self.assertIn(CAUSE, [run.content_hash for run in runs])
        self.may_end.set()
        first.result(), second.result()

    def test_the_end_of_a_leaving_backend_server_is_no_crash(self):
        # The backend server announces that it leaves, and ends after its timeout while
        # long requests are still running. If this counted as a crash, each rolling
        # replacement would count against these requests.
        running = self._begin(1)
        self._wait_running(1)
        self.servers.drain("server")
        self._crash()
        self.assertEqual(Reason.BROKEN_ANSWER, running.result().reason)
        self.assertEqual([], self.updates)

    def test_an_answer_clears_the_request_at_its_gate(self):
        self._earlier_crashes(2, OTHER)
        self.server.answer = lambda number: (answer_with_length(b"whole"), True)
        self.assertEqual(200, self._begin(1, OTHER).result().status)
        self.assertFalse(self.history.status_of(OTHER, time.monotonic()).is_suspect)

    def test_an_address_refuses_connections_after_its_listener_closed(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "{}:{}".format(*listener.getsockname())
            self.assertFalse(refuses_connections(address))
        self.assertTrue(refuses_connections(address))


class GateQuarantineTests(CrashWatchCase):
    def test_copies_that_wait_for_a_slot_do_not_run_after_the_third_crash(self):
        # Five copies of a request wait at one gate when the request crashes its third
        # backend server. If they ran, each copy would crash this backend server again
        # after its restart.
        self._announce("one slot", slots=1)
        self._earlier_crashes(2)
        first = self._begin(1)
        self._wait_running(1)
        copies = [self._begin(sequence) for sequence in range(2, 7)]
        wait_until(lambda: self.gate.waiting() == 5, "the copies wait")
        self._crash()
        self.assertEqual(Reason.SERVER_CRASHED, first.result().reason)
        for copy in copies:
            reply = copy.result()
            self.assertEqual(
                (Outcome.NOT_RUN, Reason.CRASHES_SERVERS),
                (reply.outcome, reply.reason),
            )
            self.assertGreater(reply.retry_after_ms, 0)
        self.assertEqual(1, len(self.server.requests))

    def test_a_preview_declines_a_quarantined_request(self):
        self._earlier_crashes(3)
        query = AdmissionQuery(
            1, SERVICE, "server", Execution.IDEMPOTENT, 5000.0, 1.0, content_hash=CAUSE
        )
        result = self.gate.preview(query, time.monotonic())
        self.assertEqual(Reason.CRASHES_SERVERS, result.reason)

    def test_two_suspected_requests_do_not_run_together(self):
        # Guards against two suspected requests that are lost in the same crashes. Then
        # it would stay unknown which of them is the cause: neither would be
        # quarantined, and the harmless one would never be answered.
        self._earlier_crashes(2)
        self._earlier_crashes(2, OTHER)
        first = self._begin(1)
        self._wait_running(1)
        reply = self._begin(2, OTHER).result()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.WOULD_WAIT), (reply.outcome, reply.reason)
        )
        self.may_end.set()
        first.result()

    def test_a_suspected_request_leaves_half_of_the_repeats_to_others(self):
        # Guards against a suspected request that uses up the retry budget of its
        # service. Its repeats fail like its first run. Other requests that were lost in
        # the same crash could not be repeated then.
        self._earlier_crashes(2)
        error = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
        self.server.answer = lambda number: (error, True)
        budget = RetryBudget(fraction=0.2, fleet_per_s_min=0.4)
        grants = RetryGrants(lambda *_: budget)
        self.gate = self._make_gate(grants=grants)
        replies = [
            self._begin(sequence, is_repeat=True, run_was_lost=True).result()
            for sequence in range(1, 6)
        ]
        denied = [reply for reply in replies if reply.reason is Reason.RETRY_BUDGET]
        self.assertEqual(3, len(denied))
        other = self._begin(6, OTHER, is_repeat=True, run_was_lost=True).result()
        self.assertEqual(500, other.status)


class ContentTests(TestCase):
    NAMES = HeaderNames(credential="X-Credential")

    def _content_hash(self, **changes):
        fields = {
            "method": "POST",
            "target": "/sign?page=7",
            "host": "crew.example",
            "body": b"signed",
            "headers": [("X-Credential", "anna"), ("X-Request-Id", "1")],
            **changes,
        }
        return hash_content(CallerRequest(**fields), self.NAMES)

    def test_a_repeat_with_other_ids_has_the_same_content(self):
        headers = [
            ("X-Request-Id", "2"),
            ("Date", "now"),
            ("x-credential", "anna"),
            ("X-Deadline-Ms", "700"),
        ]
        self.assertEqual(self._content_hash(), self._content_hash(headers=headers))

    def test_another_path_query_body_host_or_caller_is_another_request(self):
        others = [
            self._content_hash(target="/sign?page=8"),
            self._content_hash(body=b"Signed"),
            self._content_hash(method="PUT"),
            self._content_hash(host="crew2.example"),
            self._content_hash(headers=[("X-Credential", "berta")]),
            self._content_hash(headers=[]),
        ]
        self.assertEqual(len(others), len({*others, self._content_hash()}) - 1)

    def test_the_same_bytes_divided_differently_are_another_request(self):
        first = self._content_hash(target="/a", body=b"bc")
        self.assertNotEqual(first, self._content_hash(target="/ab", body=b"c"))
