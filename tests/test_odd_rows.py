"""Readers of the store's tables beside rows that they can't use."""

import io
import json
import time

import pytest

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.quarantine_store import QUARANTINES_TABLE, QuarantineStore
from balsamspindle.crashes.records import TERM_MAX, Crash, CrashedRun, CrashUpdate
from balsamspindle.drains import OwnDrains
from balsamspindle.drains.records import DrainedServer
from balsamspindle.drains.store import DRAINS_TABLE, DrainStore
from balsamspindle.membership import Directory
from balsamspindle.membership.registry import MEMBERS_TABLE, Registry
from balsamspindle.platform.configuration import operator_row
from balsamspindle.platform.settings import RetryBounds
from balsamspindle.platform.store import HttpTableService
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.claims import CLAIMS_TABLE, ClaimsTable, GateIdentity
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.reader import PEERS_WAIT_MAX_S, SettingsReader
from balsamspindle.settings.results import SettingsUnavailable
from balsamspindle.settings.rows import (
    CHANGES_TABLE,
    FLEET_KEY_KEY,
    FLEET_TABLE,
    REVISION_KEY,
    REVISION_TABLE,
    SUBTREES_TABLE,
    change_key,
)
from balsamspindle.settings.store import SettingsStore
from balsamspindle.settings.watcher import SettingsWatcher
from balsamspindle.tables.row_decoder import REPORTED_MAX
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, NodeRecord, Reply, Sender, encode_member
from tests.odd_inputs import ODD_BODIES, ODD_NUMBERS, ODD_PORTS, put_raw_rows
from tests.settings_probes import configuration as operator_configuration
from tests.utils import PlatformInProcess, call

NOW_S, NOW_UNIX_S = 100.0, 1.8e9
SOUND_KEY = f"{0xABC:016x}"
OWN = NodeRecord("own", 1, 1, "r", "z", "127.0.0.1:1", "127.0.0.1:2", "alive")
ODD_KEYS = {"": "empty", "k" * 200: "200 bytes", "ключ": "non-ASCII", "\u0000": "NUL"}


@pytest.fixture
def platform():
    platform = PlatformInProcess()
    yield platform
    platform.stop()


class Reader:
    """The log of one process, and the store that it reads."""

    def __init__(self, platform):
        self.tables = HttpTableService(platform.address)
        self._stream = io.StringIO()
        self.events = EventLog("own", 1, HybridClock(), self._stream)

    def lines(self, part) -> int:
        self.events.flush()
        return sum(part in line for line in self._stream.getvalue().splitlines())

    def reported(self) -> list[str]:
        self.events.flush()
        lines = self._stream.getvalue().splitlines()
        return [line for line in lines if " event=row_unreadable " in line]


def odd_rows(table, values=(), key="odd/"):
    rows = {(table, f"{key}{name}"): body for name, body in ODD_BODIES.items()}
    rows |= {
        (table, f"{key}value/{number}"): value
        if isinstance(value, bytes)
        else json.dumps(value).encode()
        for number, value in enumerate(values)
    }
    return rows


def read_members(reader):
    found = []
    registry = Registry(
        reader.tables, OWN, Directory(), found.append, lambda: True, reader.events
    )
    registry.find_peers()
    registry.find_peers()
    return [address for addresses in found for address in addresses]


def test_odd_member_rows_name_no_node(platform):
    """Guards against an odd row that ends the search for peers of a starting node."""
    sound = {"node_id": "n", "member_address": "10.0.0.1:80"}
    values = [sound | {"member_address": f"10.0.0.1:{port}"} for port in ODD_PORTS]
    values += [sound | {"member_address": "node.example:80"}]
    values += [sound | {"member_address": "10.0.0.256:80"}]
    values += [sound | {"node_id": "n" * 65}]
    rows = odd_rows(MEMBERS_TABLE, values)
    rows |= {(MEMBERS_TABLE, key): b"[[" for key in ODD_KEYS}
    rows[MEMBERS_TABLE, "z/1"] = json.dumps(sound).encode()
    put_raw_rows(platform.address, rows)
    reader = Reader(platform)
    assert read_members(reader) == ["10.0.0.1:80"] * 2
    reported = reader.reported()
    # A row whose value is null names nothing and is well-formed.
    assert len(reported) == min(REPORTED_MAX, len(rows) - 2)
    assert max(map(len, reported)) < 1000


def test_thousands_of_odd_rows_do_not_fill_the_log(platform):
    """Guards against a flood of events from a table full of odd rows."""
    rows = {(MEMBERS_TABLE, f"odd/{number}"): b"[" for number in range(600)}
    put_raw_rows(platform.address, rows)
    reader = Reader(platform)
    assert read_members(reader) == []
    assert len(reader.reported()) == REPORTED_MAX


