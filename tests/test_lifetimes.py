"""Announcements in whatever order they arrive."""

from testtools import TestCase

from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.lifetimes import (
    REPLACED_SILENT_S,
    Condition,
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
        self, server_id, sequence, now_s, draining=False, service="t/a", born_ms=0
    ):
        announcement = Announcement(service, ADDRESS, 6, server_id)
        condition = Condition(sequence, draining, 0.0, born_ms)
        self.lifetimes.announce(server_id, announcement, condition, now_s)

    def states(self):
        return {server.backend_server_id: server.state for server in self.servers.all()}

    def test_a_late_ready_does_not_undo_a_drain(self):
        # The backend server says that it drains; its announcement of before,
        # held up on the way, arrives after that and says "ready". Work sent
        # then would be cut when the backend server ends.
        self.announce("one", 1, 0.0)
        self.announce("one", 3, 1.0, draining=True)
        self.announce("one", 2, 1.1)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())
        self.announce("one", 4, 2.0)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_an_earlier_start_does_not_take_its_address_back(self):
        # A crashed one's last announcement arrives after its successor's
        # first. The address is the successor's, perhaps of another service.
        self.announce("old", 5, 0.0)
        self.announce("new", 1, 1.0, service="t/b")
        self.announce("old", 6, 1.5)
        self.assertEqual(BackendServerState.READY, self.states()["new"])
        self.assertEqual(BackendServerState.DRAINING, self.states()["old"])

    def test_the_living_start_wins_when_the_late_one_came_last(self):
        # The node has just started: the late announcement looks like a new
        # start. The living one goes on announcing and the dead one does not.
        self.announce("new", 1, 0.0)
        self.announce("old", 9, 0.1)
        self.announce("new", 2, 1.5)
        self.announce("new", 3, REPLACED_SILENT_S + 0.2)
        self.assertEqual(BackendServerState.READY, self.states()["new"])

    def test_one_that_left_never_comes_back(self):
        self.announce("one", 1, 0.0)
        self.lifetimes.leave("one")
        self.announce("one", 2, 1.1)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_one_that_left_before_it_was_known_gets_no_work(self):
        # The node restarts between the two calls of a backend server that
        # leaves, and hears its late announcement last.
        self.lifetimes.leave("one")
        self.announce("one", 7, 0.1)
        self.assertEqual({}, self.states())

    def test_one_whose_address_is_anothers_gets_no_more_work(self):
        # A request meant for it was refused by whoever has its address now.
        self.announce("one", 1, 0.0)
        self.lifetimes.misdirected("one")
        self.announce("one", 2, 0.5)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_an_announcement_that_comes_twice_counts_once(self):
        # A copy of an announcement, held up on the way, arrives after the
        # backend server fell silent. Taken again it would keep it in service.
        self.announce("one", 3, 0.0)
        self.announce("one", 3, 20.0)
        self.assertEqual(["one"], self.servers.remove_silent(31.0))

    def test_a_new_start_under_the_same_id_begins_anew(self):
        # A backend server drains, crashes and starts again under its id: its
        # announcements count from 1 again, and nobody asked this start to drain.
        self.announce("one", 7, 0.0, draining=True, born_ms=1000)
        self.announce("one", 1, 1.0, born_ms=2000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_new_start_after_a_leave_takes_work(self):
        # It left for good and was started again; the leave was of before.
        self.announce("one", 7, 0.0, born_ms=1000)
        self.lifetimes.leave("one")
        self.announce("one", 1, 1.0, born_ms=2000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_late_word_of_an_earlier_start_counts_for_nothing(self):
        # The first start's "draining" and its leave were held up by a cut and
        # arrive when the second one serves. Taken, they would end healthy
        # capacity for good.
        self.announce("one", 1, 0.0, born_ms=2000)
        self.announce("one", 9, 0.5, draining=True, born_ms=1000)
        self.lifetimes.leave("one", born_ms=1000)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_start_whose_clock_was_set_back_serves_in_the_end(self):
        # A backend server's clock is set back by seconds, and it starts again: it
        # says that it started earlier than before. By that alone all that it says
        # would be late for ever.
        self.announce("one", 5, 0.0, born_ms=9000)
        self.announce("one", 1, 1.0, born_ms=7000)
        self.announce("one", 2, 2.5, born_ms=7000)
        [server] = self.servers.all()
        self.assertEqual("one@9000", server.announcement.boot_id)
        self.announce("one", 4, REPLACED_SILENT_S + 0.1, born_ms=7000)
        [server] = self.servers.all()
        self.assertEqual("one@7000", server.announcement.boot_id)
        self.assertEqual({"one": BackendServerState.READY}, self.states())

    def test_a_leave_is_not_undone_by_an_earlier_start(self):
        self.announce("one", 5, 0.0, born_ms=9000)
        self.lifetimes.leave("one", born_ms=9000)
        self.announce("one", 4, REPLACED_SILENT_S + 10, born_ms=7000)
        self.assertEqual({"one": BackendServerState.DRAINING}, self.states())

    def test_what_ran_at_an_earlier_start_is_given_up(self):
        # A backend server loses power, sends no reset, and is back a second
        # later. Whoever waits for the first start's answer waits in vain.
        self.announce("one", 1, 0.0, born_ms=1000)
        (server,) = self.servers.all()
        token = CancelToken()
        server.running.add(token)
        server.account.acquire()
        self.announce("one", 2, 0.5, born_ms=1000)
        self.assertFalse(token.cancelled)
        self.announce("one", 1, 1.0, born_ms=2000)
        self.assertTrue(token.cancelled)
        (server,) = self.servers.all()
        self.assertEqual(6, server.account.free(6, 1.0))
