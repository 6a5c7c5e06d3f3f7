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

    def test_a_late_ready_does_not_undo_a_drain(self):
        # A delayed announcement that says "ready" arrives after the one that says
        # "draining". If it counted, the backend server would get new requests, which
        # are cut when it ends.
        self.announce("one", 1, 0.0)
        self.announce("one", 3, 1.0, draining=True)
        self.announce("one", 2, 1.1)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())
        self.announce("one", 4, 2.0)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_an_earlier_start_does_not_take_its_address_back(self):
        # The last announcement of a crashed backend server arrives after the first
        # one of its successor, which has the address now and may run another service.
        self.announce("old", 5, 0.0)
        self.announce("new", 1, 1.0, service="t/b")
        self.announce("old", 6, 1.5)
        self.assertEqual(BackendServerState.READY, self.states()["new"])
        self.assertEqual(BackendServerState.DRAINING, self.states()["old"])

    def test_the_running_start_wins_when_a_late_announcement_arrives_last(self):
        # The node has just started, so the late announcement of a backend server that
        # has ended looks like a new start. Only the running one keeps announcing.
        self.announce("new", 1, 0.0)
        self.announce("old", 9, 0.1)
        self.announce("new", 2, 1.5)
        self.announce("new", 3, REPLACED_SILENT_S + 0.2)
        self.assertEqual(BackendServerState.READY, self.states()["new"])

    def test_a_start_that_left_gets_no_work_again(self):
        self.announce("one", 1, 0.0)
        self.lifetimes.record_leave("one")
        self.announce("one", 2, 1.1)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_a_start_that_left_before_it_was_announced_gets_no_work(self):
        # The node restarts before a backend server reports that it leaves. The node's
        # first announcement of it is a late one, which arrives after the report.
        self.lifetimes.record_leave("one")
        self.announce("one", 7, 0.1)
        self.assertEqual({}, self.states())

    def test_a_start_whose_address_belongs_to_another_gets_no_work(self):
        # A request for it was refused by the backend server that has its address now.
        self.announce("one", 1, 0.0)
        self.lifetimes.record_misdirected("one")
        self.announce("one", 2, 0.5)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_an_announcement_that_arrives_twice_counts_once(self):
        # A delayed copy of an announcement arrives after the backend server turned
        # silent. If it counted, the backend server would stay in service.
        self.announce("one", 3, 0.0)
        self.announce("one", 3, 20.0)
        self.assertEqual(["one"], self.servers.remove_silent(31.0))

    def test_a_new_start_under_the_same_id_begins_anew(self):
        # A backend server drains, crashes and restarts under the same id. After the
        # restart its announcements count from 1 again and no longer report that it
        # drains, so it has to get work.
        self.announce("one", 7, 0.0, draining=True, start_unix_ms=1000)
        self.announce("one", 1, 1.0, start_unix_ms=2000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_new_start_after_a_leave_takes_work(self):
        # The backend server left and was started again; the leave does not apply to
        # the new start.
        self.announce("one", 7, 0.0, start_unix_ms=1000)
        self.lifetimes.record_leave("one")
        self.announce("one", 1, 1.0, start_unix_ms=2000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_late_messages_of_an_earlier_start_are_ignored(self):
        # The "draining" and the leave of the first start are delayed by a network
        # failure and arrive when the second one serves. If they counted, healthy
        # capacity would be lost for good.
        self.announce("one", 1, 0.0, start_unix_ms=2000)
        self.announce("one", 9, 0.5, draining=True, start_unix_ms=1000)
        self.lifetimes.record_leave("one", start_unix_ms=1000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_start_whose_clock_was_set_back_gets_work_after_a_while(self):
        # The clock of a backend server is set back by seconds, and it restarts: it
        # reports an earlier start time than before. By the time alone all its
        # announcements would be ignored as late.
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
        # A backend server loses power without resetting its connections, and is back a
        # second later. An answer from the first start can no longer arrive.
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
