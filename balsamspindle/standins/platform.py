"""A stand-in for the platform, with switches for its faults.

Calls (JSON bodies)::

    POST /v1/tables/read      {"table": T, "keys": [K, ...]}
    POST /v1/tables/scan      {"table": T}
    POST /v1/tables/transact  {"checks": [...], "puts": [...]}
    GET, PUT /v1/objects/NAME
    POST /faults              {"mode": M, "count": N, ...} or a list of these
    GET /counts               calls of each endpoint
    GET, PUT /v1/backup       all rows, as a backup that can be put back

Each fault is a `FaultSwitch`; a call meets the first one that takes it.
"""

import random
import threading
import time
from enum import StrEnum

import msgspec
from werkzeug.exceptions import HTTPException, ServiceUnavailable
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from balsamspindle.platform.protocol import Row, Transaction

__all__ = ["FaultMode", "FaultSwitch", "StandinPlatform"]


class FaultMode(StrEnum):
    """How the stand-in misbehaves."""

    NONE = "none"
    DOWN = "down"
    REFUSE = "refuse"
    SLOW = "slow"
    STALL = "stall"
    LOST_REPLY = "lost_reply"


class FaultSwitch(msgspec.Struct):
    """One fault.

    Attributes
    ----------
    mode : FaultMode
        ``down`` answers 503, ``refuse`` closes the connection without an
        effect, ``slow`` takes effect after a delay, ``stall`` does so
        although the caller has long given up, ``lost_reply`` takes effect
        and closes the connection.
    count : int or None
        Calls that meet it; None until the faults are changed.
    delay_s : float
        Delay of ``slow`` and ``stall``.
    endpoint : str or None
        ``read``, ``scan``, ``transact`` or ``object``; None for all.
    probability : float
        Part of the calls that meet it.
    """

    mode: FaultMode = FaultMode.NONE
    count: int | None = None
    delay_s: float = 1.0
    endpoint: str | None = None
    probability: float = 1.0


class _StoredRow(msgspec.Struct):
    table: str
    row: Row


_URLS = Map(
    [
        Rule("/v1/tables/read", endpoint="read", methods=["POST"]),
        Rule("/v1/tables/scan", endpoint="scan", methods=["POST"]),
        Rule("/v1/tables/transact", endpoint="transact", methods=["POST"]),
        Rule("/v1/objects/<path:name>", endpoint="object", methods=["GET", "PUT"]),
        Rule("/faults", endpoint="faults", methods=["POST"]),
        Rule("/v1/backup", endpoint="backup", methods=["GET", "PUT"]),
        Rule("/counts", endpoint="counts", methods=["GET"]),
    ]
)


class StandinPlatform:
    """A WSGI application that keeps tables and objects in memory.

    Parameters
    ----------
    seed : int, default=0
        Of the draws that decide which calls meet a fault.
    """

    def __init__(self, seed: int = 0) -> None:
        self._lock = threading.Lock()
        self._rows: dict[tuple[str, str], Row] = {}
        self._objects: dict[str, bytes] = {}
        self._faults: list[FaultSwitch] = []
        self._random = random.Random(seed)
        self._calls: dict[str, int] = {}

    def __call__(self, environ, start_response):
        """Answer one call."""
        request = Request(environ)
        try:
            endpoint, arguments = _URLS.bind_to_environ(environ).match()
            response = self._answer(request, endpoint, arguments)
        except HTTPException as error:
            response = error
        except msgspec.MsgspecError as error:
            response = Response(str(error), status=400)
        return response(environ, start_response)

    def set_faults(self, *faults: FaultSwitch) -> None:
        """Replace the faults in force."""
        with self._lock:
            self._faults = list(faults)

    def _answer(self, request, endpoint, arguments):
        if endpoint == "faults":
            self.set_faults(*_decode_faults(request.get_data()))
            return Response("{}", mimetype="application/json")
        if endpoint in ("counts", "backup"):
            return getattr(self, f"_{endpoint}")(request)
        fault = self._take_fault(endpoint)
        if fault.mode is FaultMode.DOWN:
            raise ServiceUnavailable()
        if fault.mode is FaultMode.REFUSE:
            raise ConnectionResetError
        if fault.mode in (FaultMode.SLOW, FaultMode.STALL):
            time.sleep(fault.delay_s)
        response = getattr(self, f"_{endpoint}")(request, **arguments)
        if fault.mode is FaultMode.LOST_REPLY:
            # werkzeug's server drops the connection when the application
            # raises a connection error: the caller sees silence.
            raise ConnectionResetError
        return response

    def _take_fault(self, endpoint) -> FaultSwitch:
        with self._lock:
            self._calls[endpoint] = self._calls.get(endpoint, 0) + 1
            for fault in self._faults:
                if fault.endpoint not in (None, endpoint) or fault.count == 0:
                    continue
                if self._random.random() >= fault.probability:
                    continue
                if fault.count is not None:
                    fault.count -= 1
                return fault
        return FaultSwitch()

    def _counts(self, _request):
        with self._lock:
            return _json(self._calls)

    def _backup(self, request):
        with self._lock:
            if request.method == "PUT":
                stored = msgspec.json.decode(request.get_data(), type=list[_StoredRow])
                self._rows = {(item.table, item.row.key): item.row for item in stored}
                return _json({})
            return _json(
                [_StoredRow(table, row) for (table, _), row in self._rows.items()]
            )

    def _read(self, request):
        question = msgspec.json.decode(request.get_data())
        table = question["table"]
        with self._lock:
            rows = [self._row(table, key) for key in question["keys"]]
        return _json({"rows": rows})

    def _scan(self, request):
        table = msgspec.json.decode(request.get_data())["table"]
        with self._lock:
            rows = [row for (name, _), row in self._rows.items() if name == table]
        rows = [row for row in rows if row.value is not None]
        return _json({"rows": sorted(rows, key=lambda row: row.key)})

    def _transact(self, request):
        transaction = msgspec.json.decode(request.get_data(), type=Transaction)
        with self._lock:
            checked = [
                self._row(check.table, check.key) for check in transaction.checks
            ]
            expected = [check.version for check in transaction.checks]
            if [row.version for row in checked] != expected:
                return _json({"rows": checked}, status=409)
            for put in transaction.puts:
                version = self._row(put.table, put.key).version + 1
                self._rows[put.table, put.key] = Row(put.key, version, put.value)
        return _json({})

    def _object(self, request, name):
        with self._lock:
            if request.method == "PUT":
                self._objects[name] = request.get_data()
                return _json({})
            body = self._objects.get(name)
        return Response(body or b"", status=404 if body is None else 200)

    def _row(self, table, key) -> Row:
        return self._rows.get((table, key), Row(key, 0))


def _decode_faults(body: bytes) -> list[FaultSwitch]:
    faults = msgspec.json.decode(body, type=FaultSwitch | list[FaultSwitch])
    return faults if isinstance(faults, list) else [faults]


def _json(value, status=200):
    body = msgspec.json.encode(value)
    return Response(body, status=status, mimetype="application/json")