def test_odd_quarantine_rows_quarantine_nothing(platform):
    """Guards against an odd row that ends a starting node, or its messages to peers."""
    sound = {"term": 1, "until_unix_s": NOW_UNIX_S + 60}
    raw = json.dumps(sound).encode()
    values = [
        raw.replace(json.dumps(sound[name]).encode(), number.encode())
        for name in sound
        for number in ODD_NUMBERS
        if (name, number) not in {("until_unix_s", "1e5"), ("until_unix_s", "1.5")}
    ]
    rows = odd_rows(QUARANTINES_TABLE, values)
    for number, value in enumerate(values):
        rows[QUARANTINES_TABLE, f"{number + 1:016x}"] = value
    for key in ["٣" * 16, "f" * 200, "-" + "f" * 15, "0x" + "f" * 14, *ODD_KEYS]:
        rows[QUARANTINES_TABLE, key] = raw
    rows[QUARANTINES_TABLE, SOUND_KEY] = raw
    put_raw_rows(platform.address, rows)
    reader = Reader(platform)
    history, updates = CrashHistory(lambda service: 6), []
    store = QuarantineStore(
        reader.tables,
        OWN,
        Directory(),
        history,
        reader.events,
        lambda update, now_s: updates.append(update),
    )
    assert store.read(NOW_S, NOW_UNIX_S)
    assert [one.content_hash for one in updates[0].quarantines] == [0xABC]
    encode_member("crashes", Sender("own", 1, "10.0.0.1:80"), updates[0])
    assert history.digest()
    assert reader.reported()


def test_a_quarantine_of_the_highest_term_is_renewed():
    """Guards against an odd term for which the next quarantine can't be computed."""
    history = CrashHistory(lambda service: 6)
    update = CrashUpdate([], [])
    put = history._quarantine
    put(0xABC, TERM_MAX, NOW_S, False, NOW_S)
    for number in range(3):
        crash = Crash(f"server-{number}", 1, "s", 0, (CrashedRun(0xABC, 90),))
        update = history.merge(CrashUpdate([crash]), NOW_S + 1)
    assert update.quarantines or history.status_of(0xABC, NOW_S + 1).blocked_ms


@pytest.mark.parametrize("name", ODD_BODIES)
def test_a_node_whose_own_drains_row_is_odd_starts_and_keeps_its_drains(platform, name):
    """Guards against an odd row that ends its node, or stops it keeping its drains."""
    put_raw_rows(platform.address, {(DRAINS_TABLE, "own"): ODD_BODIES[name]})
    reader = Reader(platform)
    drains = OwnDrains("own", 1, reader.events)
    store = DrainStore(reader.tables, "own", drains, reader.events)
    assert store.update()
    assert drains.wait_restored()
    assert len(reader.reported()) == (name != "null")
    server = DrainedServer("i-1", "i-1@5", 5)
    drains._decided["i-1"], drains._number = server, 1
    assert store.update()
    [row] = reader.tables.read(DRAINS_TABLE, ["own"]).ok
    assert row.value[-1] == [["i-1", "i-1@5", 5, True]]


def test_a_drains_row_of_another_node_or_with_odd_numbers_is_not_restored(platform):
    """Guards against another writer's drains, and numbers that can't be sent on."""
    restored = []
    for node_id, incarnation in [
        ("other", 1),
        ("own", 10**30),
        ("own", -1),
        ("own", 2**63),
    ]:
        value = ["drains", node_id, incarnation, 1, [["i-1", "i-1", 0, True]]]
        put_raw_rows(
            platform.address, {(DRAINS_TABLE, "own"): json.dumps(value).encode()}
        )
        reader = Reader(platform)
        drains = OwnDrains("own", 1, reader.events, restored.append)
        assert DrainStore(reader.tables, "own", drains, reader.events).update()
        assert restored == []
        encode_member("drains", Sender("own", 1, "10.0.0.1:80"), drains.current())
        assert reader.reported()


@pytest.mark.parametrize("name", ODD_BODIES)
def test_a_key_whose_claim_is_odd_counts_neither_as_unclaimed_nor_as_claimed(
    platform, name
):
    """Guards against a second run of a request whose claim was overwritten."""
    put_raw_rows(platform.address, {(CLAIMS_TABLE, "s:key"): ODD_BODIES[name]})
    reader = Reader(platform)
    claims = ClaimsTable(reader.tables, events=reader.events)
    deadline_s = time.monotonic() + 5
    assert claims.read("s:key", deadline_s).is_error()
    gate = GateIdentity("own", 1)
    assert claims.write("s:key", 0, gate, 1.0, deadline_s) is None
    claimant = KeyClaimant(claims, "s", "key", deadline_s)
    claimant.look_up()
    assert claimant.claim_for(gate, 1.0) is Reason.CLAIMS_UNAVAILABLE
    refused = Reply(AttemptId("own", 1, 1), Outcome.NOT_RUN, Reason.CLAIMS_UNAVAILABLE)
    assert claimant.final_reply(refused).outcome is Outcome.UNKNOWN
    assert len(reader.reported()) == (name != "null")


