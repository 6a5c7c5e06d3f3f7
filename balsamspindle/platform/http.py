"""The platform over HTTP."""

import io
from typing import Any

import msgspec
import pycurl
from expression import Error, Ok, Result

from balsamspindle.platform.protocol import (
    Conflict,
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
CALL_TIMEOUT_MS = 2000

# Errors of libcurl after which nothing can have reached the platform.
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)


class _Rows(msgspec.Struct):
    rows: list[Row]


def _call(
    method: str, url: str, body: bytes | None
) -> Result[tuple[int, bytes], Unreachable | Unknown]:
    """Make one call on a connection of its own.

    A reused connection would let libcurl send the call a second time by
    itself; platform calls are rare, so a fresh connection costs little.
    """
    handle = pycurl.Curl()
    answer = io.BytesIO()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
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


class HttpTableService(TableService):
    """Tables at one address of the platform."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/v1/tables"

    def read(self, table, keys):
        """See `TableService.read`."""
        return self._rows("read", {"table": table, "keys": keys})

    def scan(self, table):
        """See `TableService.scan`."""
        return self._rows("scan", {"table": table})

    def transact(self, transaction: Transaction) -> Result[None, PlatformError]:
        """See `TableService.transact`."""
        match self._post("transact", transaction):
            case Result(tag="ok", ok=(200, _)):
                return Ok(None)
            case Result(tag="ok", ok=(409, body)):
                return Error(Conflict(msgspec.json.decode(body, type=_Rows).rows))
            case Result(tag="ok", ok=(503, _)):
                return Error(Unreachable("the platform refused the call (503)"))
            case Result(tag="ok", ok=(status, _)):
                return Error(Unknown(f"the platform answered {status}"))
            case Result(error=error):
                return Error(error)

    def _rows(self, call: str, question: dict[str, Any]):
        match self._post(call, question):
            case Result(tag="ok", ok=(200, body)):
                return Ok(msgspec.json.decode(body, type=_Rows).rows)
            case Result(tag="ok", ok=(status, _)):
                return Error(Unreachable(f"the platform answered {status}"))
            case Result(error=error):
                return Error(error)

    def _post(self, call: str, question: Any):
        return _call("POST", f"{self._url}/{call}", msgspec.json.encode(question))


class HttpObjectStore(ObjectStore):
    """Objects at one address of the platform."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/v1/objects"

    def get(self, name):
        """See `ObjectStore.get`."""
        match _call("GET", f"{self._url}/{name}", None):
            case Result(tag="ok", ok=(200, body)):
                return Ok(body)
            case Result(tag="ok", ok=(404, _)):
                return Ok(None)
            case Result(tag="ok", ok=(status, _)):
                return Error(Unreachable(f"the platform answered {status}"))
            case Result(error=error):
                return Error(error)

    def put(self, name, body):
        """See `ObjectStore.put`."""
        match _call("PUT", f"{self._url}/{name}", body):
            case Result(tag="ok", ok=(200, _)):
                return Ok(None)
            case Result(tag="ok", ok=(status, _)):
                return Error(Unreachable(f"the platform answered {status}"))
            case Result(error=error):
                return Error(error)
