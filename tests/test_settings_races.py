"""Concurrent edits of the settings, also while calls to the platform fail."""

import random
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import NamedTuple

from expression import Error, Result
from testtools import TestCase

from balsamspindle.platform.object_store import HttpObjectStore
from balsamspindle.settings.configuration import Configuration, CurrentConfiguration
from balsamspindle.settings.history import (
    DocumentDiff,
    change_diffs,
    read_changes,
    read_fleet,
    read_team_history,
)
from balsamspindle.settings.loading import load_from_snapshot
from balsamspindle.settings.reader import PollPlan, SettingsReader
from balsamspindle.settings.recovery import restart_history
from balsamspindle.settings.rows import next_chain
from balsamspindle.settings.snapshots import write_snapshot
from balsamspindle.settings.store import (
    Accepted,
    Credentials,
    InvalidSettings,
    NotKnown,
    NotOwner,
    SettingsConflict,
    SettingsStore,
    SettingsUnavailable,
    Withdrawn,
    new_operation_id,
)
from balsamspindle.standins.store_faults import FaultMode, FaultSwitch
from balsamspindle.tables import TableService, Unknown, Unreachable
from tests.settings_utils import PlatformServer, node_record
from tests.utils import call

WRITERS = 8
EDITS_EACH = 10
TEAMS = ("crew", "medical", "board")
FAULTS = [
    FaultSwitch(FaultMode.LOST_REPLY, endpoint="transact", probability=0.25),
    FaultSwitch(FaultMode.REFUSE, endpoint="transact", probability=0.1),
    FaultSwitch(FaultMode.STALL, delay_s=0.5, endpoint="transact", probability=0.1),
    FaultSwitch(FaultMode.DOWN, probability=0.05),
]


class ReportedEdit(NamedTuple):
    """One edit and the result that its operator received."""

    operation_id: str
    path: str
    result: Result


class SettingsTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.platform = PlatformServer(seed=5)
        self.addCleanup(self.platform.stop)
        self.store = SettingsStore(self.platform.tables())

    def accept(self, path, document, **options):
        result = self.store.put(path, document, **options)
        self.assertTrue(result.is_ok(), result)
        return result.ok.revision

    def changes(self):
        tables = self.platform.tables()
        last = read_fleet(tables).ok.revision
        return read_changes(tables, 1, last).ok


