"""A stand-in for the platform, with switches for its faults.

Calls (JSON bodies)::

    POST /v1/tables/read      {"table": T, "keys": [K, ...]}
    POST /v1/tables/scan      {"table": T}
    POST /v1/tables/transact  {"checks": [...], "puts": [...]}
    GET, PUT /v1/objects/NAME
    POST /faults              {"mode": M, "count": N, "delay_s": D}

A fault mode holds for the next ``count`` calls, without a count until it is
changed.
"""

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
    SLOW = "slow"
    LOST_REPLY = "lost_reply"


class FaultSwitch(msgspec.Struct):
    """The fault in force."""

    mode: FaultMode = FaultMode.NONE
    count: int | None = None
    delay_s: float = 1.0


_URLS = Map(
    [
        Rule("/v1/tables/read", endpoint="read", methods=["POST"]),
        Rule("/v1/tables/scan", endpoint="scan", methods=["POST"]),
        Rule("/v1/tables/transact", endpoint="transact", methods=["POST"]),
        Rule("/v1/objects/<path:name>", endpoint="object", methods=["GET", "PUT"]),
        Rule("/faults", endpoint="faults", methods=["POST"]),
        Rule("/counts", endpoint="counts", methods=["GET"]),
    ]
)


class StandinPlatform:
    """A WSGI application that keeps tables and objects in memory."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[tuple[str, str], Row] = {}
        self._objects: dict[str, bytes] = {}
        self._fault = FaultSwitch()
        self._counts: dict[str, int] = {}

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

    def _answer(self, request, endpoint, arguments):
        if endpoint == "faults":
            self._fault = msgspec.json.decode(request.get_data(), type=FaultSwitch)
            return Response("{}", mimetype="application/json")
        if endpoint == "counts":
            return _json(self._counts)
        mode, delay_s = self._take_fault(endpoint)
        if mode is FaultMode.DOWN:
            raise ServiceUnavailable()
        if mode is FaultMode.SLOW:
            time.sleep(delay_s)
        response = getattr(self, f"_{endpoint}")(request, **arguments)
        if mode is FaultMode.LOST_REPLY:
            # werkzeug's server drops the connection when the application
            # raises a connection error: the caller sees silence.
            raise ConnectionResetError
        return response

    def _take_fault(self, endpoint) -> tuple[FaultMode, float]:
        with self._lock:
            self._counts[endpoint] = self._counts.get(endpoint, 0) + 1
            fault = self._fault
            if fault.count is None:
                return fault.mode, fault.delay_s
            if fault.count <= 0:
                return FaultMode.NONE, 0.0
            fault.count -= 1
            return fault.mode, fault.delay_s

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


def _json(value, status=200):
    body = msgspec.json.encode(value)
    return Response(body, status=status, mimetype="application/json")
