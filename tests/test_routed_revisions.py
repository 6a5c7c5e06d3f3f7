"""Which revision of the settings the log names for a request."""

from testtools import TestCase

from balsamspindle.customers import CustomerAdmission
from balsamspindle.protocol.outcomes import Outcome
from balsamspindle.requests.admissions import Admissions
from balsamspindle.requests.caller_requests import CallerRequest
from balsamspindle.requests.request_log import RequestLog
from balsamspindle.settings.configuration import CurrentConfiguration
from tests.member_network import RecordedEvents
from tests.utils import encode

DOCUMENTS = {
    "crew/services/contracts": b"{}",
    "crew/routes/contracts": encode(
        {
            "service": "crew/contracts",
            "path_prefix": "/contracts/",
            "execution": "idempotent",
        }
    ),
}


class RoutedRevisionTests(TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = CurrentConfiguration()
        self.events = RecordedEvents()
        self.log = RequestLog(self.events, self.configuration)
        admission = CustomerAdmission(self.configuration)
        self.admissions = Admissions(admission, self.log)

    def decide(self, path: str):
        return self.admissions.admit(CallerRequest("GET", path), "r-1", 0.0)

    def logged(self) -> dict:
        return next(f for name, f in self.events.emitted if name == "request_ended")

    def test_the_log_names_the_revision_of_the_decision_not_of_the_end(self):
        self.configuration.offer(4, DOCUMENTS)
        admitted = self.decide("/contracts/7")
        self.configuration.offer(8, {"crew/services/other": b"{}"})
        self.log.ended("r-1", Outcome.ANSWERED, None, 200, admitted.revision)
        self.assertEqual(4, self.logged()["routed_revision"])
        self.assertEqual(8, self.logged()["settings_revision"])

    def test_a_refusal_names_the_revision_that_has_no_route(self):
        self.configuration.offer(4, DOCUMENTS)
        refused = self.decide("/vacancies/7")
        self.configuration.offer(8, DOCUMENTS)
        self.log.refused("r-1", refused)
        self.assertEqual(4, self.logged()["routed_revision"])

    def test_a_node_without_settings_names_none(self):
        self.log.refused("r-1", self.decide("/contracts/7"))
        self.assertIsNone(self.logged()["routed_revision"])
