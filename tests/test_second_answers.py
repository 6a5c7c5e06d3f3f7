"""Backend servers that send an answer a second time, late."""

from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.sent_requests import REQUESTS_MAX, SentRequests
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution
from tests.stuttering_server import StutteringServer, echoed_answer

NAMES = HeaderNames(echoes_request_id=True, signature="X-Signature")
ERROR = b"500 Error"


class SecondAnswerTests(TestCase):
    def _server(self, answer, late_s=None):
        server = StutteringServer(answer, late_s)
        self.addCleanup(server.close)
        return server

    def test_a_request_sent_twice_never_gets_the_second_copy_of_its_first_answer(self):
        # Guards against a success where the backend server answered an error, and the
        # reverse: both answers have the id of the request.
        for statuses in ((b"200 OK", ERROR), (ERROR, b"200 OK", ERROR)):
            server = self._server(
                lambda request, number, statuses=statuses: echoed_answer(
                    request, statuses[number - 1]
                )
            )
            client = BackendServerClient(1000, NAMES)
            received = [_call(client, server, "r1").status for _ in statuses]
            self.assertEqual([int(status[:3]) for status in statuses], received)

    def test_other_requests_go_on_with_the_kept_connection(self):
        # Guards against a new connection for each request, which costs a backend
        # server time.
        server = self._server(lambda request, number: echoed_answer(request))
        server.sends_copies = False
        client = BackendServerClient(1000, NAMES)
        for request_id in ("r1", "r2", "r1", "r2", "r3"):
            self.assertEqual(200, _call(client, server, request_id).status)
        self.assertEqual(2, server.connection_count)

    def test_a_connection_carries_a_bounded_number_of_requests(self):
        # Guards against an id whose record was dropped while its connection is kept,
        # and against a record that grows without bound.
        server = self._server(lambda request, number: echoed_answer(request))
        server.sends_copies = False
        client = BackendServerClient(1000, NAMES)
        for number in range(2 * REQUESTS_MAX + 1):
            self.assertEqual(200, _call(client, server, f"r{number}").status)
        self.assertEqual(3, server.connection_count)


class SentRequestsTests(TestCase):
    def test_an_id_is_sent_once(self):
        sent = SentRequests()
        self.assertTrue(sent.may_send("r1"))
        sent.record("r1")
        self.assertEqual([False, True], list(map(sent.may_send, ("r1", "r2"))))

    def test_status_checks_without_an_id_may_follow_each_other(self):
        sent = SentRequests()
        sent.record("")
        self.assertTrue(sent.may_send(""))


def _call(client, server, request_id, target="/", may_resend=lambda cause: False):
    return client.call(
        server.address,
        "GET",
        target,
        [("X-Request-Id", request_id)],
        b"",
        Execution.IDEMPOTENT,
        3000,
        request_id=request_id,
        may_resend=may_resend,
    )
