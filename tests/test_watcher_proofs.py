"""Reads of the store that prove how new a node's settings are."""

import time
from io import StringIO

from expression import Ok
from testtools import TestCase

from balsamspindle.customers.freshness import Proof
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.reader import PollPlan, SettingsReader
from balsamspindle.settings.reader_selection import ReaderPosition
from balsamspindle.settings.store import SettingsStore
from balsamspindle.settings.watcher import OperatorRow, SettingsWatcher, WholeSettings
from balsamspindle.tables import Changes, Row, TableService
from balsamspindle.timeline import EventLog, HybridClock
from tests.settings_utils import PlatformServer, node_record
from tests.utils import call


class SlowTables(TableService):
    """A store with slow reads of the operator's row; `meanwhile` runs during each."""

    def __init__(self) -> None:
        self.row = Row("config", 1, 1)
        self.read_s = 0.2
        self.meanwhile = lambda: None

    def read(self, table, keys):
        row = self.row
        time.sleep(self.read_s)
        self.meanwhile()
        return Ok([row])


class WatcherProofTests(TestCase):
    def setUp(self):
        super().setUp()
        self.tables = SlowTables()
        self.configuration = CurrentConfiguration()
        self.proofs: list[Proof] = []
        self.watcher = SettingsWatcher(
            self.tables,
            OperatorRow("op", "config", self._decode),
            self.configuration,
            EventLog("node", 1, HybridClock(), StringIO()),
            lambda: ReaderPosition(0, 1),
            on_read=lambda *read: self.proofs.append(Proof(*read)),
        )

    @staticmethod
    def _decode(value):
        if value == "garbage":
            raise ValueError("the row can't be decoded")
        return WholeSettings(value, {})

    def test_the_age_of_a_proof_counts_from_the_start_of_the_read(self):
        # Guards against a proof that seems newer than a revision which its read missed.
        began_s = time.monotonic()
        self.watcher.renew_proof()
        (proof,) = self.proofs
        self.assertLess(proof.began_s - began_s, self.tables.read_s / 2)
        self.assertEqual(1, proof.revision)
        self.assertEqual(1, self.configuration.revision)

    def test_an_older_revision_than_the_nodes_proves_nothing(self):
        # Guards against a store that has lost the revision which revoked a key.
        self.configuration.offer(5, {})
        self.watcher.renew_proof()
        self.assertEqual([], self.proofs)

    def test_a_revision_from_a_peer_during_the_read_keeps_the_proof(self):
        self.tables.meanwhile = lambda: self.configuration.offer(5, {})
        self.watcher.renew_proof()
        self.assertEqual([1], [proof.revision for proof in self.proofs])

    def test_a_row_that_cant_be_decoded_proves_nothing(self):
        # Guards against the use of keys that the unreadable revision revokes.
        self.watcher.renew_proof()
        self.tables.row = Row("config", 2, "garbage")
        self.watcher.renew_proof()
        self.assertEqual(1, len(self.proofs))

    def test_a_wait_without_changes_proves_nothing(self):
        # Guards against a broken connection that is taken for an unchanged store.
        self.tables.wait_for_changes = lambda *_: Ok(Changes([], 1))
        self.watcher.wait_for_change(1)
        self.assertEqual([], self.proofs)


class ReaderProofTests(TestCase):
    def test_a_revision_of_another_history_proves_nothing(self):
        # Guards against the use of keys that a restored store revokes under a revision
        # which it has given to other settings before.
        platform = PlatformServer()
        self.addCleanup(platform.stop)
        store = SettingsStore(platform.tables())
        configuration, proofs = CurrentConfiguration(), []
        reader = SettingsReader(
            platform.tables(),
            configuration,
            EventLog("node", 1, HybridClock(), StringIO()),
            PollPlan(node_record(0), lambda: []),
            on_read=lambda *read: proofs.append(Proof(*read)),
        )
        store.put("crew/services/a", {})
        backup = call(platform.address, "/v1/backup").body
        store.put("crew/services/b", {})
        reader.poll()
        self.assertEqual([2], [proof.revision for proof in proofs])
        call(platform.address, "/v1/backup", "PUT", backup)
        store.put("crew/services/c", {})
        reader.poll()
        store.put("crew/services/d", {})
        reader.poll()
        self.assertEqual([2], [proof.revision for proof in proofs])
        self.assertEqual(2, configuration.revision)
