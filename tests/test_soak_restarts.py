"""A short seeded run of the soak of restarts."""

from tests.restart_fleet import SHUTDOWN_TIMEOUT_S, WORKS
from tests.soak_restarts import play

# Its first steps end a node of each service at once, and a third one while these
# are on their way out.
SHORT_SEED, SHORT_STEPS = 50, 3


def test_a_short_soak_of_restarts_keeps_the_promises():
    """Callers see errors, or connections that end without an answer.

    Nodes get SIGTERM while others are on their way out, and requests wait at
    them or come in on connections that are still open. All of the work is
    shorter than an orderly end, so none of it has to be cut.
    """
    works = [work for work in WORKS if work.work_ms < SHUTDOWN_TIMEOUT_S * 1000]
    assert play(SHORT_SEED, steps=SHORT_STEPS, works=works) is None
