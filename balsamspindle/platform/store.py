"""The client of the platform's metadata store.

One HTTP call for each call of the interface, on a connection of its own: a
reused one would let libcurl send a write a second time by itself.

What an answer proves: 503 and 429 mean that nothing was done, and so does a
connection that was never up. Any other silence leaves a write in doubt; it
may even take effect later.
"""

import io
import socket
import threading
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import pycurl
from expression import Error, Ok, Result

from balsamspindle.platform.values import (
    PlatformFormatError,
    decode_value,
    encode_value,
)
from balsamspindle.tables import (
    Changes,
    Conflict,
    HistoryLost,
    ObjectStore,
    PlatformError,
    Row,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)

__all__ = ["HttpObjectStore", "HttpTableService"]

CONNECT_TIMEOUT_MS = 500
# The store answers in a few milliseconds; slowed sixtyfold it still does so
# well within this.
CALL_TIMEOUT_MS = 2000
# Rows of one answer; the store's own bound.
PAGE_ROWS_MAX = 500
# Rows between those asked for that one answer may bring along.
OTHER_ROWS_MAX = 16
# A connection that fell silent without a reset is found by keep-alive probes:
# after a second of silence one each second, given up after the second.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
_KEEP_ALIVE = {
    socket.TCP_KEEPIDLE: KEEP_ALIVE_IDLE_S,
    socket.TCP_KEEPINTVL: KEEP_ALIVE_INTERVAL_S,
    socket.TCP_KEEPCNT: KEEP_ALIVE_PROBES,
}
# All of the product's rows lie in one part, so that a transaction may write
# several tables.
PART = ""
_AFTER_KEY = "\0"

# Errors of libcurl after which nothing can have reached the store.
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)
_OK, _NOT_FOUND, _GONE, _CONFLICT = 200, 404, 410, 412
# Nothing was done: not taken (4xx), over a rate (429), down (503), full (507).
_REFUSALS = frozenset({400, 403, 404, 413, 429, 503, 507})


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
    """An answer of the store; `ver` is its newest version."""

    rows: list[_StoredRow] = []
    has_more: bool = False
    ver: int = 0


class _Waits:
    """The connections on which calls wait for changes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._ended = False

    def open_socket(self, _purpose, address) -> socket.socket | int:
        """Open the socket of a waiting call, unless all waits were ended."""
        with self._lock:
            if self._ended:
                return pycurl.SOCKET_BAD
            opened = _open_socket(_purpose, address)
            # A duplicate: libcurl's own may be closed and its number reused.
            self._open.add(opened.dup())
            return opened

    def forget(self) -> None:
        """Close the duplicates of calls that are over; one waits at a time."""
        with self._lock:
            while self._open:
                self._open.pop().close()

    def end(self) -> None:
        """Cut the connections of all waiting calls."""
        with self._lock:
            self._ended = True
            for opened in self._open:
                try:
                    opened.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # Not connected: the call ends by itself.
                    pass


def _call(
    method: str,
    url: str,
    body: bytes | None = None,
    wait_ms: int = 0,
    open_socket: Callable = lambda *arguments: _open_socket(*arguments),
) -> Result[tuple[int, bytes], Unreachable | Unknown]:
    """Make one call.

    Parameters
    ----------
    wait_ms : int
        How long the store may hold the answer back on purpose.
    """
    handle = pycurl.Curl()
    answer = io.BytesIO()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS + wait_ms)
    handle.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.WRITEDATA, answer)
    handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
    if body is not None:
        handle.setopt(pycurl.POSTFIELDS, body)
    try:
        handle.perform()
        return Ok((handle.getinfo(pycurl.RESPONSE_CODE), answer.getvalue()))
    except pycurl.error as error:
        code, message = error.args
        connected = handle.getinfo(pycurl.CONNECT_TIME) > 0
        if code in _NOT_SENT or not connected:
            return Error(Unreachable(message))
        return Error(Unknown(message))
    finally:
        handle.close()


def _open_socket(_purpose, address) -> socket.socket:
    """Return a socket that notices when its connection falls silent."""
    opened = socket.socket(address.family, address.socktype, address.protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _KEEP_ALIVE.items():
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened


class HttpTableService(TableService):
    """The store's tables at one address."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"
        self._waits = _Waits()

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
            rows |= {row.key: row for row in map(_row, page.ok.rows)}
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
        body = msgspec.json.encode(_transaction_body(transaction))
        match _call("POST", f"{self._url}/rows-tx", body):
            case Result(tag="ok", ok=(200, answer)):
                return _decoded(answer).map(lambda page: page.ver)
            case Result(tag="ok", ok=(412, answer)):
                return _decoded(answer).bind(
                    lambda page: Error(Conflict(_checked_rows(transaction, page.rows)))
                )
            case result:
                return _failure(result)

    def wait_for_changes(self, table, after_version, wait_s):
        """See `TableService.wait_for_changes`."""
        wait_ms = int(wait_s * 1000)
        query = {"table": table, "after": after_version, "wait_ms": wait_ms}
        url = f"{self._url}/rows-feed?{urlencode(query)}"
        result = _call("GET", url, wait_ms=wait_ms, open_socket=self._waits.open_socket)
        self._waits.forget()
        match result:
            case Result(tag="ok", ok=(200, answer)):
                return _decoded(answer).map(
                    lambda page: Changes([_row(row) for row in page.rows], page.ver)
                )
            case Result(tag="ok", ok=(410, _)):
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
            rows += map(_row, page.ok.rows)
            version = page.ok.ver if version is None else version
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
        match _call("GET", f"{self._url}/rows-get?{urlencode(query)}"):
            case Result(tag="ok", ok=(200, answer)):
                return _decoded(answer)
            case result:
                return _failure(result)


