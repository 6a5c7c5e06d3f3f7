"""An ingress with a single fake gate, for tests of links."""

import io
import socket
import time

import msgspec
import zmq

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.servers import LocalBackendServers
from balsamspindle.membership import Directory
from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.requests.forwarding import ForwardedRequest, Forwarder
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.requests.link_pool import LINKS_MAX, LinkPool
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    BackendServerRecord,
    NodeRecord,
    Reply,
    checksum,
    encode,
)

__all__ = ["Ingress", "answer_frame", "prompt_answer"]

OWN = NodeRecord("own", 1, 1, "r", "z", "127.0.0.1:1", "127.0.0.1:2", "alive")
ROUTE = RouteDocument("crew/contracts", Execution.NON_IDEMPOTENT, methods=("POST",))


def answer_frame(dispatch, **changes) -> bytes:
    """Return an encoded reply with the body of the dispatch.

    `changes` override fields of the reply.
    """
    fields = {
        "attempt_id": dispatch.attempt_id,
        "outcome": Outcome.ANSWERED,
        "status": 200,
        "body": dispatch.body,
        "body_checksum": checksum(dispatch.body),
        "gate_time_s": time.monotonic(),
        **changes,
    }
    return encode(Reply(**fields))


def prompt_answer(dispatch) -> list[tuple[float, bytes]]:
    return [(0, answer_frame(dispatch))]


class Ingress:
    """The forwarder of a node that knows one other node, which has the fake gate.

    The fake gate listens at `gate_address` and has `servers_count` backend servers.
    """

    def __init__(
        self,
        gate_address: str,
        servers_count: int = 1,
        links_max: int = LINKS_MAX,
    ) -> None:
        self.events = io.StringIO()
        self.log = events = EventLog("own", 1, HybridClock(), self.events)
        directory = Directory()
        servers = tuple(
            BackendServerRecord(f"server-{number}", ROUTE.service, "1", 1000, "ready")
            for number in range(servers_count)
        )
        peer = NodeRecord("gate", 1, 1, "r", "z", gate_address, "-", "alive", servers)
        directory.update(peer, 0.0)
        self.links = LinkPool(zmq.Context.instance(), events, links_max=links_max)
        gate = Gate(LocalBackendServers(), BackendServerClient(1000), events)
        picker = Picker(OWN, directory, CurrentConfiguration())
        self._forwarder = Forwarder(OWN, picker, gate, self.links, events)

    def request(self, body: bytes = b"signature", timeout_s: float = 5.0, **route):
        """Forward one request and return the reply.

        The caller's connection is open until then, unless a test closes `caller`.
        `route` overrides fields of the route.
        """
        near, far = socket.socketpair()
        self.caller = far
        with near, far:
            request = CallerRequest("POST", "/sign", body=body)
            self.forwarded = ForwardedRequest(
                "id",
                HttpConnection(near, HttpLimits()),
                request,
                msgspec.structs.replace(ROUTE, **route),
                time.monotonic() + timeout_s,
            )
            return self._forwarder.forward(self.forwarded)

    def abort_attempts(self) -> None:
        """End all attempts without a reply, as a node does that leaves."""
        self._forwarder.abort_attempts()
