"""How a gate detects crashes of its backend servers."""

import socket
import time

from balsamspindle.backend_servers.crash_watch import refuses_connections
from balsamspindle.protocol.outcomes import Outcome, Reason
from tests.crash_watch_case import CAUSE, OTHER, CrashWatchCase
from tests.raw_server import answer_with_length


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
