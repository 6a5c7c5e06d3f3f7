"""When readers check the store, and how a missed change ends a long poll."""

import threading
import time
from io import StringIO
from itertools import pairwise

from expression import Error, Ok
from testtools import TestCase

from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.reader_selection import (
    ReaderPosition,
    find_reader_position,
)
from balsamspindle.settings.store_checks import (
    FLEET_CHECKS_PER_S,
    POLL_ANSWER_MAX_S,
    CheckSchedule,
    PollWatch,
)
from balsamspindle.settings.watcher import OperatorRow, SettingsWatcher, WholeSettings
from balsamspindle.tables import (
    Changes,
    GuardedTableService,
    HistoryLost,
    PlatformGuard,
    Row,
    TableService,
    Unknown,
    Unreachable,
)
from balsamspindle.timeline import EventLog, HybridClock
from tests.settings_utils import node_record
from tests.utils import wait_until

WATCHERS_PER_ZONE = 8
READS_PER_S_MAX = 2_000
# A change is in force two seconds after it was confirmed; gossip needs one of them.
GAP_MAX_S = 1.0


class SilentPollTables(TableService):
    """A store that answers all calls but long polls, which wait until ended."""

    def __init__(self) -> None:
        self.row = Row("config", 1, 1)
        self.error = None
        self.polls = self.checks = 0
        self.check_ends = threading.Event()
        self.check_ends.set()
        self.poll_began, self._poll_ended = threading.Event(), threading.Event()

    def snapshot(self, table):
        return Ok(Changes([self.row], self.row.version))

    def changes_after(self, table, version):
        self.checks += 1
        self.check_ends.wait(5.0)
        if self.error is not None:
            return Error(self.error)
        rows = [self.row] if self.row.version > version else []
        return Ok(Changes(rows, self.row.version))

    def wait_for_changes(self, table, after_version, wait_s):
        self.polls += 1
        self._poll_ended.clear()
        self.poll_began.set()
        self._poll_ended.wait(wait_s)
        return Error(Unknown("no answer"))

    def interrupt_wait(self):
        self._poll_ended.set()

    def end_waits(self):
        self._poll_ended.set()


class ScheduleTests(TestCase):
    def _times_s(self, positions, from_s, to_s, readers_known=None):
        """Return the times at which readers at these positions check the store."""
        times_s = []
        for position in positions:
            schedule = CheckSchedule()
            if readers_known is not None:
                schedule.next_wait_s(ReaderPosition(0, readers_known), from_s)
            now_s = from_s + schedule.next_wait_s(position, from_s)
            while now_s < to_s:
                times_s.append(now_s)
                now_s += 0.004
                now_s += schedule.next_wait_s(position, now_s)
        return sorted(times_s)

    def test_some_reader_checks_the_store_each_second_at_any_size(self):
        # Guards against readers whose calls all begin, and are lost, at one moment.
        for count in (1, 9, 23 * WATCHERS_PER_ZONE):
            positions = [ReaderPosition(index, count) for index in range(count)]
            times_s = self._times_s(positions, 1000.0, 1120.0)
            gaps_s = [after - before for before, after in pairwise(times_s)]
            self.assertLessEqual(max(gaps_s), GAP_MAX_S, count)
            self.assertAlmostEqual(120 * FLEET_CHECKS_PER_S, len(times_s), delta=2)

    def test_nodes_cut_off_from_each_other_stay_within_the_stores_limit(self):
        # Guards against 5,600 nodes that each believe to be the only reader.
        alone = [ReaderPosition(0, 1)] * 5_600
        readers = 23 * WATCHERS_PER_ZONE
        times_s = self._times_s(alone, 1000.0, 1200.0, readers_known=readers)
        self.assertLess(len(times_s) / 200, READS_PER_S_MAX / 10)

    def test_all_readers_have_different_positions(self):
        nodes = [node_record(number) for number in range(300)]
        positions = [find_reader_position(node, nodes, 8) for node in nodes]
        found = sorted(position for position in positions if position is not None)
        count = 23 * WATCHERS_PER_ZONE
        self.assertEqual(
            [ReaderPosition(index, count) for index in range(count)], found
        )


