"""Quarantines in the store, for restarts of the whole fleet."""

import io

from balsamspindle.crashes.book import BLOCKED_S, CrashBook
from balsamspindle.crashes.keeper import (
    QUARANTINES_TABLE,
    QuarantineKeeper,
    QuarantineRow,
)
from balsamspindle.crashes.records import Crash, CrashedRun, CrashNews, Quarantine
from balsamspindle.membership import Directory
from balsamspindle.platform import HttpTableService
from balsamspindle.tables import Put, Transaction
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord
from tests.utils import PlatformInProcess

CONTENT, NOW_S, NOW_UNIX_S = 0xABC, 100.0, 1.8e9
OWN = NodeRecord("own", 1, 1, "r", "z", "-", "-", "alive")


def make_keeper(address: str) -> tuple[QuarantineKeeper, CrashBook]:
    book = CrashBook(lambda service: 6, lambda one, *_: keeper.note(one, NOW_UNIX_S))
    keeper = QuarantineKeeper(
        HttpTableService(address),
        OWN,
        Directory(),
        book,
        EventLog("own", 1, HybridClock(), io.StringIO()),
        lambda news, now_s: None,
    )
    return keeper, book


def quarantine(book: CrashBook) -> None:
    for number in range(3):
        crash = Crash(f"server-{number}", 1, "s", 0, (CrashedRun(CONTENT, 90),))
        book.take(CrashNews([crash]), NOW_S)


def test_a_quarantine_holds_after_a_restart_of_the_whole_fleet():
    """A request that crashed backend servers is refused after all nodes lost power.

    No node has it in memory. Without the stored row it would crash three more backend
    servers.
    """
    store = PlatformInProcess()
    try:
        keeper, book = make_keeper(store.address)
        quarantine(book)
        assert keeper.write()
        keeper, book = make_keeper(store.address)
        assert not book.standing(CONTENT, NOW_S).blocked_ms
        assert keeper.read(NOW_S, NOW_UNIX_S + 60)
        left_ms = book.standing(CONTENT, NOW_S).blocked_ms
        assert abs(left_ms - (BLOCKED_S - 60) * 1000) < 10
        book.answered(CONTENT, NOW_S)
        assert keeper.write()
        keeper, book = make_keeper(store.address)
        keeper.read(NOW_S, NOW_UNIX_S)
        assert not book.standing(CONTENT, NOW_S).blocked_ms
    finally:
        store.stop()


def test_a_row_is_written_when_the_store_is_available_again():
    store = PlatformInProcess()
    keeper, book = make_keeper(store.address)
    try:
        store.set_fault(mode="down")
        assert not keeper.read(NOW_S, NOW_UNIX_S)
        quarantine(book)
        assert book.standing(CONTENT, NOW_S).blocked_ms
        assert not keeper.write()
        store.set_fault(mode="none")
        assert keeper.write()
        rows = HttpTableService(store.address).scan(QUARANTINES_TABLE).ok
        assert [row.key for row in rows] == [f"{CONTENT:016x}"]
    finally:
        store.stop()


def test_a_row_with_a_later_term_is_not_overwritten():
    """Two nodes write; the later quarantine wins in whatever order they write."""
    store = PlatformInProcess()
    try:
        tables = HttpTableService(store.address)
        keeper, _ = make_keeper(store.address)
        keeper.note(Quarantine(CONTENT, 3, 1000), NOW_UNIX_S)
        assert keeper.write()
        keeper.note(Quarantine(CONTENT, 2, 9000), NOW_UNIX_S)
        assert keeper.write()
        assert tables.scan(QUARANTINES_TABLE).ok[0].value["term"] == 3
    finally:
        store.stop()


def test_invalid_rows_are_skipped():
    store = PlatformInProcess()
    try:
        tables = HttpTableService(store.address)
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
        keeper, book = make_keeper(store.address)
        assert keeper.read(NOW_S, NOW_UNIX_S)
        assert book.standing(CONTENT, NOW_S).blocked_ms
    finally:
        store.stop()
