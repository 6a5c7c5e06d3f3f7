"""The client of the platform's metadata store.

Each HTTP call has a connection of its own, because libcurl may send a write a second
time when a reused connection turns out to be closed.

A refusal such as 503 or 429, or a connection that could not be opened, proves that
nothing was written. After any other failure the result of a write is unknown; the write
may even take effect after the failure.

The store may be restored from a copy that is some seconds old; it then announces a new
era (see `balsamspindle.tables.eras`). A version belongs to one era: a version of an
earlier era is neither used to check a write nor to wait for changes.
"""

from typing import Any
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from balsamspindle.platform.store_calls import (
    UNAWAITED_TIMEOUT_MS,
    LongPollConnections,
    StoreAnswer,
    call_store,
    classify_failure,
)
from balsamspindle.platform.values import decode_value, encode_value
from balsamspindle.protocol.decoding import InputError, JsonDecoder
from balsamspindle.tables import (
    Changes,
    Check,
    Conflict,
    HistoryLost,
    PlatformError,
    Row,
    StoreEras,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)
from balsamspindle.tables.eras import era_of, number_of, pack_version

__all__ = ["HttpTableService"]

# Rows in one answer; the store's own limit.
PAGE_ROWS_MAX = 500
# `read` requests the range from its first to its last key. The range may contain rows
# with other keys, so `read` accepts up to this many rows more than it has keys in one
# answer.
OTHER_ROWS_MAX = 16
# All of the product's rows are in one partition (`part` on the wire), because a
# transaction may write several tables but only one partition.
PARTITION = ""
# In the order of keys, `key + _NEXT_KEY_SUFFIX` comes directly after `key`. No
# other key can lie between them.
_NEXT_KEY_SUFFIX = "\0"


_RESTORED = HistoryLost("the store was restored from an older copy")


class _StoredRow(msgspec.Struct):
    """A row on the wire.

    Attributes
    ----------
    ver : int
        Version of the transaction that wrote the row; 0 if the row does not exist.
    deleted : bool
        True only in feeds, for a row that was removed.
    """

    key: str
    table: str = ""
    part: str = ""
    value: str | None = None
    ver: int = 0
    deleted: bool = False


class _Page(msgspec.Struct):
    """An answer of the store.

    Attributes
    ----------
    ver : int
        The store's newest version.
    era : int
        The store's era. It is not in the body, but in a header.
    """

    rows: list[_StoredRow] = []
    has_more: bool = False
    ver: int = 0
    era: int = 0


_page_decoder = JsonDecoder(_Page)
_value_decoder = JsonDecoder(Any)


