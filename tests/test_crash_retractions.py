"""When an answer shows that a reported crash did not happen."""

import time

from balsamspindle.backend_servers.crash_watch import LATE_ANNOUNCEMENT_S, CrashWatch
from balsamspindle.crashes.records import RunEnd
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.wire import AttemptId
from tests.crash_watch_case import CAUSE, OTHER, CrashWatchCase
from tests.raw_server import answer_with_length


class CrashRetractionTests(CrashWatchCase):
    def test_an_answer_after_a_refused_connection_retracts_the_crash(self):
        # Guards against suspected requests whose backend server has not crashed. A
        # backend server may stop listening while its queue is long. It refuses
        # connections then, so the gate reports a crash. The backend server then
        # announces itself again. The first run that it answers after that shows that it
        # has not crashed, so all requests that ran there are cleared.
        watch = CrashWatch(self.log, self.history, is_down=lambda address: True)
        self.watch = watch
        self.gate = self._make_gate()
        self.may_end.set()
        self.assertEqual(Reason.SERVER_CRASHED, self._begin(1).result().reason)
        self.assertEqual(1, len(self.history.export(time.monotonic()).crashes[0].runs))
        self.server.answer = lambda number: (answer_with_length(b"whole"), True)
        self._announce("1", time.monotonic() + 2 * LATE_ANNOUNCEMENT_S)
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


class UnannouncedReplacementTests(CrashWatchCase):
    def setUp(self):
        super().setUp()
        self.watch = CrashWatch(self.log, self.history, is_down=lambda address: True)

    def _lose_and_answer(self, lost_s, replaced=lambda: None):
        """Crash the backend server by one run, and let its address answer another."""
        watch, server = self.watch, self.servers.get("server")
        cause, other = AttemptId("x", 1, 1), AttemptId("x", 1, 2)
        watch.record_start(server, cause, CAUSE, lost_s - 0.1)
        broken = RunEnd(is_lost=True, is_broken=True)
        self.assertTrue(watch.record_end(server, cause, broken, lost_s))
        watch.record_start(server, other, OTHER, lost_s + 1.0)
        replaced()
        whole = RunEnd(is_success=True, is_answer=True)
        watch.record_end(server, other, whole, lost_s + 2 * LATE_ANNOUNCEMENT_S)

    def _lost_content(self, now_s):
        (crash,) = self.history.export(now_s).crashes
        return [run.content_hash for run in crash.runs]

    def test_an_answer_before_any_announcement_retracts_no_crash(self):
        # Guards against a cause of crashes that is found too late. A replacement has
        # started at the address, but its announcement is still on its way, so requests
        # for the backend server that crashed reach the replacement.
        now_s = time.monotonic()
        self._lose_and_answer(now_s)
        self.assertEqual([CAUSE], self._lost_content(now_s + 5.0))

    def test_a_late_announcement_does_not_let_an_answer_retract_the_crash(self):
        # Guards against the same, when the last announcement from before the crash
        # arrives after it.
        now_s = time.monotonic()
        late_s = now_s + LATE_ANNOUNCEMENT_S / 2
        self._lose_and_answer(now_s, lambda: self._announce("1", late_s))
        self.assertEqual([CAUSE], self._lost_content(now_s + 5.0))

    def test_an_answer_after_the_replacement_retracts_no_crash(self):
        # Guards against the same, when the replacement announces itself while it runs
        # a request that was sent to its predecessor.
        self._announce_first()
        now_s = time.monotonic()
        self.servers.get("server").announced_s = now_s + 2 * LATE_ANNOUNCEMENT_S
        self._lose_and_answer(now_s, lambda: self._announce_another(1))
        self.assertEqual([CAUSE], self._lost_content(now_s + 5.0))