SETTINGS_ROWS = (
    (SUBTREES_TABLE, "crew"),
    (REVISION_TABLE, REVISION_KEY),
    (FLEET_TABLE, FLEET_KEY_KEY),
)
# Well-formed values whose fields all have their defaults.
DEFAULTS = {"null", "object", "long name", "duplicate keys", "non-ASCII digits"}
SERVICE, OTHER_SERVICE = "crew/services/a", "other/services/b"


def edit_twice(tables):
    store = SettingsStore(tables, sleep=lambda _: None)
    for path in (SERVICE, OTHER_SERVICE):
        assert store.put(path, {}).is_ok()
    return store


@pytest.mark.parametrize("table, key", SETTINGS_ROWS)
@pytest.mark.parametrize("name", [one for one in ODD_BODIES if one not in DEFAULTS])
def test_an_edit_beside_an_odd_row_is_refused(platform, table, key, name):
    """Guards against an edit that begins a new history in place of an odd row."""
    reader = Reader(platform)
    store = edit_twice(reader.tables)
    put_raw_rows(platform.address, {(table, key): ODD_BODIES[name]})
    refused = store.put(SERVICE, {"queue_max": 5})
    assert isinstance(refused.error, SettingsUnavailable)
    assert len(str(refused.error)) < 500
    if table == SUBTREES_TABLE:
        assert store.subtree("crew").is_error()
        assert store.load().is_error()


def start_reader(tables, events, waited_s):
    configuration = CurrentConfiguration()
    reader = SettingsReader(tables, configuration, events, None)
    reader._started_s -= waited_s
    reader.poll()
    return reader, configuration


def test_a_starting_node_has_the_other_teams_beside_an_odd_row(platform):
    """Guards against one team's odd row that leaves a starting fleet without any."""
    log = Reader(platform)
    edit_twice(log.tables)
    rows = {
        (SUBTREES_TABLE, f"odd{n}"): body
        for n, body in enumerate(body for body in ODD_BODIES.values())
    }
    rows[SUBTREES_TABLE, "crew"] = ODD_BODIES["nested 3,000"]
    put_raw_rows(platform.address, rows)
    # Peers may have the settings as they were before.
    reader, configuration = start_reader(log.tables, log.events, 0.0)
    assert configuration.get() is None
    reader, configuration = start_reader(log.tables, log.events, PEERS_WAIT_MAX_S + 1)
    assert set(configuration.get().documents) == {OTHER_SERVICE}
    assert any("key=crew " in line for line in log.reported())


def test_a_running_node_keeps_its_settings_beside_odd_rows(platform):
    """Guards against odd rows that end the task that follows the settings."""
    log = Reader(platform)
    store = edit_twice(log.tables)
    reader, configuration = start_reader(log.tables, log.events, PEERS_WAIT_MAX_S + 1)
    assert configuration.revision == 2
    for body in ODD_BODIES.values():
        put_raw_rows(platform.address, {(SUBTREES_TABLE, "odd"): body})
        put_raw_rows(platform.address, {(CHANGES_TABLE, change_key(3)): body})
        reader.poll()
        assert configuration.revision == 2
    assert store.put(SERVICE, {"queue_max": 5}).is_ok()
    reader.poll()
    assert configuration.revision == 3
    put_raw_rows(platform.address, {(CHANGES_TABLE, change_key(3)): b"["})
    assert store.put(SERVICE, {"queue_max": 6}).is_ok()
    put_raw_rows(platform.address, {(CHANGES_TABLE, change_key(4)): b"["})
    reader.poll()
    # A change is missing in the log and a team's row is odd: the settings stay.
    assert configuration.revision == 3
    fleet = reader.platform_revision
    for name, body in ODD_BODIES.items():
        put_raw_rows(platform.address, {(REVISION_TABLE, REVISION_KEY): body})
        reader.poll()
        assert configuration.revision == 3, name
    assert fleet == 4


@pytest.mark.parametrize("name", ODD_BODIES)
def test_an_odd_configuration_is_refused_once_and_the_next_one_is_followed(
    platform, name
):
    """Guards against a configuration that ends the task that follows it."""
    log = Reader(platform)
    configuration = CurrentConfiguration()
    row = operator_row(RetryBounds(0.1, 1.0))
    watcher = SettingsWatcher(log.tables, row, configuration, log.events, lambda: None)
    for version in (1, 2):
        body = json.dumps(operator_configuration(version, 1)).encode()
        call(platform.address, "/op/config", "PUT", body)
        feed_from = watcher.read_row()
        assert configuration.revision == version
        call(platform.address, "/op/config", "PUT", ODD_BODIES[name])
        call(platform.address, "/op/other", "PUT", ODD_BODIES[name])
        assert watcher.wait_for_change(feed_from) is not None
        watcher.read_row()
        watcher.check_store()
        assert configuration.revision == version
        assert log.lines(" event=settings_refused ") == version
