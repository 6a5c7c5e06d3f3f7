"""What a backend server announces of itself in its answers, as a gate reads it."""

import io

from testtools import TestCase

from balsamspindle.backend_servers.terms_table import AnswerTiming, TermsTable
from balsamspindle.platform.headers import HEADER_NAMES
from balsamspindle.protocol.announced_terms import AnnouncedTerms, read_announced_terms
from balsamspindle.timeline import EventLog, HybridClock, parse_event

LIMIT, LEAVING = HEADER_NAMES.server_limit, HEADER_NAMES.server_leaving
SERVER = "contracts-1"


def read(*headers):
    return read_announced_terms(headers, HEADER_NAMES)


class ReadTermsTests(TestCase):
    def test_a_limit_is_a_decimal_number(self):
        for value in ("3.1", "0.2", "0", "12", ".5", "2.", "3.0999999999999996"):
            self.assertEqual(float(value), read((LIMIT, value)).limit_per_s)

    def test_the_name_of_the_header_may_be_in_any_case(self):
        self.assertEqual(2.0, read(("server-LIMIT", "2")).limit_per_s)

    def test_a_value_that_is_no_number_of_requests_is_no_limit(self):
        for value in ("-1", "nan", "inf", "1e3", "", "3 4", "0x1", "٣", "9" * 400):
            terms = read((LIMIT, value))
            self.assertIsNone(terms.limit_per_s, value)
            self.assertEqual(1, len(terms.unreadable), value)
            self.assertLess(len(terms.unreadable[0]), 50)

    def test_of_several_limits_the_lowest_readable_one_counts(self):
        terms = read((LIMIT, "4"), (LIMIT, "nan"), (LIMIT, "2.5, 3"))
        self.assertEqual(2.5, terms.limit_per_s)

    def test_only_a_one_means_leaving(self):
        self.assertTrue(read((LEAVING, "1")).is_leaving)
        self.assertTrue(read((LEAVING, "0"), (LEAVING, "1")).is_leaving)
        for value in ("0", "", "soon", "11"):
            self.assertFalse(read((LEAVING, value)).is_leaving)

    def test_other_headers_say_nothing(self):
        self.assertEqual(AnnouncedTerms(), read(("X-Server-Load", "1,2,3")))


class TermsTableTests(TestCase):
    def setUp(self):
        super().setUp()
        self.events = EventLog("node", 1, HybridClock(), io.StringIO())
        self.table = TermsTable(self.events)

    def _answer(self, limit_per_s, sent_s, received_s, boot_id="1", **changes):
        timing = AnswerTiming(sent_s, received_s, **changes)
        self.table.record_answer(SERVER, boot_id, AnnouncedTerms(limit_per_s), timing)

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

    def test_a_new_lifetime_begins_without_a_limit(self):
        self._answer(2.0, 0.0, 1.0)
        self.assertIsNone(self._limit(boot_id="2"))
        self._answer(None, 2.0, 3.0, boot_id="2")
        self.assertIsNone(self._limit())

    def test_each_change_is_logged_once(self):
        for limit_per_s, sent_s in ((2.0, 0), (2.0, 1), (1.5, 2), (None, 3), (None, 4)):
            self._answer(limit_per_s, sent_s, sent_s + 0.5)
        lines = map(parse_event, self.events.recent(0, 100).lines)
        limits = [
            (line.get("limit_per_s"), line.get("previous_per_s")) for line in lines
        ]
        self.assertEqual([("2.0", None), ("1.5", "2.0"), (None, "1.5")], limits)
