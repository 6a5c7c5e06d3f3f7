"""An ingress tells gates what other attempts taught it of their backend servers."""

from testtools import TestCase

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.wire import ServerTerms
from tests.fake_gate import FakeGate
from tests.one_gate import Ingress, answer_frame
from tests.utils import free_address

TERMS = ServerTerms("1", 2.0, False)


class TermsHandoverTests(TestCase):
    def _start(self, **reply):
        address = free_address()
        self.gate = FakeGate(
            address, lambda dispatch: [(0, answer_frame(dispatch, **reply))]
        )
        self.addCleanup(self.gate.close)
        self.ingress = Ingress(address)
        self.addCleanup(self.ingress.links.close)

    def _sent_terms(self):
        for _ in range(2):
            self.ingress.request()
        return [dispatch.terms for dispatch in self.gate.dispatches]

    def test_an_attempt_carries_the_terms_of_an_earlier_answer(self):
        # Guards against a restarted gate that no ingress tells the limit.
        self._start(terms=TERMS)
        self.assertEqual([None, TERMS], self._sent_terms())

    def test_an_attempt_carries_the_terms_of_an_earlier_refusal(self):
        self._start(
            outcome=Outcome.NOT_RUN,
            reason=Reason.WOULD_WAIT,
            status=0,
            body=b"",
            body_checksum=0,
            terms=TERMS,
        )
        self.assertEqual([None, TERMS], self._sent_terms())

    def test_terms_of_an_earlier_lifetime_are_not_sent(self):
        self._start(terms=ServerTerms("0", 2.0))
        self.assertEqual([None, None], self._sent_terms())
