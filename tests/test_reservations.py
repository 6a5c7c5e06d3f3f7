"""An ingress that reserves places at two fake gates."""

import socket
import time

import msgspec

from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import Reply, ReservationCall, encode
from tests.two_gates import SERVICE, TwoGateCase, answer
from tests.utils import wait_until

WAIT_MS = 200.0
LARGE_BODY = b"x" * 20_000


def refuse(dispatch):
    reply = Reply(
        dispatch.attempt_id,
        Outcome.NOT_RUN,
        Reason.WOULD_WAIT,
        retry_after_ms=WAIT_MS,
    )
    return [(0.0, encode(reply))]


def call_after(delay_s):
    def call(request):
        message = ReservationCall(request.attempt_id, 100.0, time.monotonic())
        return [(delay_s, encode(message))]

    return call


class ReservationTests(TwoGateCase):
    """Both gates refuse attempts that are not reserved, as all their slots are busy."""

    def setUp(self):
        super().setUp()
        self._set_level(1)
        self.make_forwarder(reserves_places=True)
        self.answers = dict.fromkeys(self.NAMES, self._answer)

    def test_the_request_starts_where_it_is_called_first(self):
        # Guards against a request that stays in a long queue while another gate has a
        # free slot, and against a second start there.
        self.gates["a"].on_reservation = call_after(0.4)
        self.gates["b"].on_reservation = call_after(0.05)
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)
        (reserved,) = self._reserved_dispatches()
        self.assertEqual(self.gates["b"].reservations[-1].attempt_id, reserved)
        withdrawn = self.gates["a"].reservations[-1].attempt_id
        cancels = self.gates["a"].cancels
        wait_until(lambda: cancels, "the other reservation is withdrawn")
        self.assertEqual([withdrawn], [cancel.attempt_id for cancel in cancels])
        # The late call of the other gate reaches an ingress that serves another request
        # over the same link.
        time.sleep(0.4)
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)
        self.assertNotIn("message_dropped", self.log.getvalue())

    def test_a_large_body_is_sent_only_after_the_call(self):
        # Guards against links that are filled with the bodies of refused attempts.
        for gate in self.gates.values():
            gate.declines = Reason.WOULD_WAIT
        self.gates["a"].on_reservation = self.gates["b"].on_reservation = call_after(
            0.05
        )
        self.assertEqual(Outcome.ANSWERED, self._request(body=LARGE_BODY).outcome)
        self.assertEqual(1, self._dispatches())
        self.assertEqual(1, len(self._reserved_dispatches()))
        sizes = {request.query.body_bytes for request in self.gates["a"].reservations}
        self.assertEqual({len(LARGE_BODY)}, sizes)

    def test_a_silent_gate_does_not_keep_the_request(self):
        # Guards against a frozen gate that neither calls nor refuses.
        self.gates["b"].on_reservation = call_after(0.1)
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)
        self.assertEqual(1, len(self._reserved_dispatches()))

    def test_a_gate_that_ends_does_not_keep_the_request(self):
        # Guards against the death of a gate while reservations wait there.
        self.gates["a"].on_reservation = self._end_gate_a
        self.gates["b"].on_reservation = call_after(0.3)
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)

    def test_two_silent_gates_leave_a_request_that_has_not_run(self):
        # Guards against an unknown outcome when both gates are frozen: nothing of the
        # request was sent.
        reply = self._request(timeout_s=3.0)
        self.assertEqual(Outcome.NOT_RUN, reply.outcome)
        self.assertEqual([], self._reserved_dispatches())

    def test_a_refused_reservation_leaves_the_other(self):
        self.gates["a"].on_reservation = refuse
        self.gates["b"].on_reservation = call_after(0.1)
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)

    def test_an_old_build_gets_no_reservation(self):
        # Guards against a message that a node of an earlier release cannot read.
        self._set_level(0)
        self.answers = dict.fromkeys(self.NAMES, answer)
        self.answers["a"] = refuse
        self.assertEqual(Outcome.ANSWERED, self._request().outcome)
        self.assertEqual([], self._reservations())

    def test_a_service_without_the_setting_gets_no_reservation(self):
        self.make_forwarder(reserves_places=False)
        self._request(timeout_s=2.0)
        self.assertGreater(self._dispatches(), 0)
        self.assertEqual([], self._reservations())

    def _answer(self, dispatch):
        return answer(dispatch) if dispatch.is_reserved else refuse(dispatch)

    def _end_gate_a(self, request):
        self.gates["a"]._stopped.set()
        return []

    def _set_level(self, level):
        for record in self.directory.records():
            self.directory.update(
                msgspec.structs.replace(
                    record, link_level=level, version=record.version + 1
                ),
                0.0,
            )

    def _request(self, body=b"", timeout_s=5.0):
        near, far = socket.socketpair()
        with near, far:
            return self.forwarder.forward(
                ForwardedRequest(
                    "id",
                    HttpConnection(near, HttpLimits()),
                    CallerRequest("POST", "/", body=body),
                    RouteDocument(SERVICE, Execution.NON_IDEMPOTENT, target_ms=4000),
                    time.monotonic() + timeout_s,
                )
            )

    def _reservations(self):
        return [one for gate in self.gates.values() for one in gate.reservations]

    def _reserved_dispatches(self):
        return [
            dispatch.attempt_id
            for gate in self.gates.values()
            for dispatch in gate.dispatches
            if dispatch.is_reserved
        ]
