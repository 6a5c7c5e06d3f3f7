"""The monitor of a node's backend servers: restarts, published changes, probes."""

import io

import pytest

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.health_monitor import ABSENT_EXPIRY_S, HealthMonitor
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.crashes.records import start_id
from balsamspindle.settings.documents import Detection
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, PeerEvidence

SERVICE, SERVER = "crew/contracts", "contract-0"
DETECTION = Detection(threshold=7.0)
ERROR, ANSWERED = WorkResult.ERROR, WorkResult.ANSWERED


class Node:
    """A monitor with one announced backend server, in simulated time."""

    def __init__(self) -> None:
        self.servers = LocalBackendServers()
        self.events = EventLog("node", 1, HybridClock(), io.StringIO())
        self.monitor = HealthMonitor(self.servers, lambda _: DETECTION, self.events)
        self.now_s = 0.0
        self.count = 0
        self.announce("1")

    def announce(self, boot_id: str) -> None:
        announcement = Announcement(SERVICE, "127.0.0.1:9", 6, boot_id)
        self.servers.announce(SERVER, announcement, self.now_s)
        self.monitor.tick(self.now_s)

    def work(self, result, times=1) -> None:
        for _ in range(times):
            self.count += 1
            attempt_id = AttemptId("n", 1, self.count)
            self.monitor.record_start(SERVER, attempt_id, self.now_s)
            self.wait(0.02)
            self.monitor.record_end(SERVER, attempt_id, result, self.now_s)
            self.wait(0.5)

    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self.monitor.tick(self.now_s)

    @property
    def suspicion(self) -> float:
        return self.servers.records()[0].suspicion


def test_the_published_record_changes_rarely():
    """Guards against many messages: each change of a record is sent to all nodes.

    A few errors among many answers must not change the record. After that the backend
    server only fails, for 21 s. In this time it is held out for 5 s, for 10 s, and once
    more. Each hold-out changes the record at most three times: when the backend server
    is held out, when it is strongly suspected, and when it is on trial.
    """
    node = Node()
    version = node.servers.version
    for _ in range(60):
        node.work(ANSWERED, 50)
        node.work(ERROR)
        node.work(WorkResult.SHED, 5)
    assert node.servers.version == version
    node.work(ERROR, 40)
    assert node.suspicion >= 1
    assert node.servers.version <= version + 9


def test_a_backend_server_that_restarts_while_held_out_is_on_trial_at_once():
    """The restart may have removed the fault, so the backend server gets a trial.

    Its new record contains no suspicion at first. The node must publish the suspicion
    of a backend server on trial in it.
    """
    node = Node()
    node.work(ERROR, 4)
    assert node.suspicion >= 1
    node.announce("2")
    assert node.suspicion == 0.5
    node.work(ERROR)
    assert node.suspicion >= 1
    node.wait(5.1)
    assert node.suspicion >= 1, "the hold-out is still doubled after the restart"


def test_a_held_out_backend_server_is_readmitted_in_an_overload():
    """Guards against a backend server that stays held out in an overload of all peers.

    An ingress sends a summary of a backend server's peers only with a dispatch to this
    backend server. A held-out backend server gets no dispatches, and so no summaries.
    Therefore a summary that arrives for another backend server of the same service at
    this node must count for the held-out backend server, too.
    """
    node = Node()
    neighbour = Announcement(SERVICE, "127.0.0.1:9", 6, "1")
    node.servers.announce("contract-1", neighbour, node.now_s)
    node.work(ERROR, 4)
    assert node.suspicion >= 1
    for _ in range(5):
        overload = PeerEvidence(judged_count=4, bad_count=4, median_p99_ms=40.0)
        node.monitor.record_peer_evidence("contract-1", overload, node.now_s)
        node.wait(0.1)
    assert node.suspicion == 0


def test_own_failures_do_not_count_as_failures_of_peers():
    """One of a node's two backend servers fails and is held out.

    The other backend server gets requests with summaries that count one bad peer: the
    held-out server. Guards against a held-out server that is counted as its own peer.
    Its failures would seem to have a cause shared with peers, and it would be on trial
    again after 50 ms.
    """
    node = Node()
    announcement = Announcement(SERVICE, "127.0.0.1:8", 6, "1")
    node.servers.announce("contract-1", announcement, node.now_s)
    node.monitor.tick(node.now_s)
    node.work(ERROR, 4)
    assert node.suspicion >= 1
    for _ in range(10):
        only_itself = PeerEvidence(judged_count=1, bad_count=1)
        node.monitor.record_peer_evidence("contract-1", only_itself, node.now_s)
        node.wait(0.1)
    assert node.suspicion >= 1


def test_the_health_of_a_long_absent_backend_server_is_discarded():
    node = Node()
    node.work(ERROR, 4)
    assert node.servers.remove_silent(node.now_s + 100) == [SERVER]
    node.wait(ABSENT_EXPIRY_S + 1)
    node.announce("3")
    assert node.suspicion == 0
    assert list(node.monitor.reports(node.now_s)) == [SERVER]


@pytest.mark.parametrize(("idle_s", "wanted"), [(0.5, []), (5.0, [SERVER]), (61.0, [])])
def test_probes_are_sent_when_idle_and_stop_without_demand(idle_s, wanted):
    node = Node()
    node.work(ANSWERED)
    assert node.monitor.servers_to_probe(node.now_s + idle_s) == wanted


def test_phase_changes_are_logged_with_their_evidence():
    node = Node()
    node.work(ERROR, 4)
    node.wait(6)
    node.work(ANSWERED, 6)
    lines = node.events.recent(0, 100).lines
    assert [line.split("event=")[1].split()[0] for line in lines] == [
        "backend_server_suspected",
        "backend_server_on_trial",
        "backend_server_readmitted",
    ]
    assert "cause=error:" in lines[0].replace('"', "")


def test_a_backend_server_that_a_request_crashed_serves_after_its_restart():
    """One request crashes a backend server again and again.

    Guards against hold-outs that double with each of these crashes. During a hold-out
    other callers can't use the backend server. The request may be quarantined before or
    after the restart of the backend server.
    """
    for is_late in (False, True):
        node, blamed = Node(), set()
        node.monitor = HealthMonitor(
            node.servers,
            lambda _: DETECTION,
            node.events,
            lambda server_id, start, blamed=blamed: (server_id, start) in blamed,
        )
        node.monitor.tick(node.now_s)
        node.work(ERROR, 5)
        assert node.suspicion >= 1
        growth_exponent = node.monitor._monitored[
            SERVER
        ].health._readmission.growth_exponent
        if not is_late:
            blamed.add((SERVER, start_id("1")))
        node.announce("2")
        if is_late:
            assert node.suspicion > 0
            blamed.add((SERVER, start_id("1")))
            node.wait(0.1)
        assert node.suspicion == 0
        assert (
            node.monitor._monitored[SERVER].health._readmission.growth_exponent
            == growth_exponent - 1
        )
