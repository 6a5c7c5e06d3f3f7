"""What a backend server announces of itself in its answers, as a gate reads it."""

from testtools import TestCase

from balsamspindle.platform.headers import HEADER_NAMES
from balsamspindle.protocol.announced_terms import AnnouncedTerms, read_announced_terms

LIMIT, LEAVING = HEADER_NAMES.server_limit, HEADER_NAMES.server_leaving


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
