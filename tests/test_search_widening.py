"""How a request's search goes on after all gates refused it."""

from testtools import TestCase

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.http import CallerRequest
from balsamspindle.requests.search_widening import (
    SearchWidening,
    call_wait_ms,
    search_duration_s,
)
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import HoldOut, Importance
from tests.placement_case import SERVICE, FixedPicker

CALL_TIMEOUT_S, CALL_TARGET_S = 1.4, 0.54
READ_TIMEOUT_S, READ_TARGET_S = 12.4, 2.4


class Caller:
    def __init__(self) -> None:
        self.has_left = False

    def caller_left(self) -> bool:
        return self.has_left


class SearchWideningTests(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.is_aborted = False
        self.held_out = HeldOutServers()
        self.held_out.record("near-0", HoldOut(60_000.0, 3), 0.0)
        self.caller = Caller()

    def widening(self, inherits=True) -> SearchWidening:
        return SearchWidening(
            FixedPicker(), self.held_out, lambda service: inherits, self._wait
        )

    def _wait(self, duration_s: float) -> bool:
        self.now_s += duration_s
        return self.is_aborted

    def request(self, execution=Execution.IDEMPOTENT, is_call=True):
        timeout_s, target_s = (
            (CALL_TIMEOUT_S, CALL_TARGET_S)
            if is_call
            else (READ_TIMEOUT_S, READ_TARGET_S)
        )
        route = RouteDocument(SERVICE, execution, target_ms=target_s * 1000)
        return ForwardedRequest(
            "r",
            self.caller,
            CallerRequest(),
            route,
            timeout_s,
            target_s=target_s,
            importance=Importance(0.5, 200.0) if is_call else None,
        )

    def search(self, forwarded, inherits=True) -> int:
        """Let all gates refuse until the last resort; return the searches before it."""
        widening, searches = self.widening(inherits), 0
        while widening.widen(forwarded, self.now_s):
            if forwarded.is_last_resort:
                return searches
            searches += 1
        return searches

    def test_a_call_is_searched_a_sound_gate_while_its_answer_can_be_in_time(self):
        forwarded = self.request()
        self.assertGreater(self.search(forwarded), 5)
        self.assertTrue(forwarded.is_last_resort)
        # Time for a last resort, a round trip and a run, remains.
        self.assertGreater(CALL_TIMEOUT_S - self.now_s, 0.25)

    def test_a_read_is_searched_a_sound_gate_until_its_answer_would_be_late(self):
        forwarded = self.request(is_call=False)
        self.assertGreater(self.search(forwarded), 3)
        self.assertTrue(forwarded.is_last_resort)
        self.assertLess(self.now_s, READ_TARGET_S)

    def test_without_the_setting_an_idempotent_request_is_a_last_resort_at_once(self):
        forwarded = self.request(is_call=False)
        self.assertEqual(0, self.search(forwarded, inherits=False))
        self.assertTrue(forwarded.is_last_resort)

    def test_a_non_idempotent_request_is_searched_a_gate_until_it_would_be_late(self):
        # Guards against the loss of a request that may run only once to the error of a
        # suspected backend server, while sound ones free their slots.
        forwarded = self.request(Execution.NON_IDEMPOTENT, is_call=False)
        duration_s = search_duration_s(forwarded, True, 0.0)
        self.assertLess(READ_TARGET_S / 2, duration_s)
        self.assertLess(duration_s, READ_TARGET_S)
        late_s = READ_TARGET_S + 1
        self.assertAlmostEqual(
            (READ_TIMEOUT_S - late_s) / 10, search_duration_s(forwarded, True, late_s)
        )

    def test_without_the_setting_it_is_searched_a_gate_for_a_tenth_of_its_time(self):
        forwarded = self.request(Execution.NON_IDEMPOTENT, is_call=False)
        duration_s = search_duration_s(forwarded, False, 0.0)
        self.assertAlmostEqual(READ_TIMEOUT_S / 10, duration_s)

    def test_a_call_whose_caller_left_is_searched_no_longer(self):
        # Guards against calls that are sent for a parent that has been given up.
        self.caller.has_left = True
        self.assertFalse(self.widening().widen(self.request(), self.now_s))

    def test_a_leaving_node_ends_the_search(self):
        # Guards against a search that outlasts its ingress.
        self.is_aborted = True
        self.assertFalse(self.widening().widen(self.request(), self.now_s))

    def test_a_call_waits_for_slots_even_if_no_backend_server_is_suspected(self):
        self.held_out = HeldOutServers()
        forwarded = self.request()
        self.assertGreater(self.search(forwarded), 5)
        self.assertFalse(forwarded.is_last_resort)

    def test_only_a_call_waits_longer_in_its_own_zone(self):
        self.assertEqual(0.0, call_wait_ms(self.request(is_call=False), 0.0))
        self.assertGreater(call_wait_ms(self.request(), 0.0), 300.0)
