"""A stand-in for the platform's metadata store, with fault injection.

It implements the store's published protocol::

    POST /rows-tx                         a transaction with preconditions
    GET  /rows-get?table=&part=&from=&to=&limit=
    GET  /rows-feed?table=&after=&wait_ms=
    GET  /rows-parts?table=&after=
    PUT, GET, DELETE /blob-put/ID, /blob-get/ID, /blob-drop/ID
    GET  /blob-list?prefix=&after=

and, for tests only::

    POST /faults          {"mode": M, "count": N, ...} or a list of these
    GET  /counts          number of calls by endpoint
    GET, PUT /v1/backup   all rows, as a backup that can be restored with PUT
    PUT  /op/NAME         write the operator's row of that name
    POST /compact         discard the history of changes
    POST /copy            copy the present rows and history
    POST /restore         replace rows and history by that copy, in a new era

Each fault is a `FaultSwitch`. The first fault that applies to a call takes effect.
"""

import base64
import random
import socket
import threading
import time
from typing import NamedTuple

import msgspec
from werkzeug.exceptions import HTTPException, ServiceUnavailable, TooManyRequests
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from balsamspindle.protocol.decoding import decode_json
from balsamspindle.standins.store_faults import (
    FaultMode,
    FaultSwitch,
    decode_faults,
    select_fault,
)
from balsamspindle.standins.store_rows import (
    Address,
    StoredRow,
    StoredTransaction,
    check_transaction,
)

__all__ = ["StandinPlatform"]

ROWS_MAX = 500
NAMES_MAX = 1000
WAIT_MAX_MS = 30_000


_URLS = Map(
    [
        Rule("/rows-tx", endpoint="transact", methods=["POST"]),
        Rule("/rows-get", endpoint="read", methods=["GET"]),
        Rule("/rows-feed", endpoint="feed", methods=["GET"]),
        Rule("/rows-parts", endpoint="parts", methods=["GET"]),
        Rule("/blob-put/<path:name>", endpoint="object", methods=["PUT"]),
        Rule("/blob-get/<path:name>", endpoint="object", methods=["GET"]),
        Rule("/blob-drop/<path:name>", endpoint="object", methods=["DELETE"]),
        Rule("/blob-list", endpoint="object_names", methods=["GET"]),
        Rule("/faults", endpoint="faults", methods=["POST"]),
        Rule("/v1/backup", endpoint="backup", methods=["GET", "PUT"]),
        Rule("/counts", endpoint="counts", methods=["GET"]),
        Rule("/op/<name>", endpoint="operate", methods=["PUT"]),
        Rule("/compact", endpoint="compact", methods=["POST"]),
        Rule("/copy", endpoint="copy", methods=["POST"]),
        Rule("/restore", endpoint="restore", methods=["POST"]),
    ]
)
_TEST_CALLS = frozenset(
    {"faults", "counts", "backup", "operate", "compact", "copy", "restore"}
)
ERA_HEADER = "Store-Era"
# Tables that only the operator and the platform write. After a restore of the store,
# the operator and the platform write their rows again.
_EXTERNAL_TABLES = frozenset({"op", "servers"})


class _StoreCopy(NamedTuple):
    """A copy of the store's rows and history."""

    rows: dict[Address, StoredRow]
    history: list[StoredRow]
    history_from: int
    version: int


