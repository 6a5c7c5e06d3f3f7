"""What a gate records of the terms that backend servers announce."""

import math

from testtools import TestCase

from balsamspindle.backend_servers.terms_table import AnswerTiming, TermsTable
from balsamspindle.protocol.announced_terms import AnnouncedTerms
from balsamspindle.wire import ServerTerms

SERVER = "contracts-1"


class TermsTableTests(TestCase):
    def setUp(self):
        super().setUp()
        self.leaving = []
        self.table = TermsTable(lambda *ids: self.leaving.append(ids))

    def _answer(
        self, limit_per_s, sent_s, received_s, boot_id="1", leaves=False, **timing
    ):
        return self.table.record_answer(
            SERVER,
            boot_id,
            AnnouncedTerms(limit_per_s, leaves),
            AnswerTiming(sent_s, received_s, **timing),
        )

    def _limit(self, boot_id="1"):
        return self.table.limit_per_s(SERVER, boot_id)

    def test_a_limit_holds_until_a_later_request_is_answered_without_one(self):
        self._answer(2.0, 0.0, 1.0)
        self._answer(None, 0.9, 5.0)
        self.assertEqual(2.0, self._limit())
        self._answer(None, 1.1, 1.2)
        self.assertIsNone(self._limit())

    def test_an_error_without_a_limit_does_not_end_the_limit(self):
        self._answer(2.0, 0.0, 1.0)
        self._answer(None, 2.0, 3.0, may_end_limit=False)
        self.assertEqual(2.0, self._limit())

    def test_an_unreadable_limit_leaves_the_known_one_in_force(self):
        self._answer(2.0, 0.0, 1.0)
        unreadable = AnnouncedTerms(None, False, ("Server-Limit: nan",))
        self.table.record_answer(SERVER, "1", unreadable, AnswerTiming(2.0, 3.0))
        self.assertEqual(2.0, self._limit())

    def test_a_new_lifetime_begins_without_terms(self):
        self._answer(2.0, 0.0, 1.0)
        self.assertIsNone(self._limit(boot_id="2"))
        self._answer(None, 2.0, 3.0, boot_id="2")
        self.assertIsNone(self._limit())
        self.assertIsNone(self.table.shared(SERVER))

    def test_each_change_is_returned_once(self):
        changes = [
            self._answer(limit_per_s, sent_s, sent_s + 0.5)
            for sent_s, limit_per_s in enumerate((2.0, 2.0, 1.5, None, None))
        ]
        limits = [change and change.current.limit_per_s for change in changes]
        self.assertEqual([2.0, None, 1.5, None, None], limits)
        self.assertIsNotNone(changes[3])
        self.assertIsNone(changes[4])

    def test_each_answer_that_says_so_drains_the_backend_server(self):
        self._answer(None, 0.0, 1.0, leaves=True)
        self._answer(None, 1.0, 2.0, leaves=True)
        self._answer(None, 2.0, 3.0)
        self.assertEqual([(SERVER, "1")] * 2, self.leaving)
        self.assertTrue(self.table.shared(SERVER).is_leaving)

    def test_a_gate_without_answers_adopts_what_an_ingress_knows(self):
        # Guards against a limit that ends with the restart of the gate's node.
        self.table.adopt(SERVER, ServerTerms("1", 2.0, True), 5.0)
        self.assertEqual(2.0, self._limit())
        self.assertEqual([(SERVER, "1")], self.leaving)
        self.assertLess(self.table.allowance(SERVER, "1", 5.0).tokens, 1)

    def test_answers_that_may_lack_the_header_do_not_keep_a_gate_from_adopting(self):
        # Guards against the end of a limit with the restart of its gate's node, if the
        # first answer after the restart is an error or belongs to a status check.
        self._answer(None, 0.0, 1.0, may_end_limit=False)
        self._answer(None, 1.0, 2.0, is_status_check=True)
        self.table.adopt(SERVER, ServerTerms("1", 2.0), 3.0)
        self.assertEqual(2.0, self._limit())

    def test_adopting_the_same_limit_again_does_not_restart_its_count(self):
        for now_s in (0.0, 0.3, 0.6):
            self.table.adopt(SERVER, ServerTerms("1", 2.0), now_s)
        self.assertGreaterEqual(self.table.allowance(SERVER, "1", 0.6).tokens, 1)

    def test_a_gate_corrects_an_ingress_that_knows_an_earlier_limit(self):
        self._answer(None, 0.0, 1.0)
        self.assertIsNone(self.table.adopt(SERVER, ServerTerms("1", 2.0), 2.0))
        self.assertIsNone(self._limit())
        self.assertEqual(ServerTerms("1"), self.table.shared(SERVER))

    def test_an_answer_without_a_limit_ends_an_adopted_one(self):
        self.table.adopt(SERVER, ServerTerms("1", 2.0), 1.0)
        self._answer(None, 0.5, 1.5)
        self.assertEqual(2.0, self._limit())
        self._answer(None, 1.6, 2.0)
        self.assertIsNone(self._limit())

    def test_a_status_check_ends_only_a_limit_that_the_check_before_it_named(self):
        # Guards against the end of a limit by a status endpoint that lacks the header.
        self._answer(2.0, 0.0, 1.0)
        self._answer(None, 2.0, 3.0, is_status_check=True)
        self.assertEqual(2.0, self._limit())
        self._answer(2.0, 4.0, 5.0, is_status_check=True)
        self._answer(None, 6.0, 7.0, is_status_check=True, may_end_limit=False)
        self.assertEqual(2.0, self._limit())
        self._answer(None, 8.0, 9.0, is_status_check=True)
        self.assertIsNone(self._limit())

    def test_a_status_check_ends_no_limit_that_a_later_answer_named(self):
        # Guards against a limit that each status check ends and each answer names.
        self._answer(2.0, 0.0, 1.0, is_status_check=True)
        self._answer(None, 2.0, 3.0, is_status_check=True)
        self._answer(2.0, 4.0, 5.0)
        self._answer(None, 6.0, 7.0, is_status_check=True)
        self.assertEqual(2.0, self._limit())

    def test_a_limit_that_is_no_number_is_not_adopted(self):
        for limit_per_s in (math.nan, math.inf, -1.0):
            self.table.adopt(SERVER, ServerTerms("1", limit_per_s), 1.0)
        self.assertIsNone(self._limit())
