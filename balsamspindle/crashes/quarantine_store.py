"""Stores quarantines in the platform's tables, to survive a restart of the fleet.

Nodes send each other their quarantines, but lose them when their processes end. After a
power loss of the whole fleet, a quarantined request would crash three backend servers
before it was quarantined again. So each quarantine is written as a row of a table,
which each node reads at its start. While the platform is unavailable, nodes still send
each other their quarantines, and write the rows later.
"""

import random
import re
import threading
import time
from collections.abc import Callable
from typing import Annotated

import msgspec
import xxhash
from expression import Result

from balsamspindle.crashes.block_times import BLOCKED_MAX_S
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import CrashUpdate, Quarantine, Term
from balsamspindle.membership.directory import Directory
from balsamspindle.tables import Check, Put, Row, RowDecoder, TableService, Transaction
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["QUARANTINES_TABLE", "QuarantineStore", "QuarantineRow"]

QUARANTINES_TABLE = "quarantines"
# Number of nodes that write the row of a quarantine. There are two in case one of them
# cannot reach the platform.
WRITERS = 2
# Before a node writes a row, it waits for a random time up to this. So the second
# writer usually finds the row of the first and need not write.
WRITE_DELAY_MAX_S = 1.0
RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S = 0.6, 30.0
PENDING_MAX = 1000
# The end of the year 9999, the last time that usual formats of a time can have.
UNIX_MAX_S = 253_402_300_799
# The longest time for which any quarantine blocks a request.
REMAINING_MAX_MS = round(BLOCKED_MAX_S * 1000)

_is_key = re.compile(r"[0-9a-f]{16}").fullmatch


class QuarantineRow(msgspec.Struct, frozen=True):
    """The value of one row; the key is the request's content hash in hexadecimal.

    See `Quarantine` for `term` and `is_lifted`.

    Attributes
    ----------
    until_unix_s : float
        Time until which the request is blocked, by the writer's wall clock.
    """

    term: Term
    until_unix_s: Annotated[float, msgspec.Meta(ge=0, le=UNIX_MAX_S)]
    is_lifted: bool = False


