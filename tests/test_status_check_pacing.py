"""How many status checks a backend server gets that names a limit."""

from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.backend_servers.status_check_pacing import StatusCheckPacing
from balsamspindle.backend_servers.terms_table import AnswerTiming
from balsamspindle.protocol.announced_terms import AnnouncedTerms

SERVER, BOOT_ID = "i-1", "1"


class StatusCheckPacingTests(TestCase):
    def setUp(self):
        super().setUp()
        servers = LocalBackendServers()
        announcement = Announcement("crew/contracts", "127.0.0.1:1", 6, BOOT_ID)
        servers.announce(SERVER, announcement, 0.0)
        self.server = servers.get(SERVER)
        self.terms = Admission(servers).terms
        self.pacing = StatusCheckPacing(Admission(servers, terms=self.terms))

    def _name_limit(self, limit_per_s, now_s):
        announced = AnnouncedTerms(limit_per_s, False)
        timing = AnswerTiming(now_s, now_s)
        self.terms.record_answer(SERVER, BOOT_ID, announced, timing)

    def _checks(self, from_s, seconds):
        return sum(
            self.pacing.may_send(self.server, from_s + second)
            for second in range(seconds)
        )

    def test_status_checks_leave_most_of_a_small_limit_to_requests(self):
        # Guards against a limit of one request per second that status checks use up.
        cases = (1.0, 10), (0.2, 2), (4.0, 40)
        for number, (limit_per_s, checks) in enumerate(cases):
            named_s = 1000.0 * number
            self._name_limit(limit_per_s, named_s)
            self.assertEqual(checks, self._checks(named_s + 10, 40), limit_per_s)

    def test_status_checks_count_towards_the_limit(self):
        self._name_limit(1.0, 0.0)
        self.assertTrue(self.pacing.may_send(self.server, 5.0))
        self.assertLess(self.terms.allowance(SERVER, BOOT_ID, 5.0).tokens, 1)

    def test_a_backend_server_without_a_limit_gets_all_status_checks(self):
        self.assertEqual(10, self._checks(0.0, 10))
        self._name_limit(0.1, 10.0)
        self._checks(10.0, 20)
        self._name_limit(None, 31.0)
        self.assertEqual(10, self._checks(31.0, 10))
