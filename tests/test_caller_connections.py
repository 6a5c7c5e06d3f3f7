"""Callers' connections: slow callers, the connection limit, and a leaving node."""

import threading
import time

from testtools import TestCase

from balsamspindle.requests.forwarded import StopReason
from balsamspindle.timeline import parse_event
from tests.caller_side import IngressFixture
from tests.test_caller_side import GET, post
from tests.utils import wait_until

HEAD_BEGUN_S = 0.2
# A node with a shutdown timeout of one second refuses requests that arrive this long
# after it began to leave.
LATE_S = 0.7


class SlowCallerTests(TestCase):
    def test_a_head_that_is_sent_too_slowly_is_answered_with_408(self):
        # Guards against callers that occupy a connection forever by sending a byte now
        # and then. Each byte restarts a plain socket timeout, so a few hundred of these
        # callers would use up all connections.
        fixture = IngressFixture(request_head_timeout_s=0.4)
        self.addCleanup(fixture.close)
        caller = fixture.caller().send(b"GET /con")
        stop = threading.Event()

        def send_slowly():
            while not stop.wait(0.05):
                caller.send(b"x")

        sender = threading.Thread(target=send_slowly)
        sender.start()
        answer = caller.read()
        stop.set()
        sender.join()
        self.assertEqual((408, "not_run"), (answer.status, answer.json()["outcome"]))

    def test_an_incomplete_body_is_answered_with_408(self):
        fixture = IngressFixture(request_head_timeout_s=0.1, request_body_timeout_s=0.1)
        self.addCleanup(fixture.close)
        caller = fixture.caller().send(post(b"Content-Length: 5", b"abc"))
        self.assertEqual(408, caller.read().status)
        self.assertEqual([], fixture.forwarder.forwarded)

    def test_an_idle_connection_ends_without_an_error_in_the_log(self):
        fixture = IngressFixture(connection_idle_timeout_s=0.2)
        self.addCleanup(fixture.close)
        caller = fixture.caller().send(GET)
        caller.read()
        self.assertTrue(caller.wait_for_close())
        # Matches whole fields, since "408" may occur among the digits of a timestamp.
        self.assertNotIn("status=408", fixture.logged())
        self.assertNotIn("request_timeout", fixture.logged())

    def test_an_answer_that_is_not_delivered_is_logged(self):
        fixture = IngressFixture()
        self.addCleanup(fixture.close)
        fixture.forwarder.answers_allowed.clear()
        fixture.forwarder.padding = "x" * 20_000_000
        caller = fixture.caller().send(GET)
        wait_until(lambda: fixture.forwarder.forwarded, "the request is forwarded")
        caller.close()
        fixture.forwarder.answers_allowed.set()
        wait_until(
            lambda: "event=answer_not_delivered" in fixture.logged(),
            "the event is logged",
        )


class LateRequestTests(TestCase):
    def test_a_request_that_a_leaving_node_reads_late_is_refused_as_not_run(self):
        # Guards against a request that is cut at the shutdown timeout while a backend
        # server works on it. A node that has been leaving for a while reads a request
        # on a connection that it accepted earlier. The node refuses the request, so
        # that the caller can use another node at once.
        fixture = IngressFixture(shutdown_timeout_s=1.0)
        self.addCleanup(fixture.close)
        caller = fixture.caller().send(GET[:-2])
        # The node has received the first bytes of a request, so it considers the
        # connection busy and does not close it when it stops.
        time.sleep(HEAD_BEGUN_S)
        fixture.ingress.stop()
        time.sleep(LATE_S)
        caller.send(GET[-2:])
        answer = caller.read()
        self.assertEqual(
            (503, "close"), (answer.status, answer.header_value("connection"))
        )
        self.assertEqual("not_run", answer.header_value("x-balsamspindle-outcome"))
        self.assertTrue(answer.header_value("retry-after"))
        self.assertEqual([], fixture.forwarder.forwarded)
        caller.close()


