"""What a node logs of its long polls for settings."""

import time
from io import StringIO

from expression import Error, Ok
from testtools import TestCase

from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.reader_selection import ReaderPosition
from balsamspindle.settings.watcher import OperatorRow, SettingsWatcher, WholeSettings
from balsamspindle.tables import Changes, Row, TableService, Unknown
from balsamspindle.timeline import EventLog, HybridClock, parse_event


class AnsweredTables(TableService):
    """A store whose waits and checks end at once with the next of their answers."""

    def __init__(self) -> None:
        self.answers, self.checks = [], []

    def snapshot(self, table):
        return Ok(Changes([Row("config", 1, 1)], 1))

    def changes_after(self, table, version):
        return self.checks.pop(0)

    def wait_for_changes(self, table, after_version, wait_s):
        return self.answers.pop(0)


class PollLogTests(TestCase):
    def setUp(self):
        super().setUp()
        self.tables = AnsweredTables()
        self.events = EventLog("node", 1, HybridClock(), StringIO())
        self.watcher = SettingsWatcher(
            self.tables,
            OperatorRow("op", "config", lambda value: WholeSettings(value, {})),
            CurrentConfiguration(),
            self.events,
            lambda: ReaderPosition(0, 1),
        )

    def _events(self, name: str) -> list[dict]:
        lines = map(parse_event, self.events.recent(0, 100).lines)
        return [line for line in lines if line["event"] == name]

    def test_each_poll_is_logged_with_its_length_and_how_it_ended(self):
        # Guards against silence of the log on what a node last heard from the store.
        self.tables.answers = [
            Ok(Changes([Row("config", 2, 2)], 2)),
            Ok(Changes([], 2)),
            Error(Unknown("timed out")),
        ]
        version = self.watcher.read_row()
        for _ in range(3):
            self.watcher.wait_for_change(version)
        polls = self._events("settings_poll_ended")
        self.assertEqual(
            ["changed", "unchanged", "failed"], [poll["ending"] for poll in polls]
        )
        self.assertEqual([0, 0, 0], [int(poll["lasted_ms"]) // 1000 for poll in polls])
        self.assertIn("timed out", polls[2]["cause"])

    def test_calls_are_logged_and_of_failures_in_a_row_the_first(self):
        # Guards against a log that does not tell how new the settings of a node are.
        self.tables.checks = [
            Ok(Changes([], 1)),
            Error(Unknown("timed out")),
            Error(Unknown("timed out")),
            Ok(Changes([], 1)),
        ]
        self.watcher.read_row()
        for _ in range(4):
            self.watcher.check_store()
        calls = [
            (line["call"], line["ending"]) for line in self._events("settings_read")
        ]
        self.assertEqual(
            [
                ("read", "answered"),
                ("check", "answered"),
                ("check", "failed"),
                ("check", "answered"),
            ],
            calls,
        )

    def test_the_age_of_the_proof_counts_from_the_start_of_an_answered_call(self):
        # Guards against a failed poll that is taken for word from the store.
        self.assertIsNone(self.watcher.proven_s)
        self.watcher.read_row()
        self.tables.answers = [Error(Unknown("timed out"))]
        time.sleep(0.05)
        self.watcher.wait_for_change(1)
        (poll,) = self._events("settings_poll_ended")
        self.assertGreaterEqual(int(poll["proof_age_ms"]), 50)
        self.assertGreaterEqual(time.monotonic() - self.watcher.proven_s, 0.05)