class HttpTableService(TableService):
    """The store's tables at one address.

    Parameters
    ----------
    eras : StoreEras, optional
        The process's record of the store's eras; by default a new one.
    """

    def __init__(self, address: str, eras: StoreEras | None = None) -> None:
        self._url = f"http://{address}"
        self._eras = eras or StoreEras()
        self._long_polls = LongPollConnections()

    @property
    def era(self):
        """See `TableService`."""
        return self._eras.newest

    @property
    def answered_s(self):
        """See `TableService`."""
        return self._eras.answered_s

    def interrupt_wait(self):
        """See `TableService.interrupt_wait`."""
        self._long_polls.shut_down_open()

    def end_waits(self):
        """See `TableService.end_waits`."""
        self._long_polls.shut_down_all()

    def read(self, table, keys):
        """See `TableService.read`.

        The rows are a consistent snapshot only if one page contains the whole range of
        keys; different pages are read at different times.
        """
        if not keys:
            return Ok([])
        remaining_keys = sorted(set(keys))
        rows: dict[str, Row] = {}
        while remaining_keys:
            page = self._read_page(
                table,
                remaining_keys[0],
                remaining_keys[-1] + _NEXT_KEY_SUFFIX,
                len(remaining_keys) + OTHER_ROWS_MAX,
            )
            if page.is_error():
                return page
            rows |= {row.key: row for row in _to_rows(page.ok)}
            if not page.ok.has_more:
                break
            # Rows with other keys filled the page, so the next page begins with the
            # first requested key after them.
            last = page.ok.rows[-1].key
            remaining_keys = [key for key in remaining_keys if key > last]
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
        checked_eras = [era_of(check.version) for check in checks if check.version]
        if any(era != self._eras.newest for era in checked_eras):
            return self._reread_checked_rows(checks)
        body = msgspec.json.encode(_transaction_body(transaction))
        match call_store("POST", f"{self._url}/rows-tx", body):
            case Result(tag="ok", ok=StoreAnswer(200) as answer):
                return self._decode_page(answer).bind(
                    lambda page: _transaction_result(page, checked_eras)
                )
            case Result(tag="ok", ok=StoreAnswer(412) as answer):
                return self._decode_page(answer).bind(
                    lambda page: Error(Conflict(_checked_rows(transaction, page)))
                )
            case result:
                return classify_failure(result)

    def _reread_checked_rows(self, checks: list[Check]) -> Result[int, PlatformError]:
        """Read a transaction's checked rows again and return them as a `Conflict`.

        Used instead of sending a transaction if a checked row was read in an earlier
        era. Since its restore, the store may have assigned the same version numbers
        again. A check could then pass on a row with other contents.
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
        result = self._feed(
            table,
            after_version,
            int(wait_s * 1000),
            open_socket=self._long_polls.open_socket,
        )
        self._long_polls.close_finished()
        return result

    def changes_after(self, table, version):
        """See `TableService.changes_after`."""
        return self._feed(table, version, 0, timeout_ms=UNAWAITED_TIMEOUT_MS)

    def _feed(
        self, table: str, after_version: int, wait_ms: int, **options: Any
    ) -> Result[Changes, Unreachable | Unknown | HistoryLost]:
        """Request the changes after a version; the store may wait for the first one.

        `options` are arguments of `call_store`.
        """
        if era_of(after_version) != self._eras.newest:
            return Error(_RESTORED)
        after = number_of(after_version)
        query = {"table": table, "after": after, "wait_ms": wait_ms}
        url = f"{self._url}/rows-feed?{urlencode(query)}"
        match call_store("GET", url, wait_ms=wait_ms, **options):
            case Result(tag="ok", ok=StoreAnswer(200) as answer):
                return self._decode_page(answer).bind(
                    lambda page: _feed_result(page, era_of(after_version))
                )
            case Result(tag="ok", ok=StoreAnswer(410) as answer):
                self._eras.record_answer(answer.era)
                return Error(HistoryLost("the store no longer has these older changes"))
            case result:
                return classify_failure(result)

    def _read_all(self, table: str) -> Result[Changes, Unreachable | Unknown]:
        """Read a table page by page.

        The returned version is that of the first page. A wait for changes after this
        version therefore returns the rows that changed while later pages were read.
        """
        rows: list[Row] = []
        first, version = "", None
        while True:
            page = self._read_page(table, first, None, PAGE_ROWS_MAX)
            if page.is_error():
                return page
            rows += _to_rows(page.ok)
            if version is None:
                version = pack_version(page.ok.era, page.ok.ver)
            if page.ok.era != era_of(version):
                return Error(Unknown("the store was restored between two pages"))
            if not page.ok.has_more:
                return Ok(Changes(rows, version))
            first = rows[-1].key + _NEXT_KEY_SUFFIX

    def _read_page(
        self, table: str, first: str, end: str | None, limit: int
    ) -> Result[_Page, Unreachable | Unknown]:
        """Read the first rows with keys from `first` to before `end`.

        If `end` is None, the range ends with the table.
        """
        query = {"table": table, "part": PARTITION, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        match call_store("GET", f"{self._url}/rows-get?{urlencode(query)}"):
            case Result(tag="ok", ok=StoreAnswer(200) as answer):
                return self._decode_page(answer)
            case result:
                return classify_failure(result)

    def _decode_page(self, answer: StoreAnswer) -> Result[_Page, Unknown]:
        """Decode an answer; it is an error if `StoreEras` rejects the answer's era."""
        era = self._eras.record_answer(answer.era)
        if era is None:
            return Error(Unknown("the store's answer belongs to another era"))
        try:
            page = _page_decoder.decode(answer.body)
        except InputError as error:
            return Error(Unknown(f"the store's answer can't be decoded: {error}"))
        page.era = era
        return Ok(page)


def _transaction_result(page: _Page, checked_eras: list[int]) -> Result[int, Unknown]:
    """Return the version that a transaction wrote.

    Returns `Unknown` if the store was restored after the checked rows were read. After
    the restore, the same versions may belong to other contents. The checks then prove
    nothing, although the store wrote the transaction.
    """
    if any(era != page.era for era in checked_eras):
        return Error(Unknown("the store was restored before the write"))
    return Ok(pack_version(page.era, page.ver))


def _feed_result(page: _Page, era: int) -> Result[Changes, HistoryLost]:
    """Return the changes; an error if the store was restored during the wait."""
    if page.era != era:
        return Error(_RESTORED)
    return Ok(Changes(_to_rows(page), pack_version(page.era, page.ver)))


def _to_rows(page: _Page) -> list[Row]:
    return [_to_row(stored, page.era) for stored in page.rows]


def _to_row(stored: _StoredRow, era: int) -> Row:
    """Convert a row; its value is None if the stored value can't be decoded.

    The row's `fault` then says why.
    """
    version = pack_version(era, stored.ver) if stored.ver else 0
    if stored.deleted or stored.value is None:
        return Row(stored.key, 0 if stored.deleted else version)
    try:
        return Row(
            stored.key, version, _value_decoder.decode(decode_value(stored.value))
        )
    except InputError as error:
        # Nodes are not the only writers of rows: another program, or the operator, may
        # have stored this value. The other rows of the page hold.
        return Row(stored.key, version, None, str(error))


def _checked_rows(transaction: Transaction, page: _Page) -> list[Row]:
    """Return the current rows of the transaction's checks, in the checks' order."""
    found = {
        (row.table, row.key): _to_row(row, page.era) for row in page.rows if row.ver
    }
    return [
        found.get((check.table, check.key), Row(check.key, 0))
        for check in transaction.checks
    ]


def _transaction_body(transaction: Transaction) -> dict[str, list]:
    written = [put for put in transaction.puts if put.value is not None]
    removals = [put for put in transaction.puts if put.value is None]
    return {
        "precondition": [
            {**_row_address(check), "ver": number_of(check.version)}
            for check in transaction.checks
        ],
        "upserts": [
            {**_row_address(put), "value": encode_value(put.value)} for put in written
        ],
        "deletes": [_row_address(put) for put in removals],
    }


def _row_address(item: Any) -> dict[str, str]:
    return {"table": item.table, "part": PARTITION, "key": item.key}
