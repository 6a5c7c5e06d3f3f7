"""Counts of how runs end, by the health that the gate assumed at their start."""

from testtools import TestCase

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.merge import TimelineEvent
from balsamspindle.timeline.run_ends import AssumedHealth, RunEnd, count_run_ends

SERVICE = "crew/contracts"


def event(at_ms: int, name: str, **details) -> TimelineEvent:
    return TimelineEvent(at_ms << COUNTER_BITS, "node", 1, name, 0.0, details)


def run(at_ms: int, request: str, **end) -> list[TimelineEvent]:
    names = {"request": request, "backend_server": "s"}
    return [
        event(at_ms, "attempt_dispatched", **names),
        event(at_ms + 1, "attempt_ended", **names, **end),
        event(at_ms + 2, "request_ended", request=request, service=SERVICE),
    ]


class RunEndsTests(TestCase):
    def test_runs_are_counted_by_the_assumed_health_at_their_start(self):
        ends = count_run_ends(
            [
                *run(0, "a", status="200", ran_ms="300"),
                event(5, "backend_server_suspected", backend_server="s"),
                *run(10, "b", status="500", ran_ms="1"),
                event(15, "backend_server_on_trial", backend_server="s"),
                *run(20, "c", status="500", ran_ms="400"),
                event(25, "backend_server_readmitted", backend_server="s"),
                *run(30, "d", cause="silence"),
            ]
        )
        self.assertEqual(
            {
                (SERVICE, AssumedHealth.HEALTHY): {
                    RunEnd.SERVED: 1,
                    RunEnd.NO_ANSWER: 1,
                },
                (SERVICE, AssumedHealth.SUSPECTED): {RunEnd.FAST_ERROR: 1},
                (SERVICE, AssumedHealth.ON_TRIAL): {RunEnd.SLOW_ERROR: 1},
            },
            {key: dict(count) for key, count in ends.counts.items()},
        )
        self.assertEqual(0, ends.left_out)

    def test_runs_without_all_events_in_the_log_are_left_out_and_counted(self):
        # If a node died, its log starts or ends in the middle of a run. The log of
        # another version may lack fields. In both cases the service or the assumed
        # health of a run is unknown, so the run is left out of the counts.
        events = [*run(0, "a", status="200"), *run(5, "b", status="x", ran_ms="?")]
        ends = count_run_ends(events[1:-1])
        self.assertEqual({}, ends.counts)
        self.assertEqual(2, ends.left_out)
