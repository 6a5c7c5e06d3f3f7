"""JSON requests to the stand-ins and to the admin addresses of nodes."""

import io
from typing import Any

import msgspec
import pycurl

from balsamspindle.protocol.decoding import InputError, decode_json

__all__ = ["request_json"]

CONNECT_TIMEOUT_MS = 500
CALL_TIMEOUT_MS = 3000


def request_json(address: str, path: str, body: Any = None) -> Any | None:
    """Send a GET, or a POST if there is a body, and return the decoded answer.

    Returns
    -------
    object or None
        None if there was no answer with status 200 and valid JSON.
    """
    handle = pycurl.Curl()
    answer = io.BytesIO()
    handle.setopt(pycurl.URL, f"http://{address}{path}")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
    handle.setopt(pycurl.WRITEDATA, answer)
    if body is not None:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.COPYPOSTFIELDS, msgspec.json.encode(body))
        handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
    try:
        handle.perform()
        if handle.getinfo(pycurl.RESPONSE_CODE) != 200:
            return None
        return decode_json(answer.getvalue())
    except (pycurl.error, InputError):
        return None
    finally:
        handle.close()
