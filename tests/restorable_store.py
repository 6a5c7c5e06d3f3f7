"""An in-memory store that can be restored from an older copy of itself."""

import random
from collections.abc import Callable

from expression import Error, Ok

from balsamspindle.tables import (
    Conflict,
    Row,
    StoreEras,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)
from balsamspindle.tables.eras import era_of, number_of, pack_version

__all__ = ["RestorableStore", "StoreView"]


class RestorableStore:
    """The rows of a store; a restore brings back older rows and version numbers.

    Each restore begins a new era.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, object]] = {}
        self.number = 0
        self.era = 1
        self._copy = ({}, 0)

    def save_copy(self) -> None:
        self._copy = dict(self.rows), self.number

    def restore(self) -> None:
        self.rows, self.number = dict(self._copy[0]), self._copy[1]
        self.era += 1

    def row(self, table: str, key: str) -> Row:
        number, value = self.rows.get((table, key), (0, None))
        return Row(key, pack_version(self.era, number) if number else 0, value)


class StoreView(TableService):
    """One process's access to the store; calls can fail.

    Attributes
    ----------
    failure_rate : float
        Probability that a call, or the reply to a transaction, is lost.
    is_cut : bool
        Whether all calls fail.
    """

    def __init__(
        self,
        store: RestorableStore,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._rng = rng
        self._eras = StoreEras(clock=clock)
        self.failure_rate = 0.0
        self.is_cut = False

    @property
    def era(self) -> int:
        return self._eras.newest

    @property
    def answered_s(self) -> float:
        return self._eras.answered_s

    def record_era(self, era: int) -> None:
        self._eras.record_era(era)

    def read(self, table, keys):
        if self._call_fails():
            return Error(Unreachable("down"))
        self._eras.record_answer(str(self._store.era))
        return Ok([self._store.row(table, key) for key in keys])

    def scan(self, table):
        keys = sorted(key for name, key in self._store.rows if name == table)
        return self.read(table, keys)

    def transact(self, transaction: Transaction):
        if self._call_fails():
            return Error(Unreachable("down"))
        if self._call_fails():
            return Error(Unknown("the call was lost"))
        is_old = any(
            check.version and era_of(check.version) != self.era
            for check in transaction.checks
        )
        self._eras.record_answer(str(self._store.era))
        found = [
            self._store.row(check.table, check.key) for check in transaction.checks
        ]
        numbers = [number_of(check.version) for check in transaction.checks]
        if is_old or [number_of(row.version) for row in found] != numbers:
            return Error(Conflict(found))
        self._store.number += 1
        for put in transaction.puts:
            self._store.rows[put.table, put.key] = self._store.number, put.value
        if self._call_fails():
            return Error(Unknown("the reply was lost"))
        return Ok(pack_version(self._store.era, self._store.number))

    def _call_fails(self) -> bool:
        return self.is_cut or self._rng.random() < self.failure_rate