class SettingsRaceTests(SettingsTestCase):
    def _make_edits(self, number: int) -> list[ReportedEdit]:
        """Make one operator's edits, each of a different document."""
        store = SettingsStore(self.platform.tables())
        choice = random.Random(number)
        reported = []
        for edit in range(EDITS_EACH):
            path = f"{choice.choice(TEAMS)}/services/s{number}-{edit}"
            operation_id = new_operation_id()
            # The first call already passes an operation id, like a tool that stores the
            # id before it sends the edit.
            result = store.put(path, {}, operation_id=operation_id)
            while result.is_error() and isinstance(result.error, NotKnown):
                result = store.settle(operation_id)
            reported.append(ReportedEdit(operation_id, path, result))
        return reported

    def test_no_edit_is_lost_or_made_twice_while_the_platform_fails(self):
        # Failure: an edit that was reported as accepted is missing from the log or is
        # in it twice, or an edit that was reported as not accepted is in the log. A
        # write may take effect although its reply is lost, or may take effect late.
        #
        # The store retries the edit. If the outcome remains unknown, the tool calls
        # `settle`, which returns the outcome. `settle` withdraws an edit that has not
        # taken effect, so that its delayed write fails. Meanwhile, other operators
        # change the same subtree and the fleet's revision. If the store did not check
        # the operation id, a retry would be a second edit. If the edit is not in the
        # log, the tool can't conclude that the edit failed: its write may still arrive.
        self.platform.standin.set_faults(*FAULTS)
        with ThreadPoolExecutor(WRITERS) as executor:
            reported = [
                edit
                for edits in executor.map(self._make_edits, range(WRITERS))
                for edit in edits
            ]
        self.platform.standin.set_faults()
        changes = self.changes()
        by_operation = {}
        for change in changes:
            by_operation.setdefault(change.operation_id, []).append(change)
        for edit in reported:
            found = [
                change.revision for change in by_operation.get(edit.operation_id, [])
            ]
            match edit.result:
                case Result(tag="ok", ok=Accepted(revision)):
                    self.assertEqual([revision], found)
                case Result(error=error):
                    self.assertIsInstance(
                        error, SettingsConflict | Withdrawn | SettingsUnavailable
                    )
                    self.assertEqual([], found)
        self._check_log(changes)
        accepted = {edit.path for edit in reported if edit.result.is_ok()}
        self.assertEqual(accepted, set(self.store.load().ok.documents))
        self.assertGreater(len(accepted), len(reported) // 3)

    def _check_log(self, changes):
        """Check that revisions rise by one and each change follows on the previous."""
        self.assertEqual(
            list(range(1, len(changes) + 1)), [change.revision for change in changes]
        )
        chain = ""
        for change in changes:
            self.assertEqual(chain, change.previous_chain)
            chain = next_chain(chain, change.operation_id)
            self.assertEqual(chain, change.chain)

    def test_two_teams_that_edit_at_once_both_succeed(self):
        # Failure: a team's edit is refused although nobody else edited its subtree. All
        # edits write the row of the fleet's revision, so one of two concurrent edits
        # conflicts in that row. The store must retry the edit.
        def edit(team):
            store = SettingsStore(self.platform.tables())
            return [store.put(f"{team}/services/s{n}", {}) for n in range(8)]

        with ThreadPoolExecutor(6) as executor:
            results = list(executor.map(edit, [f"team{n}" for n in range(6)]))
        self.assertEqual(
            [], [r.error for edits in results for r in edits if r.is_error()]
        )
        self.assertEqual(48, self.store.revision().ok)

    def test_a_write_that_takes_effect_after_it_was_settled_is_refused(self):
        # Failure: an edit is reported as not accepted and takes effect after that. The
        # edit's write is delayed beyond the tool's time-out. The tool does not find the
        # edit in the log and reports the edit as not accepted. Then the write arrives.
        tables = DelayedWriteTables(self.platform.tables())
        store = SettingsStore(tables, sleep=lambda pause_s: None)
        unanswered = store.put("crew/services/board", {}).error
        self.assertIsInstance(unanswered, NotKnown)
        tables.is_cut_off = False
        self.assertIsInstance(store.settle(unanswered.operation_id).error, Withdrawn)
        self.assertTrue(tables.deliver_write().is_error())
        self.assertEqual(0, self.store.revision().ok)

    def test_a_lost_reply_is_settled_by_the_log(self):
        # Failure: an edit in force is reported as not accepted, or its retry is a
        # second edit. The write takes effect, but its reply is lost and the store's
        # next calls fail.
        tables = DelayedWriteTables(self.platform.tables())
        store = SettingsStore(tables, sleep=lambda pause_s: None)
        unanswered = store.put("crew/services/board", {}).error
        self.assertTrue(tables.deliver_write().is_ok())
        tables.is_cut_off = False
        self.assertEqual(
            Accepted(1, unanswered.operation_id),
            store.settle(unanswered.operation_id).ok,
        )
        resent = store.put(
            "crew/services/board", {}, operation_id=unanswered.operation_id
        )
        self.assertEqual(1, resent.ok.revision)
        self.assertEqual(1, len(self.changes()))


class SnapshotTests(SettingsTestCase):
    def setUp(self):
        super().setUp()
        self.objects = HttpObjectStore(self.platform.address)
        for number in range(4):
            self.accept(f"crew/services/s{number}", {})

    def load(self):
        tables = self.platform.tables()
        return load_from_snapshot(tables, self.objects, read_fleet(tables).ok)

    def snapshot_now(self):
        stored = self.store.load().ok
        write_snapshot(
            self.objects,
            Configuration(stored.fleet.revision, stored.documents, stored.fleet.chain),
        )

    def test_a_snapshot_and_the_log_equal_the_rows(self):
        self.assertIsNone(self.load())
        self.snapshot_now()
        self.assertEqual(self.store.load().ok.documents, self.load().documents)
        self.accept("crew/services/s0", None)
        self.accept("crew/services/late", {})
        loaded = self.load()
        self.assertEqual(self.store.load().ok.documents, loaded.documents)
        self.assertEqual(6, loaded.revision)

    def test_a_snapshot_of_a_lost_history_is_not_used(self):
        # The tables are restored from a backup, but the object store with the snapshot
        # is not. A node that used the snapshot would serve changes that the tables no
        # longer have, mixed with new changes of the same revision numbers.
        backup = call(self.platform.address, "/v1/backup").body
        self.accept("crew/services/lost", {})
        self.snapshot_now()
        call(self.platform.address, "/v1/backup", "PUT", backup)
        self.assertIsNone(self.load())
        self.accept("crew/services/new", {})
        self.accept("crew/services/newer", {})
        self.assertIsNone(self.load())


class ReaderTests(SettingsTestCase):
    def setUp(self):
        super().setUp()
        self.events, self.offered_revision = [], -1
        self.configuration = CurrentConfiguration()
        self.reader = SettingsReader(
            self.platform.tables(),
            self.configuration,
            SimpleNamespace(emit=lambda event, **fields: self.events.append(fields)),
            PollPlan(node_record(0), lambda: []),
            offered_revision=lambda: self.offered_revision,
        )

    def test_a_replaced_node_does_not_begin_below_its_peers(self):
        # The platform is restored from a backup. A node that started with the
        # platform's settings would serve its callers by older settings than its peers.
        self.accept("crew/services/old", {})
        self.offered_revision = 4
        self.reader.poll()
        self.assertEqual(-1, self.configuration.revision)
        self.assertEqual("older", self.events[0]["state"])
        self.offered_revision = -1
        self.reader.poll()
        self.assertEqual(1, self.configuration.revision)

    def test_a_node_far_behind_a_restarted_history_catches_up(self):
        # An operator restarts the history at a revision far above the platform's own.
        # The revisions between these two have no changes. A node that waited for such
        # changes would stay behind for ever without an error.
        self.accept("crew/services/a", {})
        self.reader.poll()
        self.accept("crew/services/b", {})
        restart_history(self.platform.tables(), 1_000, Credentials(), 0.0)
        for _ in range(3):
            self.reader.poll()
        self.assertEqual(1_001, self.configuration.revision)
        self.accept("crew/services/c", {})
        self.reader.poll()
        self.assertEqual(1_002, self.configuration.revision)
        self.assertEqual(3, len(self.configuration.get().services))


class DelayedWriteTables(TableService):
    """Tables that delay their first write until `deliver_write` is called.

    Attributes
    ----------
    is_cut_off : bool
        Whether all reads and writes after the first write fail; initially True.
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables
        self._delayed = None
        self.is_cut_off = True

    def read(self, table, keys):
        if self._delayed and self.is_cut_off:
            return Error(Unreachable("cut off"))
        return self._tables.read(table, keys)

    def transact(self, transaction):
        if self._delayed is None:
            self._delayed = transaction
            return Error(Unknown("no reply"))
        if self.is_cut_off:
            return Error(Unreachable("cut off"))
        return self._tables.transact(transaction)

    def deliver_write(self):
        """Make the delayed write."""
        return self._tables.transact(self._delayed)


class SettingsEditTests(SettingsTestCase):
    def test_a_conflict_names_the_other_author_and_paths(self):
        _, version = self.store.subtree("crew").ok
        self.accept("crew/services/a", {}, credentials=Credentials("ana"))
        result = self.store.put("crew/services/b", {}, expected_version=version)
        self.assertIsInstance(result.error, SettingsConflict)
        self.assertEqual(
            ("ana", 1, ["crew/services/a"]),
            (result.error.author, result.error.revision, result.error.paths),
        )

    def test_another_teams_key_is_refused(self):
        # Without the check, a wrong path in one team's command would replace
        # another team's document without an error.
        self.assertTrue(self.store.set_fleet_key("fleet").is_ok())
        self.assertIsInstance(self.store.set_fleet_key("other").error, NotOwner)
        fleet = Credentials("root", fleet_key="fleet")
        for team in ("crew", "medical"):
            self.assertTrue(self.store.set_team_key(team, f"{team}-key", fleet).is_ok())
        crew, nobody = Credentials("ana", "crew-key"), Credentials("eve", "eve-key")
        self.accept("crew/services/a", {}, credentials=crew)
        for path in ("medical/services/a", "unowned/services/a"):
            self.assertIsInstance(self.store.put(path, {}, crew).error, NotOwner)
        self.assertIsInstance(
            self.store.put("crew/services/a", {}, nobody).error, NotOwner
        )
        self.assertIsInstance(
            self.store.set_team_key("crew", "stolen", nobody).error, NotOwner
        )
        self.assertNotIn("crew-key", str(self.store.subtree("crew").ok))

    def test_an_edit_reads_only_the_rows_that_it_needs(self):
        # With 49,000 routes, a scan of all subtrees reads megabytes for each edit.
        for team in range(20):
            self.accept(f"team{team}/services/s", {})
        self.accept("crew/routes/r", {"service": "team3/s", "execution": "idempotent"})
        counts = call(self.platform.address, "/counts").json()
        self.assertNotIn("scan", counts)
        unknown = {"service": "team3/none", "execution": "idempotent"}
        refused = self.store.put("crew/routes/q", unknown).error
        self.assertIsInstance(refused, InvalidSettings)
        self.assertEqual("crew/routes/q", refused.faults[0].path)

    def test_a_team_can_remove_a_service_that_another_teams_route_uses(self):
        # If such a removal were refused, a team could block the removal of another
        # team's service by a route to that service. After the removal, the team of the
        # route must still be able to edit its other documents.
        self.accept("medical/services/fit", {})
        self.accept("crew/services/own", {})
        route = {"service": "medical/fit", "execution": "idempotent"}
        self.accept("crew/routes/r", route)
        self.accept("medical/services/fit", None)
        self.accept("crew/services/other", {})
        self.assertIsInstance(
            self.store.put("crew/routes/r", {**route, "weight": 2}).error,
            InvalidSettings,
        )

    def test_the_log_has_authors_and_differences_of_changes(self):
        ana, ben = Credentials("ana"), Credentials("ben")
        self.accept("crew/services/a", {"queue_max": 1}, credentials=ana)
        self.accept("medical/services/a", {})
        self.accept("crew/services/a", {"queue_max": 2}, credentials=ben)
        newest, oldest = read_team_history(self.platform.tables(), "crew").ok
        self.assertEqual(["ben", "ana"], [newest.author, oldest.author])
        self.assertEqual([3, 1], [newest.revision, oldest.revision])
        self.assertEqual(
            [DocumentDiff("crew/services/a", {"queue_max": 1}, {"queue_max": 2})],
            change_diffs(newest),
        )
