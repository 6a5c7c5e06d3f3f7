"""When an answer shows that a reported crash did not happen."""

import time

from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.crashes.records import RunEnd
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.wire import AttemptId
from tests.crash_watch_case import CAUSE, OTHER, CrashWatchCase
from tests.raw_server import answer_with_length


class CrashRetractionTests(CrashWatchCase):
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