class StandinPlatform:
    """The WSGI application of the stand-in; it keeps rows and objects in memory.

    Parameters
    ----------
    seed : int, default=0
        Seed of the random numbers that decide which calls a fault affects.
    """

    def __init__(self, seed: int = 0) -> None:
        self._changed = threading.Condition()
        self._rows: dict[Address, StoredRow] = {}
        # All writes after version `_history_from`, oldest first.
        self._history: list[StoredRow] = []
        self._history_from = 0
        self._version = 0
        self._objects: dict[str, bytes] = {}
        self._switches: list[FaultSwitch] = []
        self._random = random.Random(seed)
        self._calls: dict[str, int] = {}
        self._era = 1
        self._saved_copy = _StoreCopy({}, [], 0, 0)

    def __call__(self, environ, start_response):
        """Answer one call."""
        request = Request(environ)
        try:
            endpoint, arguments = _URLS.bind_to_environ(environ).match()
            response = self._answer(request, endpoint, arguments)
        except HTTPException as error:
            response = error
        except ValueError as error:
            response = Response(str(error), status=400)
        if isinstance(response, HTTPException):
            response = response.get_response(environ)
        response.headers[ERA_HEADER] = str(self._era)
        return response(environ, start_response)

    def set_faults(self, *faults: FaultSwitch) -> None:
        """Replace the faults in force."""
        with self._changed:
            self._switches = list(faults)

    def put_operator_row(self, name: str, value: bytes) -> int:
        """Write a row of the operator; return its version."""
        with self._changed:
            self._version += 1
            encoded = base64.b64encode(value).decode()
            self._write_row(StoredRow("op", "", name, self._version, encoded))
            self._changed.notify_all()
            return self._version

    def drop_history(self) -> None:
        """Discard the history; a feed request for discarded changes gets status 410."""
        with self._changed:
            self._history.clear()
            self._history_from = self._version
            self._changed.notify_all()

    def save_copy(self) -> None:
        """Save a copy of the rows and their history for `restore_copy`."""
        with self._changed:
            self._saved_copy = _StoreCopy(
                dict(self._rows),
                list(self._history),
                self._history_from,
                self._version,
            )

    def restore_copy(self) -> None:
        """Replace rows and history by the copy and start a new era.

        Everything written since the copy is lost, and versions continue from the
        version of the copy. In the tables of the operator and the platform, rows that
        changed since the copy are written again, as the operator and the platform
        would do after a real restore.
        """
        with self._changed:
            rewritten = [
                row
                for row in self._rows.values()
                if row.table in _EXTERNAL_TABLES
                and self._saved_copy.rows.get(row.address) != row
            ]
            self._rows = dict(self._saved_copy.rows)
            self._history = list(self._saved_copy.history)
            self._history_from = self._saved_copy.history_from
            self._version = self._saved_copy.version
            self._era += 1
            for row in rewritten:
                self._version += 1
                self._write_row(msgspec.structs.replace(row, ver=self._version))
            self._changed.notify_all()

    def _answer(self, request, endpoint, arguments):
        if endpoint in _TEST_CALLS:
            return getattr(self, f"_{endpoint}")(request, **arguments)
        fault_endpoint = endpoint
        if endpoint == "read" and "from" not in request.args:
            fault_endpoint = "scan"
        fault = self._select_fault(fault_endpoint, request.remote_addr)
        match fault.mode:
            case FaultMode.DOWN:
                raise ServiceUnavailable()
            case FaultMode.BUSY:
                raise TooManyRequests()
            case FaultMode.REFUSE:
                raise ConnectionResetError
            case FaultMode.SLOW | FaultMode.STALL:
                time.sleep(fault.delay_s)
            case FaultMode.LATE:
                self._call_later(request, endpoint, arguments, fault.delay_s)
                raise ConnectionResetError
        response = getattr(self, f"_{endpoint}")(request, **arguments)
        lost = self._select_fault(fault_endpoint, request.remote_addr, True)
        if lost.mode is FaultMode.LOST_REPLY:
            _wait_until_closed(request.environ["werkzeug.socket"])
            # werkzeug's server closes the connection without an answer when the
            # application raises a connection error.
            raise ConnectionResetError
        return response

    def _call_later(self, request, endpoint, arguments, delay_s) -> None:
        request.get_data()
        call = getattr(self, f"_{endpoint}")
        timer = threading.Timer(delay_s, lambda: call(request, **arguments))
        timer.daemon = True
        timer.start()

    def _select_fault(self, endpoint, caller_ip, is_answered=False) -> FaultSwitch:
        with self._changed:
            if not is_answered:
                self._calls[endpoint] = self._calls.get(endpoint, 0) + 1
            return select_fault(
                self._switches, endpoint, caller_ip, self._random, is_answered
            )

    # Calls for tests only.

    def _faults(self, request):
        self.set_faults(*decode_faults(request.get_data()))
        return _json({})

    def _counts(self, _request):
        with self._changed:
            return _json(self._calls)

    def _backup(self, request):
        with self._changed:
            if request.method == "PUT":
                stored = decode_json(request.get_data(), list[StoredRow])
                self._rows = {row.address: row for row in stored}
                return _json({})
            return _json(list(self._rows.values()))

    def _operate(self, request, name):
        return _json({"ver": self.put_operator_row(name, request.get_data())})

    def _compact(self, _request):
        self.drop_history()
        return _json({})

    def _copy(self, _request):
        self.save_copy()
        return _json({})

    def _restore(self, _request):
        self.restore_copy()
        return _json({})

    # The store's own calls.

    def _transact(self, request):
        transaction = decode_json(request.get_data(), StoredTransaction)
        check_transaction(transaction)
        with self._changed:
            current = [self._row(item) for item in transaction.precondition]
            expected = [item.ver for item in transaction.precondition]
            if [_version(row) for row in current] != expected:
                rows = [row.to_wire() for row in current if row is not None]
                return self._reply({"rows": rows}, status=412)
            self._version += 1
            for item in transaction.upserts:
                row = StoredRow(
                    item.table, item.part, item.key, self._version, item.value
                )
                self._write_row(row)
            for item in transaction.deletes:
                if self._row(item) is not None:
                    row = StoredRow(
                        item.table, item.part, item.key, self._version, None
                    )
                    self._write_row(row)
            self._changed.notify_all()
            return self._reply({})

    def _read(self, request):
        arguments = request.args
        limit = min(int(arguments.get("limit", ROWS_MAX)), ROWS_MAX)
        first, end = arguments.get("from", "").encode(), arguments.get("to")
        with self._changed:
            rows = sorted(
                (
                    row
                    for row in self._rows.values()
                    if row.table == arguments["table"]
                    and row.part == arguments.get("part", "")
                    and row.key.encode() >= first
                    and (end is None or row.key.encode() < end.encode())
                ),
                key=lambda row: row.key.encode(),
            )
            returned = [row.to_wire() for row in rows[:limit]]
            return self._reply({"rows": returned, "has_more": len(rows) > limit})

    def _feed(self, request):
        table, after = request.args["table"], int(request.args["after"])
        wait_ms = min(int(request.args.get("wait_ms", 0)), WAIT_MAX_MS)
        deadline_s = time.monotonic() + wait_ms / 1000
        with self._changed:
            while True:
                if not self._history_from <= after <= self._version:
                    return self._reply({}, status=410)
                rows = [
                    row.to_wire()
                    for row in self._history
                    if row.table == table and row.ver > after
                ]
                remaining_s = deadline_s - time.monotonic()
                if rows or remaining_s <= 0:
                    return self._reply({"rows": rows})
                self._changed.wait(remaining_s)

    def _parts(self, request):
        after = request.args.get("after")
        with self._changed:
            table = request.args["table"]
            rows = [row for row in self._rows.values() if row.table == table]
            parts = sorted({row.part for row in rows})
            remaining = [part for part in parts if after is None or part > after]
            body = {
                "parts": remaining[:NAMES_MAX],
                "has_more": len(remaining) > NAMES_MAX,
            }
            return self._reply(body)

    def _object(self, request, name):
        with self._changed:
            match request.method:
                case "PUT":
                    if name in self._objects and "If-None-Match" in request.headers:
                        return _json({}, status=412)
                    self._objects[name] = request.get_data()
                    return _json({})
                case "DELETE":
                    self._objects.pop(name, None)
                    return _json({})
            body = self._objects.get(name)
        return Response(body or b"", status=404 if body is None else 200)

    def _object_names(self, request):
        prefix, after = request.args.get("prefix", ""), request.args.get("after", "")
        with self._changed:
            names = sorted(
                name
                for name in self._objects
                if name.startswith(prefix) and name > after
            )
        return _json({"names": names[:NAMES_MAX], "has_more": len(names) > NAMES_MAX})

    def _row(self, item) -> StoredRow | None:
        return self._rows.get(Address(item.table, item.key, item.part))

    def _write_row(self, row: StoredRow) -> None:
        if row.value is None:
            self._rows.pop(row.address, None)
        else:
            self._rows[row.address] = row
        self._history.append(row)

    def _reply(self, body: dict, status: int = 200) -> Response:
        now_ms = int(time.monotonic() * 1000)
        return _json({**body, "ver": self._version, "now": f"{now_ms}ms"}, status)


def _version(row: StoredRow | None) -> int:
    return 0 if row is None else row.ver


def _wait_until_closed(connection: socket.socket) -> None:
    """Wait until the caller closes its connection."""
    try:
        while connection.recv(1024):
            pass
    except OSError:
        # The caller reset the connection.
        pass


def _json(value, status=200):
    body = msgspec.json.encode(value)
    return Response(body, status=status, mimetype="application/json")
