"""An ingress in the test's process, with a forwarder that answers each request."""

import json
import re
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from io import StringIO
from typing import NamedTuple

from balsamspindle.customers import CustomerAdmission
from balsamspindle.customers.freshness import Freshness
from balsamspindle.protocol import Outcome
from balsamspindle.requests.ingress import Ingress
from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, Reply
from tests.utils import free_address, wait_until

DOCUMENTS = {
    "crew/services/contracts": b"{}",
    "crew/routes/read": b"""{"service": "crew/contracts", "execution": "idempotent",
        "path_prefix": "/contracts", "methods": ["GET", "HEAD"],
        "timeout_ms": 2000}""",
    "crew/routes/sign": b"""{"service": "crew/contracts", "path_prefix": "/contracts",
        "execution": "non_idempotent", "methods": ["POST"]}""",
}
SOCKET_TIMEOUT_S = 10.0


class EchoForwarder:
    """Answers each request with the method, target and body of that request.

    Attributes
    ----------
    forwarded : list of ForwardedRequest
        All requests so far.
    remaining_ms : list of float
        For each of these requests, the time from its arrival to its deadline.
    headers : list of tuple of str
        Headers of each answer.
    answers_allowed : Event
        Initially set. While a test has cleared the event, answers are delayed.
    padding : str
        Included in the body of each answer, to make it longer.
    """

    def __init__(self) -> None:
        self.forwarded = []
        self.remaining_ms = []
        self.headers = [("Content-Type", "application/json")]
        self.answers_allowed = threading.Event()
        self.answers_allowed.set()
        self.padding = ""

    def forward(self, forwarded) -> Reply:
        """See `balsamspindle.requests.forwarding.Forwarder`."""
        self.forwarded.append(forwarded)
        self.remaining_ms.append((forwarded.deadline_s - time.monotonic()) * 1000)
        self.answers_allowed.wait(SOCKET_TIMEOUT_S)
        request = forwarded.request
        body = {
            "method": request.method,
            "target": request.target,
            "body": request.body.decode("latin-1"),
            "padding": self.padding,
        }
        return Reply(
            AttemptId("test", 1, len(self.forwarded)),
            Outcome.ANSWERED,
            status=200,
            headers=self.headers,
            body=json.dumps(body).encode(),
        )


class Answer(NamedTuple):
    """An HTTP answer as received."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header_values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [
            value for header_name, value in self.headers if header_name.lower() == name
        ]

    def header_value(self, name: str) -> str | None:
        """Return the only value of a header, or None without that header.

        Raises AssertionError if the header is repeated.
        """
        values = self.header_values(name)
        assert len(values) <= 1, values
        return values[0] if values else None

    def json(self):
        """Return the body as JSON."""
        return json.loads(self.body)


class RawCaller:
    """A caller that sends raw bytes, which need not be valid HTTP."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.socket = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S)
        self._data = b""

    def send(self, data: bytes) -> "RawCaller":
        """Send bytes; return this caller."""
        self.socket.sendall(data)
        return self

    def read(self, is_head: bool = False) -> Answer:
        """Read one answer, with as many bytes of body as its Content-Length says.

        Parameters
        ----------
        is_head : bool
            Whether the request was a HEAD request; its answer has no body.

        Raises
        ------
        ConnectionError
            When the ingress closes the connection before the end of the answer.
        """
        while b"\r\n\r\n" not in self._data:
            self._receive()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(re.fullmatch(r"HTTP/1\.1 (\d{3}) .+", lines[0])[1])
        headers = [tuple(line.split(": ", 1)) for line in lines[1:]]
        answer = Answer(status, headers, b"")
        length = (
            0 if is_head or status < 200 else int(answer.header_value("content-length"))
        )
        while len(self._data) < length:
            self._receive()
        body, self._data = self._data[:length], self._data[length:]
        return answer._replace(body=body)

    def wait_for_close(self) -> bool:
        """Wait until the ingress closes the connection or sends bytes.

        Returns False if there are bytes that were not read.
        """
        return not self._data and self.socket.recv(1) == b""

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    def _receive(self) -> None:
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionError(
                f"connection closed by the ingress after {self._data!r}"
            )
        self._data += data


class IngressFixture:
    """Runs an ingress with an `EchoForwarder` until `close`.

    Parameters
    ----------
    documents : dict of str to bytes
        Settings in force.
    proof_age_max_s : float or None
        See `Freshness`.
    limiter
        See `CustomerAdmission`.
    changes
        Fields of the node's settings that differ from the defaults of the fixture.
    """

    def __init__(
        self, documents=DOCUMENTS, proof_age_max_s=None, limiter=None, **changes
    ) -> None:
        address = free_address()
        settings = NodeSettings(
            **{
                "node_id": "node-1",
                "region": "test",
                "availability_zone": "zone-1",
                "caller_address": address,
                "link_address": address,
                "member_address": address,
                "admin_address": address,
                "connections_max": 16,
                **changes,
            }
        )
        self.address = address
        self.log = StringIO()
        self.events = EventLog("node-1", 1, HybridClock(), self.log)
        self.forwarder = EchoForwarder()
        configuration = self.configuration = CurrentConfiguration()
        assert configuration.offer(1, documents) is ApplyResult.IN_FORCE
        self.freshness = Freshness(proof_age_max_s, configuration)
        self.executor = ThreadPoolExecutor(settings.connections_max)
        self.ingress = Ingress(
            settings,
            configuration,
            self.forwarder,
            self.executor,
            self.events,
            customers=CustomerAdmission(configuration, self.freshness, limiter),
        )
        self._thread = threading.Thread(target=self.ingress.run)
        self._thread.start()
        wait_until(self.ingress.accepting, "the ingress accepts connections")
        self._callers: list[RawCaller] = []

    def caller(self) -> RawCaller:
        """Open a connection to the ingress; `close` closes it, too."""
        caller = RawCaller(self.address)
        self._callers.append(caller)
        return caller

    def logged(self) -> str:
        """Return the event log so far."""
        self.events.flush()
        return self.log.getvalue()

    def close(self) -> None:
        """Stop the ingress and close all callers' connections."""
        self.forwarder.answers_allowed.set()
        self.ingress.stop()
        for caller in self._callers:
            caller.close()
        self._thread.join()
        self.executor.shutdown()
