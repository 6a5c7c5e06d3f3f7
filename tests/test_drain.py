"""A drain holds until the backend server restarts or is undrained."""

from testtools import TestCase

from balsamspindle.backend_servers.servers import (
    ANNOUNCEMENT_TTL_S,
    Announcement,
    BackendServerState,
    LocalBackendServers,
)

ANNOUNCEMENT = Announcement("crew/contracts", "127.0.0.1:1", 6, "boot-1")
SILENCE_S = ANNOUNCEMENT_TTL_S + 1


class DrainTests(TestCase):
    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.servers.announce("b1", ANNOUNCEMENT, 0.0)
        self.servers.drain("b1")

    def state(self) -> BackendServerState:
        (server,) = self.servers.all()
        return server.state

    def test_a_drain_holds_through_a_pause_of_the_announcements(self):
        """Guards against a drain that is lost when announcements pause.

        Announcements pause, for example, while the node is suspended. The node then
        removes the backend server, or marks it as silent if requests run there. If the
        next announcement of the same boot ended the drain, the backend server would get
        requests again. They would be cut when the operator shuts the server down.
        """
        for in_flight in (0, 1):
            for server in self.servers.all():
                server.in_flight = in_flight
            self.servers.remove_silent(SILENCE_S)
            self.servers.announce("b1", ANNOUNCEMENT, SILENCE_S)
            self.assertEqual(BackendServerState.DRAINING, self.state())

    def test_a_drain_holds_when_the_same_boot_announces_other_slots(self):
        changed = Announcement("crew/contracts", "127.0.0.1:1", 8, "boot-1")
        self.servers.announce("b1", changed, 1.0)
        self.assertEqual(BackendServerState.DRAINING, self.state())

    def test_a_restart_or_an_undrain_ends_the_drain(self):
        restarted = Announcement("crew/contracts", "127.0.0.1:1", 6, "boot-2")
        self.servers.announce("b1", restarted, 1.0)
        self.assertEqual(BackendServerState.READY, self.state())
        self.servers.drain("b1")
        self.servers.undrain("b1")
        self.servers.remove_silent(SILENCE_S)
        self.servers.announce("b1", restarted, SILENCE_S)
        self.assertEqual(BackendServerState.READY, self.state())
