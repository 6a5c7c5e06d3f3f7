"""When an ingress checks whether limits still hold, and with which requests."""

import io
import random

from testtools import TestCase

from balsamspindle.backend_servers.limited_capacity import (
    UNATTEMPTED_S,
    LimitedCapacity,
)
from balsamspindle.membership.directory import Directory
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.http import CallerRequest
from balsamspindle.requests.limit_check_selection import LimitCheckSelector
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.holdouts import HoldOuts
from balsamspindle.services.known_terms import KnownTerms
from balsamspindle.services.limit_checks import (
    CHECK_INTERVAL_MAX_S,
    JITTER_FRACTION,
    LimitChecks,
)
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    BackendServerRecord,
    HoldOut,
    NodeRecord,
    ServerTerms,
)

SERVICE, SERVER = "crew/contracts", "i-1"
OWN_ZONE, OTHER_ZONE = "zone-0", "zone-1"
LIMIT_PER_S = 1.0
STEP_S = 0.05
LATEST_S = 1 + JITTER_FRACTION


class LimitCheckTests(TestCase):
    def setUp(self):
        super().setUp()
        self.checks = LimitChecks(random.Random(1))

    def _checks_until(self, is_refused, to_s, factor=1.0):
        """Check whenever it is due, with prompt replies; return when."""
        checked_s = []
        for step in range(round(to_s / STEP_S)):
            now_s = step * STEP_S
            if self.checks.try_begin(SERVER, factor, now_s):
                checked_s.append(now_s)
                self.checks.record_reply(SERVER, LIMIT_PER_S, is_refused, now_s)
        return checked_s

    def test_a_limit_with_room_is_checked_about_each_second(self):
        checked_s = self._checks_until(False, 20.0)
        self.assertTrue(20 / LATEST_S - 1 <= len(checked_s) <= 20, checked_s)

    def test_a_check_is_not_due_before_the_limit_allows_a_request(self):
        self.checks.record_reply(SERVER, 0.5, False, 0.0)
        self.assertFalse(self.checks.try_begin(SERVER, 1.0, 1.9))
        self.assertTrue(self.checks.try_begin(SERVER, 1.0, 2 * LATEST_S))
        self.checks.record_reply(SERVER, 0.0, False, 10.0)
        longest_s = CHECK_INTERVAL_MAX_S * LATEST_S
        self.assertTrue(self.checks.try_begin(SERVER, 2.0, 10.0 + longest_s))

    def test_refused_checks_become_rare_but_never_end(self):
        # Guards against attempts of many ingresses for the same used-up limit.
        checked_s = self._checks_until(True, 60.0)
        gaps_s = [
            after_s - before_s
            for before_s, after_s in zip(checked_s, checked_s[1:], strict=False)
        ]
        longest_s = CHECK_INTERVAL_MAX_S * LATEST_S
        self.assertLessEqual(max(gaps_s), longest_s + 2 * STEP_S)
        self.assertLessEqual(len(checked_s), 22)

    def test_an_accepted_check_ends_the_long_intervals(self):
        self._checks_until(True, 30.0)
        self.checks.record_reply(SERVER, LIMIT_PER_S, False, 30.0)
        self.assertFalse(self.checks.try_begin(SERVER, 1.0, 30.5))
        self.assertTrue(self.checks.try_begin(SERVER, 1.0, 30.0 + LATEST_S))

    def test_other_requests_replace_checks(self):
        # Guards against checks in addition to requests that show the end as well.
        for step in range(100):
            self.checks.record_reply(SERVER, LIMIT_PER_S, False, step / 2)
            self.assertFalse(self.checks.try_begin(SERVER, 1.0, step / 2 + 0.4))

    def test_no_second_check_begins_before_the_reply(self):
        self.assertTrue(self.checks.try_begin(SERVER, 1.0, 0.0))
        self.assertFalse(self.checks.try_begin(SERVER, 1.0, 0.1))

    def test_an_unattempted_limit_lasts_longer_than_any_check_interval(self):
        # Guards against a capacity that changes between two checks of one ingress.
        self.assertGreater(UNATTEMPTED_S, CHECK_INTERVAL_MAX_S * LATEST_S)


