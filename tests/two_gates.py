"""A forwarder with two fake gates, for tests of retries and hedges."""

import io
import socket
import time

import zmq
from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.servers import LocalBackendServers
from balsamspindle.membership import Directory
from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.requests.link_pool import LinkPool
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RouteDocument, ServiceDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    BackendServerRecord,
    NodeRecord,
    Reply,
    checksum,
    encode,
)
from tests.fake_gate import FakeGate
from tests.utils import free_address, wait_until

__all__ = ["BODY", "OWN", "SERVICE", "TwoGateCase", "answer"]

SERVICE = "crew/vacancies"
OWN = NodeRecord("own", 1, 1, "r", "z", "-", "-", "alive")
BODY = b"vacancies"


def answer(dispatch, status=200):
    reply = Reply(
        dispatch.attempt_id,
        Outcome.ANSWERED,
        status=status,
        body=BODY,
        body_checksum=checksum(BODY),
        free_slots=4,
    )
    return [(0.0, encode(reply))]


class TwoGateCase(TestCase):
    """A forwarder and its fake gates; each gate has one backend server.

    `NAMES` lists the names of the gates. `answers` has for each gate the function that
    returns the frames to send in reply to a dispatch; see `FakeGate`. A test can
    replace these functions.
    """

    NAMES = ("a", "b")

    def setUp(self):
        super().setUp()
        self.answers = dict.fromkeys(self.NAMES, answer)
        self.gates, self.addresses, self.directory = {}, {}, Directory()
        for name in self.answers:
            address = self.addresses[name] = free_address()
            gate = FakeGate(address, lambda dispatch, n=name: self.answers[n](dispatch))
            self.addCleanup(gate.close)
            server = BackendServerRecord(f"server-{name}", SERVICE, "1", 4, "ready")
            self.directory.update(
                NodeRecord(
                    f"gate-{name}", 1, 1, "r", "z", address, "-", "alive", (server,)
                ),
                0.0,
            )
            self.gates[name] = gate
        # Backend servers beside the forwarder's own node; initially none.
        self.servers = LocalBackendServers()
        self.log = io.StringIO()
        events = EventLog("own", 1, HybridClock(), self.log)
        self.links = LinkPool(zmq.Context.instance(), events)
        self.addCleanup(self.links.close)
        self.make_forwarder()

    def make_forwarder(self, **settings):
        """Make the forwarder; `settings` are those of the gates' service."""
        events = EventLog("own", 1, HybridClock(), self.log)
        document = ServiceDocument(**settings)
        self.forwarder = Forwarder(
            OWN,
            Picker(OWN, self.directory, CurrentConfiguration()),
            Gate(self.servers, BackendServerClient(1000), events),
            self.links,
            events,
            service_document=lambda service: document,
        )

    def _request(
        self, execution=Execution.IDEMPOTENT, timeout_s=20.0, content_hash=0, **route
    ):
        near, far = socket.socketpair()
        with near, far:
            return self.forwarder.forward(
                ForwardedRequest(
                    "id",
                    HttpConnection(near, HttpLimits()),
                    CallerRequest("GET", "/"),
                    RouteDocument(service=SERVICE, execution=execution, **route),
                    time.monotonic() + timeout_s,
                    content_hash=content_hash,
                )
            )

    def _connect_links(self):
        """Connect a link to each gate, as earlier requests would have done."""
        for name, address in self.addresses.items():
            link = wait_until(
                lambda address=address: self.links.acquire(
                    address, time.monotonic() + 1.0
                ),
                f"a link to {name}",
            )
            self.links.release(link)

    def _dispatches(self):
        return sum(len(gate.dispatches) for gate in self.gates.values())