class PollWatchTests(TestCase):
    def test_a_poll_that_misses_a_change_is_overdue(self):
        watch = PollWatch()
        self.assertFalse(watch.is_overdue(2, 0.0))
        watch.record_began(1)
        self.assertFalse(watch.is_overdue(1, 100.0))
        self.assertFalse(watch.is_overdue(2, 100.0))
        self.assertFalse(watch.is_overdue(3, 99.9 + POLL_ANSWER_MAX_S))
        self.assertTrue(watch.is_overdue(3, 100.0 + POLL_ANSWER_MAX_S))

    def test_a_poll_that_begins_later_need_not_return_the_change(self):
        # Guards against reads without end of a store that was restored from a copy.
        watch = PollWatch()
        watch.record_began(1)
        watch.is_overdue(2, 100.0)
        watch.record_ended()
        watch.record_began(2)
        self.assertFalse(watch.is_overdue(2, 200.0))


class MissedChangeTests(TestCase):
    def setUp(self):
        super().setUp()
        self.tables, self.configuration = SilentPollTables(), CurrentConfiguration()
        self.guard = PlatformGuard("node")
        self.watcher = SettingsWatcher(
            GuardedTableService(self.tables, self.guard),
            OperatorRow("op", "config", lambda value: WholeSettings(value, {})),
            self.configuration,
            EventLog("node", 1, HybridClock(), StringIO()),
            lambda: ReaderPosition(0, 1),
        )

    def _run(self):
        thread = threading.Thread(target=self.watcher.run)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.watcher.stop)
        self.assertTrue(self.tables.poll_began.wait(5.0))
        self.tables.poll_began.clear()

    def test_a_check_finds_the_change_that_the_poll_missed(self):
        # Guards against a wait at the store that is not answered and goes on.
        self._run()
        self.tables.row = Row("config", 2, 2)
        self.watcher.check_store()
        self.assertEqual(2, self.configuration.revision)

    def test_a_check_without_an_answer_does_not_delay_the_next(self):
        # Guards against a node that waits for a lost answer while the store is well.
        self._run()
        self.tables.check_ends.clear()
        self.addCleanup(self.tables.check_ends.set)
        thread = threading.Thread(target=self.watcher.run_checks)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.watcher.stop)
        wait_until(lambda: self.tables.checks >= 3, "three checks were begun", 4.0)

    def test_a_poll_that_missed_a_change_of_a_peer_is_replaced(self):
        # Guards against a reader that follows its peers and waits on in vain.
        self._run()
        self.configuration.offer(2, {})
        now_s = time.monotonic()
        self.watcher.end_overdue_poll(now_s)
        self.watcher.end_overdue_poll(now_s + POLL_ANSWER_MAX_S)
        self.assertTrue(self.tables.poll_began.wait(5.0))
        self.assertEqual(2, self.tables.polls)

    def test_lost_history_ends_the_poll(self):
        # Guards against a poll that does not hear that the history was dropped.
        self._run()
        self.tables.error = HistoryLost("dropped")
        self.watcher.check_store()
        self.assertTrue(self.tables.poll_began.wait(5.0))

    def test_a_store_with_lower_versions_is_not_read_without_end(self):
        # Guards against checks after a version that a replaced store never reaches.
        self.tables.row = Row("config", 10, 1)
        self.watcher.read_row()
        self.tables.row = Row("config", 3, 1)
        self.watcher.read_row()
        self.tables.row = Row("config", 4, 2)
        self.watcher.check_store()
        self.assertEqual(2, self.configuration.revision)

    def test_a_check_is_made_while_the_circuit_is_open_and_closes_it(self):
        # Guards against a node that waits after the store has become well again.
        for _ in range(3):
            self.guard.read(lambda: Error(Unreachable("down")))
        self.assertEqual("open", self.guard.state)
        self.watcher.read_row()
        self.assertEqual(-1, self.configuration.revision)
        self.guard.read_paced(lambda: Error(Unreachable("down")), "changes_after")
        self.assertEqual("open", self.guard.state)
        self.guard.read_paced(lambda: Ok(None), "changes_after")
        self.assertEqual("closed", self.guard.state)
