"""The client of the platform's metadata store.

One HTTP call for each call of the interface, on a connection of its own: a
reused one would let libcurl send a write a second time by itself.

What an answer proves: 503 and 429 mean that nothing was done, and so does a
connection that was never up. Any other silence leaves a write in doubt; it
may even take effect later.

The store may come back from a copy of itself that is some seconds old, and tells a new
era then (see `balsamspindle.tables.eras`). Versions that the product keeps are of one
era: nothing is written, and no wait goes on, by one of an earlier era.
"""

from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from expression import Error, Ok, Result

from balsamspindle.platform.store_calls import StoreAnswer, Waits, call_store
from balsamspindle.platform.values import (
    PlatformFormatError,
    decode_value,
    encode_value,
)
from balsamspindle.tables import (
    Changes,
    Check,
    Conflict,
    HistoryLost,
    ObjectStore,
    PlatformError,
    Row,
    StoreEras,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)
from balsamspindle.tables.eras import era_of, number_of, pack_version

__all__ = ["HttpObjectStore", "HttpTableService"]

# Rows of one answer; the store's own bound.
PAGE_ROWS_MAX = 500
# Rows between those asked for that one answer may bring along.
OTHER_ROWS_MAX = 16
# All of the product's rows lie in one part, so that a transaction may write
# several tables.
PART = ""
_AFTER_KEY = "\0"

_OK, _NOT_FOUND, _GONE, _CONFLICT = 200, 404, 410, 412
# Nothing was done: not taken (4xx), over a rate (429), down (503), full (507).
_REFUSALS = frozenset({400, 403, 404, 413, 429, 503, 507})


_CAME_BACK = HistoryLost("the store came back from an older copy")


class _StoredRow(msgspec.Struct):
    """A row on the wire.

    Attributes
    ----------
    ver : int
        Version of the transaction that wrote the row; 0 for one not there.
    deleted : bool
        Set in feeds, for a row that was removed.
    """

    key: str
    table: str = ""
    part: str = ""
    value: str | None = None
    ver: int = 0
    deleted: bool = False


class _Page(msgspec.Struct):
    """An answer of the store; `ver` is its newest version.

    Attributes
    ----------
    era : int
        Told by a header.
    """

    rows: list[_StoredRow] = []
    has_more: bool = False
    ver: int = 0
    era: int = 0