class HttpObjectStore(ObjectStore):
    """The store's objects at one address."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"

    def get(self, name):
        """See `ObjectStore.get`."""
        match _call("GET", f"{self._url}/blob-get/{quote(name, safe='')}"):
            case Result(tag="ok", ok=(200, body)):
                return Ok(body)
            case Result(tag="ok", ok=(404, _)):
                return Ok(None)
            case result:
                return _failure(result)

    def put(self, name, body):
        """See `ObjectStore.put`."""
        match _call("PUT", f"{self._url}/blob-put/{quote(name, safe='')}", body):
            case Result(tag="ok", ok=(200, _)):
                return Ok(None)
            case result:
                return _failure(result)


def _failure(result: Result) -> Result[Any, Unreachable | Unknown]:
    """Return what a call that was not answered as hoped proves."""
    match result:
        case Result(tag="ok", ok=(status, _)) if status in _REFUSALS:
            return Error(Unreachable(f"the store refused the call ({status})"))
        case Result(tag="ok", ok=(status, _)):
            return Error(Unknown(f"the store answered {status}"))
        case Result(error=error):
            return Error(error)


def _decoded(answer: bytes) -> Result[_Page, Unknown]:
    try:
        return Ok(msgspec.json.decode(answer, type=_Page))
    except msgspec.MsgspecError as error:
        return Error(Unknown(f"the store's answer can't be read: {error}"))


def _row(stored: _StoredRow) -> Row:
    """Return a row; one whose value is not ours to read has none."""
    if stored.deleted or stored.value is None:
        return Row(stored.key, 0 if stored.deleted else stored.ver)
    try:
        value = msgspec.json.decode(decode_value(stored.value))
    except (PlatformFormatError, msgspec.MsgspecError):
        # A row that somebody else wrote: its readers say what they miss.
        value = None
    return Row(stored.key, stored.ver, value)


def _checked_rows(transaction: Transaction, rows: list[_StoredRow]) -> list[Row]:
    """Return the rows of the transaction's checks, in their order."""
    found = {(row.table, row.key): _row(row) for row in rows if row.ver}
    return [
        found.get((check.table, check.key), Row(check.key, 0))
        for check in transaction.checks
    ]


def _transaction_body(transaction: Transaction) -> dict[str, list]:
    written = [put for put in transaction.puts if put.value is not None]
    removals = [put for put in transaction.puts if put.value is None]
    return {
        "precondition": [
            {**_address(check), "ver": check.version} for check in transaction.checks
        ],
        "upserts": [
            {**_address(put), "value": encode_value(put.value)} for put in written
        ],
        "deletes": [_address(put) for put in removals],
    }


def _address(item: Any) -> dict[str, str]:
    return {"table": item.table, "part": PART, "key": item.key}
