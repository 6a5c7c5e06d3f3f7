"""Tests of the store's client against the stand-in for the platform's store."""

import threading
import time

from testtools import TestCase

from balsamspindle.platform.object_store import HttpObjectStore
from balsamspindle.standins.store_faults import FaultMode, FaultSwitch
from balsamspindle.tables import (
    Changes,
    Check,
    Conflict,
    HistoryLost,
    Put,
    Row,
    Transaction,
    Unknown,
    Unreachable,
)
from tests.settings_utils import PlatformServer


class StoreTests(TestCase):
    def setUp(self):
        super().setUp()
        self.server = PlatformServer()
        self.addCleanup(self.server.stop)
        self.tables = self.server.tables()

    def put(self, key, value, version=0, table="t"):
        return self.tables.transact(
            Transaction([Check(table, key, version)], [Put(table, key, value)])
        )

    def set_fault(self, mode, **changes):
        self.server.standin.set_faults(FaultSwitch(mode, **changes))

    def test_a_write_conflicts_if_a_checked_row_has_changed(self):
        first = self.put("a", {"n": 1}).ok
        self.assertEqual([Row("a", first, {"n": 1})], self.tables.read("t", ["a"]).ok)
        conflict = self.put("a", {"n": 2}).error
        self.assertEqual(Conflict([Row("a", first, {"n": 1})]), conflict)
        second = self.put("a", {"n": 2}, first).ok
        self.assertGreater(second, first)
        self.assertEqual([Row("a", second, {"n": 2})], self.tables.scan("t").ok)

    def test_a_conflict_returns_each_checked_row_even_if_missing(self):
        version = self.put("a", 1).ok
        transaction = Transaction(
            [Check("t", "b", 7), Check("t", "a", 0)], [Put("t", "b", 1)]
        )
        conflict = self.tables.transact(transaction).error
        self.assertEqual(Conflict([Row("b", 0), Row("a", version, 1)]), conflict)

    def test_a_removed_row_is_missing(self):
        version = self.put("a", 1).ok
        self.put("a", None, version)
        self.assertEqual([Row("a", 0)], self.tables.read("t", ["a"]).ok)
        self.assertEqual([], self.tables.scan("t").ok)

    def test_many_rows_are_read_in_pages_and_returned_in_the_requested_order(self):
        keys = [f"{number:04}" for number in range(1200)]
        for start in range(0, len(keys), 100):
            puts = [Put("t", key, key) for key in keys[start : start + 100]]
            self.assertTrue(self.tables.transact(Transaction([], puts)).is_ok())
        self.assertEqual(keys, [row.key for row in self.tables.scan("t").ok])
        wanted = ["1199", "0000", "nowhere", "0600"]
        found = self.tables.read("t", wanted).ok
        self.assertEqual(wanted, [row.key for row in found])
        self.assertEqual(["1199", "0000", None, "0600"], [row.value for row in found])

    def test_a_wait_ends_when_a_row_changes(self):
        self.put("a", 1)
        start = self.tables.snapshot("t").ok
        timer = threading.Timer(0.3, lambda: self.put("b", 2))
        timer.start()
        begun_s = time.monotonic()
        changes = self.tables.wait_for_changes("t", start.version, 10).ok
        self.assertTrue(0.2 < time.monotonic() - begun_s < 5)
        self.assertEqual(["b"], [row.key for row in changes.rows])
        nothing = self.tables.wait_for_changes("t", changes.version, 0.1).ok
        self.assertEqual(Changes([], changes.version), nothing)

    def test_a_wait_at_the_store_ends_when_the_node_ends(self):
        # A node that is leaving is killed if it has not ended after some seconds. A
        # wait for changes can last 25 s, so a wait that is not interrupted would get
        # the node killed.
        start = self.tables.snapshot("t").ok
        timer = threading.Timer(0.3, self.tables.end_waits)
        timer.start()
        begun_s = time.monotonic()
        result = self.tables.wait_for_changes("t", start.version, 20)
        self.assertTrue(result.is_error())
        self.assertLess(time.monotonic() - begun_s, 5)
        # A wait that begins later fails at once.
        self.assertTrue(self.tables.wait_for_changes("t", 0, 20).is_error())
        self.assertLess(time.monotonic() - begun_s, 5)

    def test_after_a_lost_history_the_table_can_be_read_again(self):
        start = self.tables.snapshot("t").ok
        self.put("a", 1)
        self.server.standin.drop_history()
        lost = self.tables.wait_for_changes("t", start.version, 0.1).error
        self.assertIsInstance(lost, HistoryLost)
        self.assertEqual(["a"], [row.key for row in self.tables.snapshot("t").ok.rows])

    def test_only_a_refusal_proves_that_nothing_was_written(self):
        # After a 503 (down) or a 429 (busy) nothing was written. After a connection
        # that ends without an answer, the write may have taken effect already, or may
        # take effect seconds later.
        error_types = {
            FaultMode.DOWN: Unreachable,
            FaultMode.BUSY: Unreachable,
            FaultMode.REFUSE: Unknown,
            FaultMode.LOST_REPLY: Unknown,
            FaultMode.LATE: Unknown,
        }
        for mode, error_type in error_types.items():
            self.set_fault(mode, count=1, delay_s=0.1)
            self.assertIsInstance(self.put(mode.value, 1).error, error_type, mode)
        time.sleep(0.5)
        written = {row.key for row in self.tables.scan("t").ok}
        self.assertEqual({FaultMode.LOST_REPLY, FaultMode.LATE}, written)

    def test_a_write_to_the_operators_table_is_refused(self):
        self.assertIsInstance(self.put("config", 1, table="op").error, Unreachable)

    def test_a_row_that_is_not_json_is_read_without_a_value(self):
        self.server.standin.put_operator_row("config", b"\xff{")
        [row] = self.tables.read("op", ["config"]).ok
        self.assertIsNone(row.value)
        self.assertGreater(row.version, 0)

    def test_an_object_is_read_as_it_was_written(self):
        objects = HttpObjectStore(self.server.address)
        self.assertIsNone(objects.get("settings/snapshot").ok)
        objects.put("settings/snapshot", b"\x00whole")
        self.assertEqual(b"\x00whole", objects.get("settings/snapshot").ok)
