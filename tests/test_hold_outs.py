"""The length of hold-outs by the number of backend servers in the zone."""

from testtools import TestCase

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.health import ServerHealth
from balsamspindle.backend_servers.hold_outs import (
    LARGE_ZONE_SERVERS,
    ZoneDetection,
    adjust_hold_outs,
)
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId

DETECTION = Detection(
    independent_errors=True,
    hold_out_s=0.05,
    hold_out_max_s=1.0,
    hold_out_growth=4.0,
    trial_successes=1,
    calm_s=1.0,
)
SICKNESS_S = 5.0


def trials_during_sickness(servers_in_zone: int) -> tuple[int, float]:
    """Run one period of sickness, and return its failed trials and recovery delay.

    The delay, in seconds, is from the end of the sickness to the first good trial.
    """
    detection = adjust_hold_outs(DETECTION, servers_in_zone)
    now_s, trials = 100.0, 0
    health = ServerHealth(detection, now_s)
    sick_until_s = now_s + SICKNESS_S
    while True:
        if health.admits(Execution.IDEMPOTENT, 1.0, now_s):
            trials += 1
            attempt_id = AttemptId("node", 1, trials)
            health.record_start(attempt_id, now_s)
            is_sick = now_s < sick_until_s
            result = WorkResult.ERROR if is_sick else WorkResult.ANSWERED
            health.record_end(attempt_id, result, now_s + 0.001)
            if not is_sick:
                return trials - 1, now_s - sick_until_s
        now_s += 0.01


class HoldOutTests(TestCase):
    def test_in_a_large_zone_a_period_of_sickness_costs_few_requests(self):
        # Guards against hold-outs so short that a sick backend server fails a caller's
        # request in a trial every second.
        large_zone_trials, _ = trials_during_sickness(LARGE_ZONE_SERVERS)
        small_zone_trials, _ = trials_during_sickness(LARGE_ZONE_SERVERS - 1)
        self.assertLessEqual(large_zone_trials, 5)
        self.assertGreaterEqual(small_zone_trials, 7)

    def test_in_a_small_zone_a_recovered_backend_server_is_soon_back(self):
        # Guards against hold-outs so long that requests are sent to other zones
        # although the backend server in this zone has recovered.
        _, delay_s = trials_during_sickness(LARGE_ZONE_SERVERS - 1)
        self.assertLess(delay_s, 1.1)

    def test_the_first_hold_out_is_short_in_any_zone(self):
        for servers_in_zone in (1, LARGE_ZONE_SERVERS):
            health = ServerHealth(adjust_hold_outs(DETECTION, servers_in_zone), 100.0)
            health.record_start(AttemptId("node", 1, 1), 100.0)
            health.record_end(AttemptId("node", 1, 1), WorkResult.ERROR, 100.0)
            self.assertTrue(health.admits(Execution.IDEMPOTENT, 1.0, 100.06))

    def test_settings_without_independent_errors_are_not_adjusted(self):
        plain = Detection()
        self.assertIs(plain, adjust_hold_outs(plain, 100))

    def test_the_settings_depend_on_the_size_of_the_zone(self):
        count = LARGE_ZONE_SERVERS
        settings = ZoneDetection(lambda service: DETECTION, lambda service: count)
        self.assertEqual(2.0, settings("crew/contracts").hold_out_max_s)
        count -= 1
        self.assertEqual(DETECTION, settings("crew/contracts"))
