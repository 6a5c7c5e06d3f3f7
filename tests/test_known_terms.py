"""What an ingress keeps of the terms that gates reported to it."""

from testtools import TestCase

from balsamspindle.services.known_terms import WAIT_VALID_MAX_S, KnownTerms
from balsamspindle.wire import BackendServerRecord, ServerTerms


def record(server_id="i-1", boot_id="1"):
    return BackendServerRecord(server_id, "crew/contracts", boot_id, 6, "ready")


class KnownTermsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.terms = KnownTerms()

    def test_a_gate_that_knows_nothing_takes_nothing_back(self):
        # Guards against a restarted gate whose replies make ingresses forget.
        self.terms.record("i-1", ServerTerms("1", 2.0, True))
        self.terms.record("i-1", None)
        self.assertEqual(ServerTerms("1", 2.0, True), self.terms.get(record()))

    def test_a_leaving_is_never_taken_back_but_a_limit_may_end(self):
        self.terms.record("i-1", ServerTerms("1", 2.0, True))
        self.terms.record("i-1", ServerTerms("1"))
        self.assertEqual(ServerTerms("1", None, True), self.terms.get(record()))

    def test_terms_of_another_lifetime_are_not_known(self):
        self.terms.record("i-1", ServerTerms("1", 2.0, True))
        self.assertIsNone(self.terms.get(record(boot_id="2")))
        self.terms.record("i-1", ServerTerms("2"))
        self.assertEqual(ServerTerms("2"), self.terms.get(record(boot_id="2")))

    def test_a_stated_wait_ends_when_the_limit_allows_a_request(self):
        self.terms.record_wait("i-1", 1.0, 400.0, 0.0)
        self.assertAlmostEqual(300.0, self.terms.waits_ms(1.0, 0.1)["i-1"])
        self.assertEqual({}, self.terms.waits_ms(1.0, 0.5))

    def test_a_long_wait_is_believed_for_a_short_time_only(self):
        # Guards against a backend server that is avoided after its limit has ended.
        self.terms.record_wait("i-1", 1.0, 60_000.0, 0.0)
        self.assertEqual({}, self.terms.waits_ms(1.0, WAIT_VALID_MAX_S + 0.01))

    def test_a_refusal_without_a_wait_excludes_nothing(self):
        self.terms.record_wait("i-1", 1.0, 0.0, 0.0)
        self.assertEqual({}, self.terms.waits_ms(1.0, 0.0))

    def test_waits_that_are_over_are_discarded(self):
        for number in range(100):
            self.terms.record_wait(f"i-{number}", 1.0, 100.0, number)
        self.assertEqual(1, len(self.terms._waits))
