"""Announcements that arrive late, twice or out of order."""

from testtools import TestCase

from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.lifetimes import (
    REPLACED_SILENT_S,
    AnnouncedStatus,
    Lifetimes,
)
from balsamspindle.backend_servers.servers import (
    Announcement,
    BackendServerState,
    LocalBackendServers,
)

ADDRESS = "10.0.0.1:8080"


class _NoEvents:
    def emit(self, event, **fields):
        return 0


class LifetimesTests(TestCase):
    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers(announcement_ttl_s=30)
        self.lifetimes = Lifetimes(self.servers, _NoEvents())

    def announce(
        self, server_id, sequence, now_s, draining=False, service="t/a", start_unix_ms=0
    ):
        announcement = Announcement(service, ADDRESS, 6, server_id)
        status = AnnouncedStatus(sequence, draining, 0.0, start_unix_ms)
        self.lifetimes.announce(server_id, announcement, status, now_s)

    def states(self):
        return {server.backend_server_id: server.state for server in self.servers.all()}

    def test_a_late_ready_announcement_does_not_undo_a_drain(self):
        # A delayed announcement that reports "ready" arrives after one that reports
        # "draining". If the node accepted the delayed announcement, the backend server
        # would get new requests. These requests would be cut when the backend server
        # ends.
        self.announce("one", 1, 0.0)
        self.announce("one", 3, 1.0, draining=True)
        self.announce("one", 2, 1.1)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())
        self.announce("one", 4, 2.0)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_a_late_announcement_does_not_take_an_address_from_a_successor(self):
        # A backend server crashes, and a successor uses its address. The last
        # announcement of the crashed one arrives after the first one of the successor.
        # Guards against requests for the crashed backend server that are sent to the
        # successor, which may run another service.
        self.announce("old", 5, 0.0)
        self.announce("new", 1, 1.0, service="t/b")
        self.announce("old", 6, 1.5)
        self.assertEqual(BackendServerState.READY, self.states()["new"])
        self.assertEqual(BackendServerState.DRAINING, self.states()["old"])

    def test_the_running_server_stays_in_use_after_a_late_announcement(self):
        # The node has just started, so a late announcement of a backend server that has
        # ended looks like a new start at the same address. The running backend server
        # must be in use again, because only that one keeps announcing itself.
        self.announce("new", 1, 0.0)
        self.announce("old", 9, 0.1)
        self.announce("new", 2, 1.5)
        self.announce("new", 3, REPLACED_SILENT_S + 0.2)
        self.assertEqual(BackendServerState.READY, self.states()["new"])

    def test_a_backend_server_that_left_gets_no_work_again(self):
        self.announce("one", 1, 0.0)
        self.lifetimes.record_leave("one")
        self.announce("one", 2, 1.1)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_a_backend_server_that_left_before_its_announcement_gets_no_work(self):
        # The node restarts, and the backend server reports that it leaves before the
        # restarted node has received an announcement of it. A late announcement then
        # arrives. Guards against requests that are sent to a backend server that has
        # left.
        self.lifetimes.record_leave("one")
        self.announce("one", 7, 0.1)
        self.assertEqual({}, self.states())

    def test_a_backend_server_whose_address_another_one_uses_gets_no_work(self):
        # A request for backend server "one" was refused by another backend server,
        # which has the address of "one" now. No more requests may be sent to "one",
        # although it is still announced.
        self.announce("one", 1, 0.0)
        self.lifetimes.record_misdirected("one")
        self.announce("one", 2, 0.5)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_an_announcement_that_arrives_twice_counts_once(self):
        # A delayed copy of an announcement arrives after the backend server turned
        # silent. If the copy counted as a new announcement, the silent backend server
        # would stay in service.
        self.announce("one", 3, 0.0)
        self.announce("one", 3, 20.0)
        self.assertEqual(["one"], self.servers.remove_silent(31.0))

    def test_a_restart_under_the_same_id_ends_a_drain(self):
        # A backend server drains, crashes and restarts under the same id. After the
        # restart its announcements count from 1 again and no longer report "draining".
        # They must be accepted, so that the backend server gets work.
        self.announce("one", 7, 0.0, draining=True, start_unix_ms=1000)
        self.announce("one", 1, 1.0, start_unix_ms=2000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_restart_after_a_leave_gets_work(self):
        # The backend server left and was started again. The leave of the earlier start
        # does not apply to the new one.
        self.announce("one", 7, 0.0, start_unix_ms=1000)
        self.lifetimes.record_leave("one")
        self.announce("one", 1, 1.0, start_unix_ms=2000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_late_messages_of_an_earlier_start_are_ignored(self):
        # A network failure delays the announcement of the drain and the leave of the
        # first start. Both messages arrive after the second start. If the node applied
        # them to the second start, healthy capacity would be lost permanently.
        self.announce("one", 1, 0.0, start_unix_ms=2000)
        self.announce("one", 9, 0.5, draining=True, start_unix_ms=1000)
        self.lifetimes.record_leave("one", start_unix_ms=1000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_restart_after_the_clock_was_set_back_gets_work_after_a_while(self):
        # The clock of a backend server is set back by seconds, and then the backend
        # server restarts. It reports an earlier start time than before. If starts were
        # ordered by this time alone, all its announcements would be ignored as late.
        self.announce("one", 5, 0.0, start_unix_ms=9000)
        self.announce("one", 1, 1.0, start_unix_ms=7000)
        self.announce("one", 2, 2.5, start_unix_ms=7000)
        [server] = self.servers.all()
        self.assertEqual("one@9000", server.announcement.boot_id)
        self.announce("one", 4, REPLACED_SILENT_S + 0.1, start_unix_ms=7000)
        [server] = self.servers.all()
        self.assertEqual("one@7000", server.announcement.boot_id)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_leave_is_not_undone_by_an_earlier_start(self):
        self.announce("one", 5, 0.0, start_unix_ms=9000)
        self.lifetimes.record_leave("one", start_unix_ms=9000)
        self.announce("one", 4, REPLACED_SILENT_S + 10, start_unix_ms=7000)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_attempts_at_an_earlier_start_are_cancelled(self):
        # A backend server loses power without resetting its connections and restarts
        # within a second. An answer from the first start can no longer arrive, so
        # waiting for it would only occupy a slot.
        self.announce("one", 1, 0.0, start_unix_ms=1000)
        (server,) = self.servers.all()
        token = CancelToken()
        server.running.add(token)
        server.account.acquire()
        self.announce("one", 2, 0.5, start_unix_ms=1000)
        self.assertFalse(token.cancelled)
        self.announce("one", 1, 1.0, start_unix_ms=2000)
        self.assertTrue(token.cancelled)
        (server,) = self.servers.all()
        self.assertEqual(6, server.account.free(6, 1.0))

    def test_only_a_later_start_ends_the_attempts_that_run(self):
        # Guards against requests that are cut off because an announcement of an
        # earlier lifetime arrived late, or one was sent without its start.
        starts = {
            "earlier": (9000, 7000),
            "missing": (9000, 0),
            "known late": (0, 9000),
        }
        for name, (first_ms, second_ms) in starts.items():
            self.announce(name, 5, 0.0, start_unix_ms=first_ms)
            server = self.servers.get(name)
            token = CancelToken()
            server.running.add(token)
            self.announce(name, 6, REPLACED_SILENT_S + 0.1, start_unix_ms=second_ms)
            self.assertIsNot(server, self.servers.get(name), name)
            self.assertFalse(token.cancelled, name)