class LimitedCapacityTests(TestCase):
    def test_a_limited_server_that_nobody_tries_reports_all_of_its_slots(self):
        # Guards against a limit that only ingresses without requests know of.
        capacity = LimitedCapacity()
        self.assertEqual(0.5, capacity.fraction(4.0, 0.5, 4, 100.0))
        self.assertEqual(0.5, capacity.fraction(4.0, 0.5, 4, 100.0 + UNATTEMPTED_S))
        self.assertEqual(1.0, capacity.fraction(4.0, 0.5, 4, 100.1 + UNATTEMPTED_S))
        capacity.record_attempt(110.0)
        self.assertEqual(0.5, capacity.fraction(4.0, 0.5, 4, 110.1))
        self.assertEqual(1.0, capacity.fraction(None, 0.5, 4, 110.2))


class Sender:
    """What an ingress knows of gates."""

    def __init__(self):
        self.held_out_servers = HeldOutServers()
        self.link_hold_outs = HoldOuts(1.0, 1.0)
        self.known_terms = KnownTerms()
        self.limit_checks = LimitChecks(random.Random(1))


class Unlimited:
    """Selects no placement, in place of the selector of all other attempts."""

    def select(self, forwarded, now_s):
        return None


def node(number, zone):
    server = BackendServerRecord(f"i-{number}", SERVICE, "1", 4, "ready")
    return NodeRecord(
        f"node-{number}", 1, 1, "r", zone, f"127.0.0.1:{number}", "", "alive", (server,)
    )


class LimitCheckSelectorTests(TestCase):
    def setUp(self):
        super().setUp()
        directory = Directory()
        own = node(0, OWN_ZONE)
        for record in (own, node(1, OWN_ZONE), node(2, OTHER_ZONE)):
            directory.update(record, 0.0)
        self.sender = Sender()
        events = EventLog("node-0", 1, HybridClock(), io.StringIO())
        picker = Picker(own, directory, CurrentConfiguration())
        self.selector = LimitCheckSelector(Unlimited(), picker, self.sender, events)

    def _limit(self, *numbers):
        for number in numbers:
            self.sender.known_terms.record(f"i-{number}", ServerTerms("1", 1.0))

    def _select(self, now_s=0.0, execution=Execution.IDEMPOTENT, attempts=0):
        forwarded = ForwardedRequest(
            "r", None, CallerRequest(), RouteDocument(SERVICE, execution), now_s + 5
        )
        forwarded.attempts = attempts
        selected = self.selector.select(forwarded, now_s)
        if selected is None:
            return None
        self.assertEqual(0.0, selected.wait_max_ms)
        return selected.placement.backend_server.backend_server_id

    def test_only_first_attempts_of_idempotent_requests_are_checks(self):
        # Guards against a request that runs twice, or waits, because of a check.
        self._limit(1)
        self.assertIsNone(self._select(execution=Execution.NON_IDEMPOTENT))
        self.assertIsNone(self._select(attempts=1))
        self.assertEqual("i-1", self._select())
        self.assertIsNone(self._select())

    def test_without_limits_all_requests_go_where_placement_sends_them(self):
        self.assertIsNone(self._select())
        self._limit(1)
        self.sender.known_terms.record("i-1", ServerTerms("1"))
        self.assertIsNone(self._select())

    def test_servers_of_the_own_zone_are_checked_first_and_more_often(self):
        self._limit(1, 2)
        seen = [self._select(step * STEP_S) for step in range(round(20 / STEP_S))]
        self.assertEqual("i-1", next(filter(None, seen)))
        self.assertTrue(13 <= seen.count("i-1") <= 20, seen.count("i-1"))
        self.assertTrue(6 <= seen.count("i-2") <= 10, seen.count("i-2"))

    def test_servers_that_would_refuse_a_check_get_none(self):
        self._limit(0, 1, 2)
        self.sender.known_terms.record("i-0", ServerTerms("1", 1.0, True))
        self.sender.held_out_servers.record("i-1", HoldOut(500.0, 1), 0.0)
        self.sender.known_terms.record_wait("i-2", 1.0, 500.0, 0.0)
        self.assertIsNone(self._select(0.1))
        self.assertEqual("i-1", self._select(0.6))
        self.assertEqual("i-2", self._select(0.6))

    def test_a_server_at_an_unreachable_node_gets_no_check(self):
        self._limit(1)
        self.sender.link_hold_outs.record_failure("node-1", 0.0)
        self.assertIsNone(self._select(0.1))

    def test_the_limit_of_an_earlier_lifetime_needs_no_check(self):
        self.sender.known_terms.record("i-1", ServerTerms("0", 1.0))
        self.assertIsNone(self._select())
