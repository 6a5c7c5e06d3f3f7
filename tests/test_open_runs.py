"""Which run waits for an arriving request, and what its call weighs."""

import msgspec
from testtools import TestCase

from balsamspindle.backend_servers.inherited_weight import (
    ORDER_STEP,
    room_weight,
    with_inherited_weight,
)
from balsamspindle.backend_servers.open_runs import (
    OpenRun,
    OpenRuns,
    Parent,
    importance_of,
)
from balsamspindle.customers.admission import ROUTE_ORDER_MAX
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.wire import AdmissionQuery, AttemptId, Importance

SERVICE, ROUTE, CALLERS_ROUTE = "crew/tables", 7, 8
NOW_S = 100.0
DEADLINE_S = NOW_S + 1.4


def attempt(number: int) -> AttemptId:
    return AttemptId("ingress", 1, number)


class OpenRunsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.runs = OpenRuns(lambda service: service == SERVICE)
        # The node knows from earlier requests that the route's are calls.
        earlier = self.open_run(0)
        for _ in range(20):
            self.find_parent()
        self.runs.end(earlier.attempt_id)

    def open_run(
        self,
        number,
        weight=0.5,
        started_s=NOW_S - 1,
        deadline_s=NOW_S + 12,
        is_repeat=False,
    ):
        run = OpenRun(
            attempt(number),
            f"parent-{number}",
            weight,
            started_s,
            deadline_s,
            is_repeat,
        )
        self.runs.begin(run)
        return run

    def find_parent(self, service=SERVICE, customer="", deadline_s=DEADLINE_S):
        return self.runs.find_parent(service, ROUTE, customer, deadline_s)

    def test_the_heaviest_run_waits_and_of_equal_ones_the_longest(self):
        self.open_run(1, weight=0.3, started_s=NOW_S - 9)
        self.open_run(2, weight=0.5, started_s=NOW_S - 1)
        longest = self.open_run(3, weight=0.5, started_s=NOW_S - 2)
        self.assertEqual(Parent(longest), self.find_parent())

    def test_a_run_that_ends_before_the_call_does_not_wait_for_it(self):
        self.open_run(1, weight=0.9, deadline_s=DEADLINE_S - 0.5)
        fitting = self.open_run(2, weight=0.1, deadline_s=DEADLINE_S)
        self.assertEqual(Parent(fitting), self.find_parent())

    def test_no_run_waits_for_a_customers_request_or_without_the_setting(self):
        self.open_run(1)
        self.assertIsNone(self.find_parent(customer="acme"))
        self.assertIsNone(self.find_parent(service="crew/other"))

    def test_a_run_that_has_ended_makes_no_call_important(self):
        # Guards against calls that overtake others for a run that nobody waits for.
        self.open_run(1)
        self.runs.end(attempt(1))
        self.assertIsNone(self.find_parent())

    def test_a_call_is_told_as_a_repeat_if_a_repeated_run_made_it(self):
        # Guards against repeats that are denied because requests of callers count as
        # calls of repeated runs, and against repeats of calls that nobody counts.
        self.open_run(1)
        self.assertEqual(0.0, self.find_parent().repeat_fraction)
        self.open_run(2, is_repeat=True)
        self.assertEqual(0.5, self.find_parent().repeat_fraction)
        self.runs.end(attempt(1))
        self.assertEqual(1.0, self.find_parent().repeat_fraction)

    def test_a_callers_route_without_keys_is_not_taken_for_calls(self):
        # Guards against callers' requests that overtake others because they happen to
        # arrive while a run is open at the node.
        for _ in range(20):
            self.open_run(1)
            self.runs.find_parent(SERVICE, CALLERS_ROUTE, "", DEADLINE_S)
            self.runs.end(attempt(1))
            self.runs.find_parent(SERVICE, CALLERS_ROUTE, "", DEADLINE_S)
        self.open_run(1)
        self.assertIsNone(self.runs.find_parent(SERVICE, CALLERS_ROUTE, "", DEADLINE_S))
        self.assertIsNotNone(self.find_parent())


class InheritedWeightTests(TestCase):
    def setUp(self):
        super().setUp()
        self.query = AdmissionQuery(
            1, SERVICE, "server", Execution.IDEMPOTENT, 1000.0, 0.2
        )

    def weight(self, importance, inherits=True) -> float:
        query = msgspec.structs.replace(self.query, importance=importance)
        return with_inherited_weight(query, inherits).weight

    def test_a_call_starts_before_new_requests_of_its_parents_customer_only(self):
        run = OpenRun(attempt(1), "parent", 0.5, NOW_S - 0.7, NOW_S + 12)
        importance = importance_of(Parent(run), NOW_S)
        self.assertAlmostEqual(700.0, importance.spent_ms)
        self.assertGreater(self.weight(importance), 0.5 + ROUTE_ORDER_MAX / 2)
        self.assertLess(self.weight(importance), 0.51)

    def test_room_for_a_call_is_left_by_requests_up_to_its_parents_weight(self):
        # 1/12 of the span distinguishes routes of the weights 1/2 and 1/3.
        query = msgspec.structs.replace(self.query, importance=Importance(0.5))
        weight = room_weight(with_inherited_weight(query, True))
        self.assertGreater(weight, 0.5)
        self.assertLess(weight, 0.5 + ROUTE_ORDER_MAX / 12)
        self.assertEqual(0.2, room_weight(self.query))
        light = msgspec.structs.replace(self.query, importance=Importance(0.1))
        self.assertEqual(0.2, room_weight(with_inherited_weight(light, True)))

    def test_a_call_of_a_call_outweighs_its_parent(self):
        outer = self.weight(Importance(0.5))
        self.assertGreaterEqual(self.weight(Importance(outer)), outer + ORDER_STEP)

    def test_a_call_is_never_lighter_than_its_own_route(self):
        self.assertEqual(0.2, self.weight(Importance(0.1)))

    def test_an_ingress_of_an_old_build_leaves_the_routes_weight(self):
        self.assertEqual(0.2, self.weight(None))

    def test_without_the_setting_importance_counts_for_nothing(self):
        query = msgspec.structs.replace(self.query, importance=Importance(0.9, 5.0))
        self.assertEqual(self.query, with_inherited_weight(query, inherits=False))
