"""Quarantines in the store, which all nodes read after a restart of the fleet."""

import io

from balsamspindle.crashes.block_times import BLOCKED_S
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.quarantine_store import (
    QUARANTINES_TABLE,
    QuarantineRow,
    QuarantineStore,
)
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate, Quarantine
from balsamspindle.membership import Directory
from balsamspindle.platform.store import HttpTableService
from balsamspindle.tables import Put, Transaction
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord
from tests.utils import PlatformInProcess

CONTENT, NOW_S, NOW_UNIX_S = 0xABC, 100.0, 1.8e9
OWN = NodeRecord("own", 1, 1, "r", "z", "-", "-", "alive")


def make_store(address: str) -> tuple[QuarantineStore, CrashHistory]:
    history = CrashHistory(
        lambda service: 6, lambda one, *_: quarantine_store.record(one, NOW_UNIX_S)
    )
    quarantine_store = QuarantineStore(
        HttpTableService(address),
        OWN,
        Directory(),
        history,
        EventLog("own", 1, HybridClock(), io.StringIO()),
        lambda update, now_s: None,
    )
    return quarantine_store, history


def quarantine(history: CrashHistory) -> None:
    for number in range(3):
        crash = Crash(f"server-{number}", 1, "s", 0, (CrashedRun(CONTENT, 90),))
        history.merge(CrashUpdate([crash]), NOW_S)


def test_a_quarantine_is_in_force_after_a_restart_of_the_whole_fleet():
    """Guards against a quarantine that ends when all nodes lose power.

    After the restart, no node has the quarantine in memory. Without the stored row, the
    request would crash three more backend servers.
    """
    platform = PlatformInProcess()
    try:
        quarantine_store, history = make_store(platform.address)
        quarantine(history)
        assert quarantine_store.write()
        quarantine_store, history = make_store(platform.address)
        assert not history.status_of(CONTENT, NOW_S).blocked_ms
        assert quarantine_store.read(NOW_S, NOW_UNIX_S + 60)
        remaining_ms = history.status_of(CONTENT, NOW_S).blocked_ms
        assert abs(remaining_ms - (BLOCKED_S - 60) * 1000) < 10
        history.record_answer(CONTENT, NOW_S)
        assert quarantine_store.write()
        quarantine_store, history = make_store(platform.address)
        quarantine_store.read(NOW_S, NOW_UNIX_S)
        assert not history.status_of(CONTENT, NOW_S).blocked_ms
    finally:
        platform.stop()


def test_a_row_is_written_when_the_store_is_available_again():
    platform = PlatformInProcess()
    quarantine_store, history = make_store(platform.address)
    try:
        platform.set_fault(mode="down")
        assert not quarantine_store.read(NOW_S, NOW_UNIX_S)
        quarantine(history)
        assert history.status_of(CONTENT, NOW_S).blocked_ms
        assert not quarantine_store.write()
        platform.set_fault(mode="none")
        assert quarantine_store.write()
        rows = HttpTableService(platform.address).scan(QUARANTINES_TABLE).ok
        assert [row.key for row in rows] == [f"{CONTENT:016x}"]
    finally:
        platform.stop()


def test_a_row_with_a_later_term_is_not_overwritten():
    """Guards against a quarantine that is overwritten by an older one."""
    platform = PlatformInProcess()
    try:
        tables = HttpTableService(platform.address)
        quarantine_store, _ = make_store(platform.address)
        quarantine_store.record(Quarantine(CONTENT, 3, 1000), NOW_UNIX_S)
        assert quarantine_store.write()
        quarantine_store.record(Quarantine(CONTENT, 2, 9000), NOW_UNIX_S)
        assert quarantine_store.write()
        assert tables.scan(QUARANTINES_TABLE).ok[0].value["term"] == 3
    finally:
        platform.stop()


def test_invalid_rows_are_skipped():
    platform = PlatformInProcess()
    try:
        tables = HttpTableService(platform.address)
        rows = {"zz": {"term": 1}, "0abc": 7, "0def": {"term": "x"}}
        puts = [Put(QUARANTINES_TABLE, key, value) for key, value in rows.items()]
        good = QuarantineRow(1, NOW_UNIX_S + 9)
        puts.append(
            Put(
                QUARANTINES_TABLE,
                f"{CONTENT:016x}",
                {"term": good.term, "until_unix_s": good.until_unix_s},
            )
        )
        tables.transact(Transaction([], puts))
        quarantine_store, history = make_store(platform.address)
        assert quarantine_store.read(NOW_S, NOW_UNIX_S)
        assert history.status_of(CONTENT, NOW_S).blocked_ms
    finally:
        platform.stop()