class HttpTableService(TableService):
    """The store's tables at one address.

    Parameters
    ----------
    eras : StoreEras, default=one of its own
        What the process knows of the store's eras.
    """

    def __init__(self, address: str, eras: StoreEras | None = None) -> None:
        self._url = f"http://{address}"
        self._eras = eras or StoreEras()
        self._waits = Waits()

    @property
    def era(self):
        """See `TableService`."""
        return self._eras.newest

    @property
    def answered_s(self):
        """See `TableService`."""
        return self._eras.answered_s

    def end_waits(self):
        """See `TableService.end_waits`."""
        self._waits.end()

    def read(self, table, keys):
        """See `TableService.read`: as of one moment when the keys lie close."""
        if not keys:
            return Ok([])
        wanted = sorted(set(keys))
        rows: dict[str, Row] = {}
        while wanted:
            page = self._read_page(
                table, wanted[0], wanted[-1] + _AFTER_KEY, len(wanted) + OTHER_ROWS_MAX
            )
            if page.is_error():
                return page
            rows |= {row.key: row for row in _rows(page.ok)}
            if not page.ok.has_more:
                break
            # Rows of others lie between; go on with the first key behind them.
            last = page.ok.rows[-1].key
            wanted = [key for key in wanted if key > last]
        return Ok([rows.get(key, Row(key, 0)) for key in keys])

    def scan(self, table):
        """See `TableService.scan`."""
        return self.snapshot(table).map(lambda changes: changes.rows)

    def snapshot(self, table):
        """See `TableService.snapshot`."""
        return self._read_all(table)

    def transact(self, transaction: Transaction) -> Result[int, PlatformError]:
        """See `TableService.transact`."""
        checks = transaction.checks
        read_in = [era_of(check.version) for check in checks if check.version]
        if any(era != self._eras.newest for era in read_in):
            return self._read_checked(checks)
        body = msgspec.json.encode(_transaction_body(transaction))
        match call_store("POST", f"{self._url}/rows-tx", body):
            case Result(tag="ok", ok=StoreAnswer(200) as answer):
                return self._decoded(answer).bind(lambda page: _written(page, read_in))
            case Result(tag="ok", ok=StoreAnswer(412) as answer):
                return self._decoded(answer).bind(
                    lambda page: Error(Conflict(_checked_rows(transaction, page)))
                )
            case result:
                return _failure(result)

    def _read_checked(self, checks: list[Check]) -> Result[int, PlatformError]:
        """Answer a transaction whose rows were read before the store came back.

        Sent by the numbers alone, it could find others' rows under them.
        """
        rows: list[Row] = []
        for check in checks:
            match self.read(check.table, [check.key]):
                case Result(tag="ok", ok=found):
                    rows += found
                case failed:
                    return failed
        return Error(Conflict(rows))

    def wait_for_changes(self, table, after_version, wait_s):
        """See `TableService.wait_for_changes`."""
        if era_of(after_version) != self._eras.newest:
            return Error(_CAME_BACK)
        wait_ms = int(wait_s * 1000)
        after = number_of(after_version)
        query = {"table": table, "after": after, "wait_ms": wait_ms}
        url = f"{self._url}/rows-feed?{urlencode(query)}"
        result = call_store(
            "GET", url, wait_ms=wait_ms, open_socket=self._waits.open_socket
        )
        self._waits.forget()
        match result:
            case Result(tag="ok", ok=StoreAnswer(200) as answer):
                return self._decoded(answer).bind(
                    lambda page: _followed(page, era_of(after_version))
                )
            case Result(tag="ok", ok=StoreAnswer(410) as answer):
                self._eras.record_answer(answer.era)
                return Error(HistoryLost("the store dropped its older changes"))
            case result:
                return _failure(result)

    def _read_all(self, table: str) -> Result[Changes, Unreachable | Unknown]:
        """Read a table page by page.

        The version is the first page's: what changed while the others were
        read comes with the next wait.
        """
        rows: list[Row] = []
        first, version = "", None
        while True:
            page = self._read_page(table, first, None, PAGE_ROWS_MAX)
            if page.is_error():
                return page
            rows += _rows(page.ok)
            if version is None:
                version = pack_version(page.ok.era, page.ok.ver)
            if page.ok.era != era_of(version):
                return Error(Unknown("the store came back older between two pages"))
            if not page.ok.has_more:
                return Ok(Changes(rows, version))
            first = rows[-1].key + _AFTER_KEY

    def _read_page(
        self, table: str, first: str, end: str | None, limit: int
    ) -> Result[_Page, Unreachable | Unknown]:
        """Read the first rows of a range of keys; without an end, of the table."""
        query = {"table": table, "part": PART, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        match call_store("GET", f"{self._url}/rows-get?{urlencode(query)}"):
            case Result(tag="ok", ok=StoreAnswer(200) as answer):
                return self._decoded(answer)
            case result:
                return _failure(result)

    def _decoded(self, answer: StoreAnswer) -> Result[_Page, Unknown]:
        """Read an answer, unless it is of an earlier era."""
        era = self._eras.record_answer(answer.era)
        if era is None:
            return Error(Unknown("the store's answer is of another era"))
        try:
            page = msgspec.json.decode(answer.body, type=_Page)
        except msgspec.MsgspecError as error:
            return Error(Unknown(f"the store's answer can't be read: {error}"))
        page.era = era
        return Ok(page)


class HttpObjectStore(ObjectStore):
    """The store's objects at one address."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"

    def get(self, name):
        """See `ObjectStore.get`."""
        match call_store("GET", f"{self._url}/blob-get/{quote(name, safe='')}"):
            case Result(tag="ok", ok=StoreAnswer(200, body)):
                return Ok(body)
            case Result(tag="ok", ok=StoreAnswer(404)):
                return Ok(None)
            case result:
                return _failure(result)

    def put(self, name, body):
        """See `ObjectStore.put`."""
        match call_store("PUT", f"{self._url}/blob-put/{quote(name, safe='')}", body):
            case Result(tag="ok", ok=StoreAnswer(200)):
                return Ok(None)
            case result:
                return _failure(result)


def _failure(result: Result) -> Result[Any, Unreachable | Unknown]:
    """Return what a call that was not answered as hoped proves."""
    match result:
        case Result(tag="ok", ok=StoreAnswer(status)) if status in _REFUSALS:
            return Error(Unreachable(f"the store refused the call ({status})"))
        case Result(tag="ok", ok=StoreAnswer(status)):
            return Error(Unknown(f"the store answered {status}"))
        case Result(error=error):
            return Error(error)


def _written(page: _Page, read_in: list[int]) -> Result[int, Unknown]:
    """Return the version that a transaction wrote.

    Where the store came back after the checked rows were read, their versions may
    stand for other rows by now: the write took effect, and not as it was meant.
    """
    if any(era != page.era for era in read_in):
        return Error(Unknown("the store came back older before it was written"))
    return Ok(pack_version(page.era, page.ver))


def _followed(page: _Page, era: int) -> Result[Changes, HistoryLost]:
    """Return what changed, unless the store went back meanwhile."""
    if page.era != era:
        return Error(_CAME_BACK)
    return Ok(Changes(_rows(page), pack_version(page.era, page.ver)))


def _rows(page: _Page) -> list[Row]:
    return [_row(stored, page.era) for stored in page.rows]


def _row(stored: _StoredRow, era: int) -> Row:
    """Return a row; one whose value is not ours to read has none."""
    version = pack_version(era, stored.ver) if stored.ver else 0
    if stored.deleted or stored.value is None:
        return Row(stored.key, 0 if stored.deleted else version)
    try:
        value = msgspec.json.decode(decode_value(stored.value))
    except (PlatformFormatError, msgspec.MsgspecError):
        # A row that somebody else wrote: its readers say what they miss.
        value = None
    return Row(stored.key, version, value)


def _checked_rows(transaction: Transaction, page: _Page) -> list[Row]:
    """Return the rows of the transaction's checks, in their order."""
    found = {(row.table, row.key): _row(row, page.era) for row in page.rows if row.ver}
    return [
        found.get((check.table, check.key), Row(check.key, 0))
        for check in transaction.checks
    ]


def _transaction_body(transaction: Transaction) -> dict[str, list]:
    written = [put for put in transaction.puts if put.value is not None]
    removals = [put for put in transaction.puts if put.value is None]
    return {
        "precondition": [
            {**_address(check), "ver": number_of(check.version)}
            for check in transaction.checks
        ],
        "upserts": [
            {**_address(put), "value": encode_value(put.value)} for put in written
        ],
        "deletes": [_address(put) for put in removals],
    }


def _address(item: Any) -> dict[str, str]:
    return {"table": item.table, "part": PART, "key": item.key}
