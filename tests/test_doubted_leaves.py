"""A leave that was a late one of an earlier lifetime excludes nobody for good."""

import io

import pytest

from balsamspindle.backend_servers.lifetimes import (
    ANNOUNCEMENT_LATE_MAX_S,
    AnnouncedStatus,
    Lifetimes,
)
from balsamspindle.backend_servers.servers import (
    Announcement,
    BackendServerState,
    LocalBackendServers,
)
from balsamspindle.drains import DrainedServer
from balsamspindle.timeline import EventLog, HybridClock

START_MS, LEAVE_MS = 4_000, 5_000
LATER_S = ANNOUNCEMENT_LATE_MAX_S + 1.0


class Server:
    """Announces one lifetime of a backend server to a node's `Lifetimes`."""

    def __init__(self) -> None:
        events = EventLog("node", 1, HybridClock(), io.StringIO())
        self.servers = LocalBackendServers()
        self.lifetimes = Lifetimes(self.servers, events)
        self.sequence = 0

    def announce(self, now_s: float, is_draining: bool = False) -> None:
        self.sequence += 1
        self.lifetimes.announce(
            "one",
            Announcement("team/service", "127.0.0.1:9001", 3, "one"),
            AnnouncedStatus(self.sequence, is_draining, start_unix_ms=START_MS),
            now_s,
        )

    def leave(self, start_unix_ms: int = 0) -> None:
        self.lifetimes.record_leave(
            "one", start_unix_ms=start_unix_ms, received_unix_ms=LEAVE_MS, now_s=0.0
        )

    def is_ready(self) -> bool:
        return [BackendServerState.READY] == [one.state for one in self.servers.all()]


@pytest.mark.parametrize("was_announced", [False, True])
def test_a_server_gets_work_again_long_after_a_late_leave(was_announced):
    """Guards against a running server that never gets work after a late leave."""
    server = Server()
    if was_announced:
        server.announce(-1.0)
    server.leave()
    for now_s in range(1, int(ANNOUNCEMENT_LATE_MAX_S)):
        server.announce(now_s)
        assert not server.is_ready()
    server.announce(LATER_S)
    assert server.is_ready()


def test_a_server_gets_work_again_long_after_a_restored_late_leave():
    """Guards against a late leave that each further process of the node takes over."""
    server = Server()
    server.lifetimes.restore(DrainedServer("one", "one@5000", LEAVE_MS), 0.0)
    server.announce(1.0)
    assert not server.is_ready()
    server.announce(LATER_S)
    assert server.is_ready()


def test_a_leave_that_names_its_start_is_not_in_doubt():
    """Guards against work for a server that has certainly left."""
    server = Server()
    server.announce(-1.0)
    server.leave(START_MS)
    server.announce(LATER_S)
    assert not server.is_ready()


def test_a_drain_that_disproves_a_leave_is_in_force():
    """Guards against a server that gets work because it says that it drains."""
    server = Server()
    server.announce(-1.0)
    server.leave()
    server.announce(LATER_S, is_draining=True)
    server.announce(LATER_S + 1.5)
    assert not server.is_ready()
