"""A short seeded run of the soak of restarts."""

from tests.restart_fleet import SHUTDOWN_TIMEOUT_S, WORK_CLASSES
from tests.soak_restarts import run_seed

# The first three steps of this seed restart a node of each service at the same
# time, and a third node while these are shutting down.
SHORT_SEED, SHORT_STEPS = 50, 3


def test_a_short_soak_of_restarts_keeps_the_promises():
    """Guards against errors and unanswered requests when restarts overlap.

    Nodes get SIGTERM while others are shutting down, and while requests wait at
    them or arrive on connections that are still open. All requests take less time
    than a graceful shutdown, so none of them has to be cut.
    """
    works = [work for work in WORK_CLASSES if work.work_ms < SHUTDOWN_TIMEOUT_S * 1000]
    assert run_seed(SHORT_SEED, steps=SHORT_STEPS, works=works) is None