class QuarantineStore:
    """Reads the stored quarantines once and then writes new ones.

    Parameters
    ----------
    on_update : callable
        Called after the read with two arguments: the stored quarantines that are new to
        this node, and the current time.
    """

    def __init__(
        self,
        tables: TableService,
        own: NodeRecord,
        directory: Directory,
        history: CrashHistory,
        events: EventLog,
        on_update: Callable[[CrashUpdate, float], None],
    ) -> None:
        self._tables = tables
        self._own = own
        self._directory = directory
        self._history = history
        self._events = events
        self._on_update = on_update
        self._rows = RowDecoder(QUARANTINES_TABLE, QuarantineRow, events)
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/quarantines")
        self._changed = threading.Condition()
        self._pending: dict[int, QuarantineRow] = {}
        self._stopped = False

    def run(self) -> None:
        """Read all rows once, then write new quarantines until `stop` is called."""
        is_read, retry_delay_s = False, RETRY_DELAY_MIN_S
        while not self._stopped:
            is_read = is_read or self.read(time.monotonic(), time.time())
            if is_read and self.write():
                retry_delay_s = RETRY_DELAY_MIN_S
                with self._changed:
                    self._changed.wait_for(lambda: self._pending or self._stopped)
                self._wait(self._random.uniform(0, WRITE_DELAY_MAX_S))
                continue
            self._wait(retry_delay_s * self._random.uniform(0.5, 1.5))
            retry_delay_s = min(2 * retry_delay_s, RETRY_DELAY_MAX_S)

    def stop(self) -> None:
        """Make `run` return soon; rows that are still pending may never be written."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def record(self, quarantine: Quarantine, now_unix_s: float) -> None:
        """Queue a new or lifted quarantine for writing, if this node is a writer of it.

        A hash of the request's content hash and the node id selects the `WRITERS` nodes
        that write a quarantine.
        """
        if not self._is_writer(quarantine.content_hash):
            return
        until_unix_s = now_unix_s + quarantine.left_ms / 1000
        row = QuarantineRow(quarantine.term, until_unix_s, quarantine.is_lifted)
        with self._changed:
            self._pending[quarantine.content_hash] = row
            if len(self._pending) > PENDING_MAX:
                del self._pending[next(iter(self._pending))]
            self._changed.notify_all()

    def read(self, now_s: float, now_unix_s: float) -> bool:
        """Read all rows and merge their quarantines into the history.

        Returns
        -------
        bool
            False when the rows could not be read.
        """
        match self._tables.scan(QUARANTINES_TABLE):
            case Result(tag="ok", ok=rows):
                pass
            case Result(error=error):
                self._events.emit("quarantines_unread", cause=error.message)
                return False
        parsed = [self._parse_quarantine(row, now_unix_s) for row in rows]
        update = CrashUpdate([], [one for one in parsed if one is not None])
        if parsed:
            self._events.emit(
                "quarantines_read",
                quarantines=len(update.quarantines),
                unreadable=len(parsed) - len(update.quarantines) or None,
            )
        self._on_update(self._history.merge(update, now_s), now_s)
        return True

    def write(self) -> bool:
        """Write all pending rows; return False when a row could not be written."""
        with self._changed:
            pending = dict(self._pending)
        for content_hash, row in pending.items():
            if not self._write_one(content_hash, row):
                return False
            with self._changed:
                if self._pending.get(content_hash) is row:
                    del self._pending[content_hash]
        return True

    def _write_one(self, content_hash: int, row: QuarantineRow) -> bool:
        """Write one row, unless the stored row is at least as recent.

        Returns
        -------
        bool
            False when the row could not be read or written.
        """
        key = _key(content_hash)
        match self._tables.read(QUARANTINES_TABLE, [key]):
            case Result(tag="ok", ok=[stored]):
                known = self._rows.decode(stored)
            case Result(error=error):
                self._events.emit("quarantine_unwritten", cause=error.message)
                return False
        if known is not None and _order(known) >= _order(row):
            return True
        transaction = Transaction(
            [Check(QUARANTINES_TABLE, key, stored.version)],
            [Put(QUARANTINES_TABLE, key, msgspec.to_builtins(row))],
        )
        match self._tables.transact(transaction):
            case Result(tag="ok"):
                self._events.emit("quarantine_written", content=key, term=row.term)
                return True
            case Result(error=error):
                # The other writer changed the row first, or the platform's reply was
                # lost. The next try reads the row again.
                self._events.emit("quarantine_unwritten", cause=repr(error))
        return False

    def _parse_quarantine(self, row: Row, now_unix_s: float) -> Quarantine | None:
        """Return the quarantine in a row; None when its key or value is invalid."""
        value = self._rows.decode(row)
        if value is None:
            return None
        if not _is_key(row.key):
            self._rows.report(row, "the key is no content hash")
            return None
        remaining_ms = round((value.until_unix_s - now_unix_s) * 1000)
        return Quarantine(
            int(row.key, 16),
            value.term,
            min(max(0, remaining_ms), REMAINING_MAX_MS),
            value.is_lifted,
        )

    def _is_writer(self, content_hash: int) -> bool:
        node_ids = {record.node_id for record in self._directory.alive()}
        ranked = sorted(
            node_ids | {self._own.node_id},
            key=lambda node_id: xxhash.xxh3_64_intdigest(
                f"{content_hash}/{node_id}".encode()
            ),
        )
        return self._own.node_id in ranked[:WRITERS]

    def _wait(self, wait_s: float) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._stopped, wait_s)


def _order(row: QuarantineRow) -> tuple[int, bool]:
    return row.term, row.is_lifted


def _key(content_hash: int) -> str:
    return f"{content_hash:016x}"
