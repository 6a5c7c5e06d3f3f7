"""Granting of a service's repeats by its gates, within the retry budget."""

from testtools import TestCase

from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.retry_window import WINDOW_S
from balsamspindle.membership.directory import Directory, NodeState
from balsamspindle.node.gate_budgets import GateBudgets
from balsamspindle.settings.documents import RetryBudget, ServiceDocument
from balsamspindle.wire import BackendServerRecord, NodeRecord

SERVICE = "t/a"
ALIVE = NodeState.ALIVE.value
PER_S = 1.0
BUDGET = RetryBudget(fraction=0.0, fleet_per_s_min=PER_S)
BY_DEMAND = RetryBudget(fraction=0.0, fleet_per_s_min=PER_S, reserves_by_demand=True)


def count_grants(grants, weight, now_s=0.0):
    """Request repeats until one is refused; return how many were granted."""
    count = 0
    while count < 1000 and grants.try_grant(SERVICE, weight, now_s):
        count += 1
    return count


class RetryGrantsTests(TestCase):
    def test_lighter_requests_leave_retries_to_heavier_ones(self):
        # Light lookups and heavier calls use the repeats of one service, and signatures
        # wait for the calls. If lookups used up all repeats while backend servers shed
        # half of all work, the calls would fail, and the signatures with them.
        grants = RetryGrants(lambda *_: BUDGET)
        for weight in (0.3, 0.5):
            grants.record_first_attempt(SERVICE, weight, 0.0)
        self.assertEqual(5, count_grants(grants, 0.3))
        self.assertEqual(5, count_grants(grants, 0.5))
        # If no heavier requests arrive, nothing is reserved for them.
        grants = RetryGrants(lambda *_: BUDGET)
        grants.record_first_attempt(SERVICE, 0.3, 0.0)
        self.assertEqual(10, count_grants(grants, 0.3))

    def test_heavy_requests_that_do_not_fail_keep_no_repeats_unused(self):
        """Half of a service's repeats stayed unused while requests were refused."""
        grants = RetryGrants(lambda *_: BY_DEMAND)
        for weight in (1.0, 0.5) * 50:
            grants.record_first_attempt(SERVICE, weight, 0.0)
        self.assertEqual(10, count_grants(grants, 0.5))

    def test_lighter_requests_leave_half_to_heavier_ones_that_ask_for_it(self):
        grants = RetryGrants(lambda *_: BY_DEMAND)
        grants.record_first_attempt(SERVICE, 1.0, 0.0)
        self.assertEqual(10, count_grants(grants, 1.0))
        # The window has passed; the heavier requests still ask for more than there is.
        now_s = 3 * WINDOW_S
        for _ in range(20):
            grants.record_first_attempt(SERVICE, 1.0, now_s)
        granted = {0.5: 0, 1.0: 0}
        for _ in range(20):
            for weight in granted:
                granted[weight] += grants.try_grant(SERVICE, weight, now_s)
        self.assertEqual(10, sum(granted.values()))
        self.assertGreaterEqual(granted[1.0], 5)

    def test_what_heavier_requests_used_counts_as_their_half(self):
        """Lighter requests left a further half beside what heavier ones had used."""
        grants = RetryGrants(lambda *_: BY_DEMAND)
        grants.record_first_attempt(SERVICE, 1.0, 0.0)
        used = sum(grants.try_grant(SERVICE, 1.0, 0.0) for _ in range(5))
        self.assertEqual((5, 5), (used, count_grants(grants, 0.5)))

    def test_nothing_is_reserved_for_heavier_requests_that_must_not_run_twice(self):
        # A filing can't be repeated. If half of the grants were reserved for filings,
        # they would stay unused while lookups fail at unhealthy backend servers.
        grants = RetryGrants(lambda *_: BUDGET)
        grants.record_first_attempt(SERVICE, 0.5, 0.0, may_repeat=False)
        self.assertEqual(10, count_grants(grants, 0.3))
        # A filing that a backend server refused did not run, so it may be repeated.
        grants = RetryGrants(lambda *_: BUDGET)
        self.assertTrue(grants.try_grant(SERVICE, 0.5, 0.0))
        self.assertEqual(4, count_grants(grants, 0.3))

    def test_last_resorts_leave_half_of_the_repeats_to_other_attempts(self):
        grants = RetryGrants(lambda *_: BUDGET)
        granted = 0
        while grants.try_grant(SERVICE, 0.3, 0.0, is_last_resort=True):
            granted += 1
        self.assertEqual(5, granted)
        self.assertEqual(5, count_grants(grants, 0.3))

    def test_a_lost_run_may_use_repeats_reserved_for_heavier_requests(self):
        # Five of ten repeats are reserved for heavier requests that fail at backend
        # servers. A read whose run was cut, because its node left, may use these
        # repeats, too.
        grants = RetryGrants(lambda *_: BUDGET)
        for weight in (0.3, 0.5):
            grants.record_first_attempt(SERVICE, weight, 0.0)
        self.assertEqual(5, count_grants(grants, 0.3))
        granted = [
            grants.try_grant(SERVICE, 0.3, 0.0, run_was_lost=True) for _ in range(6)
        ]
        self.assertEqual([True] * 5 + [False], granted)

    def test_the_grant_of_a_repeat_that_did_not_run_can_be_used_again(self):
        # In an overload all slots are occupied when a granted repeat arrives at its
        # gate. If a grant counted although its repeat did not run, the budget would be
        # used up without a single repeated run.
        grants = RetryGrants(lambda *_: BUDGET)
        self.assertEqual(10, count_grants(grants, 0.3))
        grants.return_grant(SERVICE)
        self.assertEqual(1, count_grants(grants, 0.3))

    def test_calls_of_repeated_runs_count_as_repeats(self):
        # Half of the runs at the callers' node are repeats, so on average half of the
        # calls that these runs make are repeats. Twenty calls count as ten repeats,
        # which is the whole budget.
        callers, called = (RetryGrants(lambda *_: BUDGET) for _ in range(2))
        callers.record_run_start(is_repeat=True)
        callers.record_run_start(is_repeat=False)
        fraction = callers.repeat_fraction()
        self.assertEqual(0.5, fraction)
        for _ in range(20):
            called.record_first_attempt(SERVICE, 0.5, 0.0, repeat_fraction=fraction)
        self.assertEqual(0, count_grants(called, 0.5))
        callers.record_run_end(is_repeat=True)
        self.assertEqual(0.0, callers.repeat_fraction())

    def test_a_gate_grants_all_repeats_without_a_fleet_wide_budget(self):
        grants = RetryGrants(lambda *_: RetryBudget())
        self.assertEqual(1000, count_grants(grants, 0.3))


class GateBudgetsTests(TestCase):
    def _add_gate(self, directory, number):
        server = BackendServerRecord(f"s{number}", SERVICE, "1", 3, "ready")
        record = NodeRecord(f"n{number}", 1, 1, "r", "z", "", "", ALIVE, (server,))
        directory.update(record, 0.0)

    def test_the_fleets_retry_budget_is_divided_among_gates(self):
        # One of three gates is lost. It may have granted its third of the budget in
        # this window, so the other gates must not grant that third before the window
        # has passed.
        directory = Directory()
        budgets = GateBudgets(
            directory, lambda service: ServiceDocument(retry_budget=BUDGET)
        )
        for number in range(3):
            self._add_gate(directory, number)
        fraction = budgets.retry_budget(SERVICE, 0.0).fleet_per_s_min
        self.assertAlmostEqual(PER_S / 3, fraction)
        directory.declare_dead("n2", (1, 1), 1.0)
        fraction = budgets.retry_budget(SERVICE, WINDOW_S - 1).fleet_per_s_min
        self.assertAlmostEqual(PER_S / 3, fraction)
        fraction = budgets.retry_budget(SERVICE, 3 * WINDOW_S).fleet_per_s_min
        self.assertAlmostEqual(PER_S / 2, fraction)
