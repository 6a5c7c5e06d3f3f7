"""Backend servers that name a limit, or announce that they leave, in a fleet."""

import time

from tests.announcing_server import most_in_window
from tests.limited_fleet import (
    DRAIN_S,
    STABILITY_S,
    WINDOW_S,
    LimitedFleet,
    allowed,
)
from tests.utils import wait_until

TIMEOUT_S = 5.0


class ServerLimitTests(LimitedFleet):
    def test_a_backend_server_gets_no_more_requests_than_the_limit_it_names(self):
        # Guards against a limit that no gate enforces over the requests of all nodes.
        time.sleep(1.0)
        named_s = self.limited.set_terms("2.0")
        time.sleep(STABILITY_S + WINDOW_S + 1)
        self.callers.stop()
        count = most_in_window(self.limited.arrivals_s, WINDOW_S, named_s + STABILITY_S)
        self.assertLessEqual(count, allowed(2.0))

    def test_a_backend_server_that_leaves_gets_no_more_requests(self):
        # Guards against a leaving that is announced in answers only.
        time.sleep(1.0)
        named_s = self.limited.set_terms(is_leaving=True)
        time.sleep(DRAIN_S + 2)
        self.callers.stop()
        late = [at for at in self.limited.arrivals_s if at > named_s + DRAIN_S]
        self.assertEqual(0, len(late))

    def test_the_limit_holds_while_the_gate_is_killed_and_restarted(self):
        # Guards against a gate that forgets the limit with each restart of its node.
        time.sleep(1.0)
        named_s = self.limited.set_terms("2.0")
        wait_until(
            lambda: self.knows_limit(self.nodes[2]),
            "an answer with the limit reaches a caller of another node",
        )
        for _ in range(2):
            self.nodes[0].kill()
            self.nodes[0] = self.fleet.restart(self.nodes[0])
            self.limited.announce_to(self.nodes[0])
            wait_until(self.nodes[0].accepts, "the node is back")
            time.sleep(WINDOW_S / 2)
        time.sleep(STABILITY_S)
        self.callers.stop()
        count = most_in_window(self.limited.arrivals_s, WINDOW_S, named_s + STABILITY_S)
        self.assertLessEqual(count, allowed(2.0))

    def test_what_limits_leave_no_room_for_is_refused_at_once(self):
        # Guards against requests that wait until their deadline in a queue that limits
        # make longer than that, and against an allowance that stays unused.
        time.sleep(1.0)
        for server in (self.limited, self.other):
            named_s = server.set_terms("2.0")
        time.sleep(STABILITY_S + 2 * WINDOW_S)
        self.callers.stop()
        begin_s = named_s + STABILITY_S
        for server in (self.limited, self.other):
            arrivals_s = [at for at in server.arrivals_s if at >= begin_s]
            self.assertLessEqual(
                most_in_window(arrivals_s, WINDOW_S, begin_s), allowed(2.0)
            )
            used = len(arrivals_s) / (2 * WINDOW_S * 2.0)
            self.assertGreaterEqual(used, 0.7)
        refused = [
            (answer, took_s)
            for sent_s, answer, took_s in self.callers.answers
            if sent_s >= begin_s and answer.status == 503
        ]
        self.assertGreater(len(refused), 50)
        for answer, _ in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0)
        # Half of the callers' time is the most that a request may wait in queues.
        self.assertLess(max(took_s for _, took_s in refused), TIMEOUT_S * 0.6)
