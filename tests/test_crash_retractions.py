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

    def _lose(self, sequence, content_hash, started_s, ended_s, replaced=lambda: None):
        """Run a request until its connection ends without an answer."""
        server, attempt_id = self.servers.get("server"), AttemptId("x", 1, sequence)
        self.watch.record_start(server, attempt_id, content_hash, started_s)
        replaced()
        broken = RunEnd(is_lost=True, is_broken=True)
        self.assertTrue(self.watch.record_end(server, attempt_id, broken, ended_s))

    def _lost_contents(self, now_s):
        crashes = self.history.export(now_s).crashes
        return [[run.content_hash for run in crash.runs] for crash in crashes]

    def _lose_and_answer(self, lost_s, replaced=lambda: None):
        """Crash the backend server by one run, and let its address answer another."""
        server, answered = self.servers.get("server"), AttemptId("x", 1, 2)
        self._lose(1, CAUSE, lost_s - 0.1, lost_s)
        self.watch.record_start(server, answered, OTHER, lost_s + 1.0)
        replaced()
        whole = RunEnd(is_success=True, is_answer=True)
        answered_s = lost_s + 2 * LATE_ANNOUNCEMENT_S
        self.watch.record_end(server, answered, whole, answered_s)

    def test_an_answer_before_any_announcement_retracts_no_crash(self):
        # Guards against a cause of crashes that is found too late. A replacement has
        # started at the address, but its announcement is still on its way, so requests
        # for the backend server that crashed reach the replacement.
        now_s = time.monotonic()
        self._lose_and_answer(now_s)
        self.assertEqual([[CAUSE]], self._lost_contents(now_s + 5.0))

    def test_a_late_announcement_does_not_let_an_answer_retract_the_crash(self):
        # Guards against the same, when the last announcement from before the crash
        # arrives after it.
        now_s = time.monotonic()
        late_s = now_s + LATE_ANNOUNCEMENT_S / 2
        self._lose_and_answer(now_s, lambda: self._announce("1", late_s))
        self.assertEqual([[CAUSE]], self._lost_contents(now_s + 5.0))

    def test_an_answer_after_the_replacement_retracts_no_crash(self):
        # Guards against the same, when the replacement announces itself while it runs
        # a request that was sent to its predecessor.
        self._announce_first()
        now_s = time.monotonic()
        self.servers.get("server").announced_s = now_s + 2 * LATE_ANNOUNCEMENT_S
        self._lose_and_answer(now_s, lambda: self._announce_another(1))
        self.assertEqual([[CAUSE]], self._lost_contents(now_s + 5.0))

    def test_the_crash_of_an_unannounced_replacement_is_reported(self):
        # Guards against a cause of crashes that is found too late because only the
        # first of two processes that it crashed had announced itself.
        now_s = time.monotonic()
        self._lose(1, CAUSE, now_s, now_s + 0.1)
        self._lose(2, CAUSE, now_s + 1.2, now_s + 1.3)
        self.assertEqual([[CAUSE], [CAUSE]], self._lost_contents(now_s + 2.0))

    def test_a_run_that_began_right_after_a_crash_is_lost_in_no_further_crash(self):
        # Guards against one crash that counts twice. A request is sent on an idle
        # connection whose end the gate has not noticed yet.
        now_s = time.monotonic()
        self._lose(1, CAUSE, now_s, now_s + 0.1)
        self._lose(2, OTHER, now_s + 0.101, now_s + 0.102)
        self.assertEqual([[CAUSE]], self._lost_contents(now_s + 2.0))

    def test_a_crash_of_an_announced_replacement_is_not_reported_twice(self):
        # Guards against a harmless request that seems to have run alone at a crash. It
        # was sent to the predecessor, so its run is not listed with those of the
        # replacement.
        self._announce_first()
        now_s = time.monotonic()
        self._lose(1, CAUSE, now_s, now_s + 0.1)
        self._lose(
            2, OTHER, now_s + 1.2, now_s + 1.3, lambda: self._announce_another(1)
        )
        self.assertEqual([[CAUSE]], self._lost_contents(now_s + 2.0))

    def test_a_run_that_began_before_a_crash_is_lost_in_that_crash_only(self):
        # Guards against one crash that counts twice against a request, since the end of
        # the request's connection is noticed late.
        server, now_s = self.servers.get("server"), time.monotonic()
        self.watch.record_start(server, AttemptId("x", 1, 1), OTHER, now_s)
        self._lose(2, CAUSE, now_s, now_s + 0.1)
        self._lose(3, CAUSE, now_s + 1.2, now_s + 1.3)
        broken = RunEnd(is_lost=True, is_broken=True)
        self.watch.record_end(server, AttemptId("x", 1, 1), broken, now_s + 1.4)
        contents = self._lost_contents(now_s + 2.0)
        self.assertEqual([{CAUSE, OTHER}, {CAUSE}], list(map(set, contents)))

    def test_a_crash_after_a_retracted_one_is_reported(self):
        # Guards against a cause of crashes whose later crashes count no more, because
        # an earlier crash of the same process was reported by mistake.
        now_s = time.monotonic()
        self._lose_and_answer(
            now_s, lambda: self._announce("1", now_s + 2 * LATE_ANNOUNCEMENT_S)
        )
        self._lose(3, CAUSE, now_s + 3.0, now_s + 3.1)
        self.assertEqual([[], [CAUSE]], self._lost_contents(now_s + 4.0))

    def test_an_answer_retracts_all_crashes_of_a_process(self):
        # Guards against suspected requests whose backend server refused connections
        # more than once, but has not crashed.
        now_s = time.monotonic()
        self._lose(4, OTHER, now_s - 1.5, now_s - 1.2)
        self._lose_and_answer(
            now_s, lambda: self._announce("1", now_s + 2 * LATE_ANNOUNCEMENT_S)
        )
        self.assertEqual([[], []], self._lost_contents(now_s + 4.0))
