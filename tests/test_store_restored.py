"""The store is restored from a copy of itself that is some seconds old."""

import io
import time

from testtools import TestCase

from balsamspindle.backend_servers.ledger import KeyRefused, RunLedger
from balsamspindle.platform.store import HttpTableService
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.claim_eras import ClaimEras
from balsamspindle.requests.claims import ClaimsTable, GateIdentity
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.reader_selection import ReaderPosition
from balsamspindle.settings.watcher import OperatorRow, SettingsWatcher, WholeSettings
from balsamspindle.tables import (
    Check,
    Conflict,
    HistoryLost,
    Put,
    StoreEras,
    Transaction,
    Unknown,
)
from balsamspindle.tables.eras import number_of
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, Dispatch, Reply, checksum
from tests.utils import PlatformInProcess, call, encode

SERVICE = "crew/contracts"
HERE, THERE = GateIdentity("here", 1), GateIdentity("there", 1)


class RestoredStoreCase(TestCase):
    def setUp(self):
        super().setUp()
        self.store = PlatformInProcess()
        self.addCleanup(self.store.stop)
        self.eras, self.unexpected_eras = [], []
        self.known = StoreEras(self.eras.append, self.unexpected_eras.append)
        self.tables = HttpTableService(self.store.address, self.known)

    def _other_process(self) -> HttpTableService:
        """Return a client as in another process, which has not received any era yet."""
        return HttpTableService(self.store.address)

    def _put(self, key: str, value, tables=None) -> int:
        put = Put("test", key, value)
        return (tables or self.tables).transact(Transaction([], [put])).ok

    def _copy(self) -> None:
        call(self.store.address, "/copy", "POST")

    def _restore(self) -> None:
        call(self.store.address, "/restore", "POST")

    def _read(self, key: str, tables=None):
        return (tables or self.tables).read("test", [key]).ok[0]


class RestoredTableTests(RestoredStoreCase):
    def test_a_version_assigned_again_is_not_taken_for_the_earlier_one(self):
        # One operator reads a row. The store is restored from an older copy, and a
        # second operator writes the row, which gets the version number that the first
        # one read. The first operator's write must not overwrite the second's value,
        # which the first operator has never read.
        self._copy()
        read = self._put("row", "lost")
        self._restore()
        written = self._put("row", "new", self._other_process())
        self.assertEqual(number_of(read), number_of(written))
        write = Transaction([Check("test", "row", read)], [Put("test", "row", "blind")])
        result = self.tables.transact(write)
        self.assertIsInstance(result.error, Unknown)

    def test_a_write_on_a_version_of_an_earlier_era_conflicts(self):
        self._copy()
        read = self._put("row", "lost")
        self._restore()
        self._put("row", "new", self._other_process())
        self._read("another")
        write = Transaction([Check("test", "row", read)], [Put("test", "row", "blind")])
        self.assertIsInstance(self.tables.transact(write).error, Conflict)
        self.assertEqual("new", self._read("row").value)

    def test_versions_of_a_later_era_are_larger(self):
        for number in range(5):
            before = self._put(f"row-{number}", "x")
        self._put("row", "old")
        self._copy()
        self._restore()
        self.assertGreater(self._put("row", "new"), before)
        self.assertGreater(self._read("row").version, before)
        self.assertEqual([2], self.eras)

    def test_a_wait_on_a_version_assigned_again_reports_lost_history(self):
        # A node waits for changes after a version. The store is restored from an older
        # copy, and others write until the store's version number has passed the node's
        # version. Without an error, the node would never receive the changes that were
        # made up to its version.
        self._copy()
        version = self._put("a", 1)
        self._restore()
        other = self._other_process()
        self._put("missed", 1, other)
        self._put("b", 1, other)
        result = self.tables.wait_for_changes("test", version, 0.0)
        self.assertIsInstance(result.error, HistoryLost)
        self.assertEqual([2], self.eras)

    def test_an_answer_of_an_earlier_era_changes_nothing(self):
        # The answer was in flight during the restore, and its data no longer exists.
        self._put("row", 1)
        self.known.record_answer("7")
        result = self.tables.read("test", ["row"])
        self.assertIsInstance(result.error, Unknown)
        self.assertIn("is of era 1, after 7", self.unexpected_eras[-1])

    def test_an_unreadable_era_is_reported_and_ignored(self):
        self.assertEqual(0, self.known.record_answer(None))
        self.assertEqual([], self.unexpected_eras)
        self.assertEqual(3, self.known.record_answer("3"))
        self.assertIsNone(self.known.record_answer("three"))
        self.assertEqual(3, self.known.record_answer(None))
        self.assertEqual(2, len(self.unexpected_eras))
        self.assertEqual(3, self.known.newest)