class LeavingNodeTests(TestCase):
    def test_a_request_that_ends_on_a_leaving_node_logs_how_long_it_has_been_leaving(
        self,
    ):
        # The first request ends before the node starts to leave, so its log line has
        # none of the three fields. The second request ends while the node is leaving,
        # so its line has `leaving_ms`. The run of the second request is lost, so its
        # line has `after_cut_ms`, the time since this loss. The run is lost before the
        # node starts to leave, so `after_cut_ms` is not less than `leaving_ms`.
        fixture = IngressFixture()
        self.addCleanup(fixture.close)
        fixture.caller().send(GET).read()
        fixture.forwarder.answers_allowed.clear()
        busy = fixture.caller().send(GET)
        wait_until(lambda: len(fixture.forwarder.forwarded) == 2, "one request runs")
        self.assertEqual(1, fixture.ingress.waiting_caller_count())
        fixture.forwarder.forwarded[1].run_lost_s = time.monotonic()
        fixture.forwarder.forwarded[1].stopped_by = StopReason.NO_PLACE
        fixture.ingress.stop()
        fixture.forwarder.answers_allowed.set()
        busy.read()
        lines = map(parse_event, fixture.logged().splitlines())
        ended = [line for line in lines if line.get("service")]
        self.assertEqual(2, len(ended))
        for name in ("leaving_ms", "after_cut_ms", "stopped_by"):
            self.assertNotIn(name, ended[0])
        leaving_ms, after_cut_ms = (
            int(ended[1][name]) for name in ("leaving_ms", "after_cut_ms")
        )
        self.assertTrue(0 <= leaving_ms <= after_cut_ms, ended[1])
        self.assertEqual("no_place", ended[1]["stopped_by"])
        busy.close()


class BoundedConnectionTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = IngressFixture(connections_max=2)
        self.addCleanup(self.fixture.close)

    def test_an_idle_connection_is_closed_for_a_new_one_and_a_busy_one_is_not(self):
        # Guards against the refusal of a new caller because other callers keep idle
        # connections open up to the limit, although no request runs.
        idle = self.fixture.caller().send(GET)
        idle.read()
        self.fixture.forwarder.answers_allowed.clear()
        busy = self.fixture.caller().send(GET)
        wait_until(
            lambda: len(self.fixture.forwarder.forwarded) == 2, "one request runs"
        )
        new_caller = self.fixture.caller().send(GET)
        wait_until(
            lambda: len(self.fixture.forwarder.forwarded) == 3, "two requests run"
        )
        self.assertEqual((408, "gave_way"), _refusal(idle))
        refused = self.fixture.caller().send(GET)
        answer = refused.read()
        self.assertEqual(
            (503, "1"), (answer.status, answer.header_value("retry-after"))
        )
        self.assertEqual("not_run", answer.header_value("x-balsamspindle-outcome"))
        self.fixture.forwarder.answers_allowed.set()
        self.assertEqual([200, 200], [busy.read().status, new_caller.read().status])

    def test_a_stopping_node_closes_idle_connections_and_answers_running_requests(self):
        # Guards against idle connections that keep the process alive until their idle
        # timeout, long after the shutdown timeout.
        idle = self.fixture.caller().send(GET)
        idle.read()
        self.fixture.forwarder.answers_allowed.clear()
        busy = self.fixture.caller().send(GET)
        wait_until(
            lambda: len(self.fixture.forwarder.forwarded) == 2, "one request runs"
        )
        self.fixture.ingress.stop()
        self.assertEqual((408, "node_leaving"), _refusal(idle))
        self.assertFalse(self.fixture.ingress.ended())
        self.fixture.forwarder.answers_allowed.set()
        self.assertEqual("close", busy.read().header_value("connection"))
        self.assertTrue(busy.wait_for_close())
        busy.close()
        wait_until(self.fixture.ingress.ended, "all connections have ended")


def _refusal(caller) -> tuple[int, str]:
    answer = caller.read()
    assert caller.wait_for_close()
    caller.close()
    return answer.status, answer.json()["reason"]
