"""Placement where backend servers name limits or say that they leave."""

from balsamspindle.wire import ServerTerms
from tests.placement_case import FAR, NEAR, PlacementCase


class LimitedPlacementTests(PlacementCase):
    def test_a_used_up_limit_is_joined_only_if_its_wait_is_short(self):
        # Guards against attempts that look for a free slot where a limit allows none.
        for name in (*NEAR, *FAR):
            self.sender.known_terms.record(name, ServerTerms("1", 0.5))
            self.sender.known_terms.record_wait(name, 1.0, 3000.0, 0.0)
        self.sender.known_terms.record_wait(FAR[2], 1.0, 900.0, 0.0)
        self.assertEqual([FAR[2]], [name for name, _ in self.tries({FAR[2]: 900.0})])

    def test_one_gate_is_asked_even_if_all_known_waits_are_too_long(self):
        # Guards against a refusal without a true Retry-After.
        for name in (*NEAR, *FAR):
            self.sender.known_terms.record(name, ServerTerms("1", 0.01))
            self.sender.known_terms.record_wait(name, 1.0, 90_000.0, 0.0)
        self.assertEqual(1, len(self.tries({})))

    def test_a_wait_stated_to_a_light_request_does_not_hold_for_a_heavier_one(self):
        terms = self.sender.known_terms
        terms.record_wait(NEAR[0], 1.0, 3000.0, 0.0)
        self.assertEqual({NEAR[0]}, set(terms.waits_ms(0.5, 0.0)))
        self.assertEqual({}, terms.waits_ms(2.0, 0.0))
        self.assertEqual({}, terms.waits_ms(1.0, 1.5))

    def test_a_leaving_backend_server_is_not_even_the_last_resort(self):
        # Guards against work for a backend server whose gate was restarted and does not
        # know that the backend server leaves.
        for name in (*NEAR, *FAR[1:]):
            self.sender.known_terms.record(name, ServerTerms("1", is_leaving=True))
        self.forwarded.search.queue_wait_ms[NEAR[0]] = 1.0
        self.forwarded.is_last_resort = True
        self.assertEqual({FAR[0]}, {name for name, _ in self.tries({})})

    def test_the_leaving_of_an_earlier_lifetime_excludes_nothing(self):
        self.sender.known_terms.record(NEAR[0], ServerTerms("0", is_leaving=True))
        tries = self.tries({NEAR[0]: 0.0})
        self.assertEqual(NEAR[0], tries[-1][0])