class RestoredSettingsTests(RestoredStoreCase):
    def _watcher(self) -> tuple[SettingsWatcher, CurrentConfiguration]:
        configuration = CurrentConfiguration()
        log = EventLog("node", 1, HybridClock(), io.StringIO())
        row = OperatorRow(
            "op", "config", lambda value: WholeSettings(value["revision"], {})
        )
        watcher = SettingsWatcher(
            self.tables, row, configuration, log, lambda: ReaderPosition(0, 1)
        )
        return watcher, configuration

    def _operate(self, revision: int) -> None:
        call(self.store.address, "/op/config", "PUT", encode({"revision": revision}))

    def test_settings_written_again_under_a_known_version_take_effect(self):
        # Guards against a node that routes by replaced settings for ever. The node
        # waits for changes after a version that the restored store has assigned again.
        # The change that the node lacks has a lower version, so the wait would not
        # return it.
        watcher, configuration = self._watcher()
        self._operate(3)
        self._copy()
        version = watcher.read_row()
        for number in range(4):
            self._put(f"row-{number}", 1, self._other_process())
        version = watcher.wait_for_change(version) or watcher.read_row()
        self._restore()
        self._operate(5)
        for number in range(9):
            self._put(f"row-{number}", 1, self._other_process())
        version = watcher.wait_for_change(version)
        if version is None:
            watcher.read_row()
        self.assertEqual(5, configuration.revision)

    def test_settings_are_not_restored_to_an_older_revision_with_the_store(self):
        watcher, configuration = self._watcher()
        self._operate(3)
        watcher.read_row()
        self._copy()
        self._operate(5)
        watcher.read_row()
        # The operator has not written its newest settings to the restored store yet.
        call(
            self.store.address,
            "/v1/backup",
            "PUT",
            call(self.store.address, "/v1/backup").body,
        )
        self._restore()
        self._operate(3)
        watcher.read_row()
        self.assertEqual(5, configuration.revision)


class RestoredClaimTests(RestoredStoreCase):
    def _claimant(self, tables=None, eras: ClaimEras | None = None) -> KeyClaimant:
        claims = ClaimsTable(tables or self.tables, eras)
        return KeyClaimant(claims, SERVICE, "sign-7", time.monotonic() + 5.0)

    def _dispatch(self, claim) -> Dispatch:
        return Dispatch(
            AttemptId("ingress", 1, 1),
            "id",
            SERVICE,
            "server",
            Execution.NON_IDEMPOTENT,
            5000.0,
            1.0,
            "POST",
            "/sign",
            [],
            b"signed",
            checksum(b"signed"),
            idempotency_key="sign-7",
            claim=claim,
        )

    def test_a_key_whose_gate_replied_not_run_runs_after_a_restore(self):
        # After its reply `not_run`, the gate refuses all claims of the key up to the
        # version of the present claim, because another gate may have claimed the key.
        # If the restored store assigned that version to a new claim for this gate, the
        # gate would refuse each resend of the request with the reason `claim_moved`,
        # for as long as its ledger contains that version.
        ledger = RunLedger(*HERE)
        self._copy()
        for number in range(3):
            self._put(f"row-{number}", 1)
        claimant = self._claimant()
        claim = claimant.claim_for(HERE, 0.0)
        dispatch = self._dispatch(claim)
        self.assertIsNone(ledger.begin(dispatch, 1.0))
        refusal = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.SHED)
        ledger.end(dispatch, refusal, 1.0)
        self._restore()
        # In a settled era, a key without a claim counts as unclaimed.
        eras = ClaimEras()
        eras.settle(2)
        again = self._claimant(self._other_process(), eras).claim_for(HERE, 2.0)
        self.assertNotIsInstance(ledger.begin(self._dispatch(again), 3.0), KeyRefused)

    def test_a_key_whose_claim_was_lost_does_not_run_at_a_second_gate(self):
        # Guards against a second run. The first request ran at one gate, but the store
        # lost its claim in the restore. The caller got no answer and resends the key to
        # another node.
        self._copy()
        self.assertEqual(HERE, self._claimant().claim_for(HERE, 0.0)[:2])
        self._restore()
        resend = self._claimant(self._other_process())
        resend.look_up()
        claim = resend.claim_for(THERE, 0.0)
        self.assertIsInstance(claim, Reason)
