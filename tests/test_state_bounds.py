"""State that a node keeps by peer, address or backend server, after many of them."""

import io
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import zmq
from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.gate_loads import SERVERS_MAX, GateLoads
from balsamspindle.backend_servers.lifetimes import (
    LIFETIMES_MAX,
    AnnouncedStatus,
    Lifetimes,
)
from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.membership.directory import Directory
from balsamspindle.membership.transport import ZmqTransport
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.zone_hints import REPORTED_MAX, ZoneHints
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import HoldOut, NodeRecord, SuspectHint
from tests.utils import free_address, wait_until

COUNT = 20_000
OWN = NodeRecord("own", 1, 0, "r", "here", "", "at-own", "alive")
# Value of the column `tr` in /proc/net/tcp: a keep-alive timer runs.
KEEP_ALIVE_TIMER = "02"


class StateBoundTests(TestCase):
    """Guards against memory that grows with all peers and servers there ever were."""

    def test_addresses_of_backend_servers(self):
        events = EventLog("own", 1, HybridClock(), io.StringIO())
        lifetimes = Lifetimes(LocalBackendServers(), events)
        for number in range(3 * LIFETIMES_MAX):
            announcement = Announcement("t/a", f"10.0.0.1:{number}", 6, "1")
            lifetimes.announce(f"s-{number}", announcement, AnnouncedStatus(1), 0.0)
        self.assertLessEqual(len(lifetimes._ids_by_address), LIFETIMES_MAX)

    def test_loads_of_backend_servers(self):
        loads = GateLoads(lambda *_: None, lambda service: ServiceDocument())
        for number in range(COUNT):
            loads.record_start(f"s-{number}", 1.0, 0.0)
            loads.record_refusal(f"s-{number}", Reason.DEADLINE, 0.0)
        self.assertLessEqual(len(loads._starts), SERVERS_MAX)
        self.assertLessEqual(len(loads._refused_s), SERVERS_MAX)

    def test_hold_outs_that_peers_report(self):
        held_out_servers = HeldOutServers()
        hints = ZoneHints(OWN, Directory(), lambda *_: None, lambda: held_out_servers)
        for number in range(COUNT):
            hints.receive(SuspectHint(f"s-{number}", HoldOut(500.0, 1)))
        self.assertLessEqual(len(hints._reported_until_s), REPORTED_MAX)


class AcceptedConnectionTests(TestCase):
    """Guards against descriptors that connections of lost VMs occupy for ever."""

    def setUp(self):
        super().setUp()
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, linger=0)

    def _connect(self, address: str) -> None:
        self.peer = self.context.socket(zmq.DEALER)
        self.peer.connect(f"tcp://{address}")
        wait_until(lambda: _accepted_timers(address), "the connection is accepted")

    def test_links_of_other_nodes_are_kept_alive(self):
        address = free_address()
        events = EventLog("own", 1, HybridClock(), io.StringIO())
        gate = Gate(LocalBackendServers(), BackendServerClient(1000), events)
        with ThreadPoolExecutor(2) as executor:
            server = LinkServer(self.context, address, gate, executor, events)
            running = executor.submit(server.run)
            self._connect(address)
            timers = _accepted_timers(address)
            server.stop()
            running.result()
        self.assertEqual({KEEP_ALIVE_TIMER}, timers)

    def test_connections_of_members_are_kept_alive(self):
        address = free_address()
        transport = ZmqTransport(self.context, address)
        self.addCleanup(transport.close)
        self._connect(address)
        # Until the handshake is acknowledged, another timer may run.
        time.sleep(0.5)
        self.assertEqual({KEEP_ALIVE_TIMER}, _accepted_timers(address))


def _accepted_timers(address: str) -> set[str]:
    """Return the active timers of the connections that a listener has accepted."""
    port = f":{int(address.rpartition(':')[2]):04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    established = [row for row in rows if row[1].endswith(port) and row[3] == "01"]
    return {row[5].partition(":")[0] for row in established}
