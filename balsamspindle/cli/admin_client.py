"""HTTP client for the admin address of a node."""

import io
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

import msgspec
import pycurl
from expression import Error, Ok, Result

from balsamspindle.protocol.answer_heads import CUT_HEAD, AnswerHead
from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.timeline import EventPage

__all__ = ["AdminClient", "NodeRefusal", "NodeUnreachable"]

CONNECT_TIMEOUT_MS = 1_000
CALL_TIMEOUT_MS = 5_000

T = TypeVar("T")


class NodeUnreachable(msgspec.Struct, frozen=True):
    """The node did not answer; `message` says what to check."""

    message: str


class NodeRefusal(msgspec.Struct, frozen=True):
    """The node answered with an error, or its answer could not be decoded.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    """

    status: int
    message: str


class _ErrorBody(msgspec.Struct):
    error: str = ""


class _Answer(NamedTuple):
    status: int
    body: bytes


class AdminClient:
    """Client for the admin address of one node.

    Parameters
    ----------
    address : str
        IP:port.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def read(
        self, path: str, kind: type[T]
    ) -> Result[T, NodeUnreachable | NodeRefusal]:
        """Send a GET request and return the answer's JSON, decoded as `kind`."""
        return self._call("GET", path).bind(lambda body: self._decode(body, kind))

    def post(
        self, path: str, body: bytes = b""
    ) -> Result[None, NodeUnreachable | NodeRefusal]:
        """Send a POST request; the body of a successful answer is discarded."""
        return self._call("POST", path, body).map(lambda _: None)

    def events(self) -> Iterator[Result[EventPage, NodeUnreachable | NodeRefusal]]:
        """Yield the pages of the node's recent events; an error is yielded last."""
        after = 0
        more = True
        while more:
            page = self.read(f"/events?after={after}", EventPage)
            yield page
            more = page.is_ok() and page.ok.more
            after = page.ok.last_sequence if more else after

    def _decode(self, body: bytes, kind: type[T]) -> Result[T, NodeRefusal]:
        try:
            return Ok(decode_json(body, kind))
        except InputError as error:
            message = f"{self.address} is not the admin address of a node: {error}"
            return Error(NodeRefusal(200, message))

    def _call(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[bytes, NodeUnreachable | NodeRefusal]:
        try:
            answer = _perform(method, f"http://{self.address}{path}", body)
        except pycurl.error as error:
            message = (
                f"no answer from node {self.address} ({error.args[1]}): check that "
                "the node runs and that this is its admin address"
            )
            return Error(NodeUnreachable(message))
        if answer.status == 200:
            return Ok(answer.body)
        return Error(NodeRefusal(answer.status, self._error_message(answer)))

    def _error_message(self, answer: _Answer) -> str:
        try:
            problem = decode_json(answer.body, _ErrorBody)
        except InputError:
            problem = _ErrorBody()
        message = problem.error or f"HTTP status {answer.status}"
        return f"node {self.address}: {message}"


def _perform(method: str, url: str, body: bytes) -> _Answer:
    handle = pycurl.Curl()
    answer, head = io.BytesIO(), AnswerHead()
    handle.setopt(pycurl.URL, url)
    if method == "POST":
        handle.setopt(pycurl.POSTFIELDS, body)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
    handle.setopt(pycurl.WRITEDATA, answer)
    handle.setopt(pycurl.HEADERFUNCTION, head.on_line)
    try:
        handle.perform()
        if not head.is_complete:
            raise pycurl.error(pycurl.E_PARTIAL_FILE, CUT_HEAD)
        return _Answer(handle.getinfo(pycurl.RESPONSE_CODE), answer.getvalue())
    finally:
        handle.close()
