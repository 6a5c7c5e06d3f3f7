"""A short seeded run of the soak of crashes, and the seeds that found a fault."""

import pytest

from tests.soak_crashes import REGRESSION_SEEDS, run_seed

SHORT_SEED, SHORT_S = 5, 7.0


def test_a_short_soak_of_crashes_keeps_the_promises():
    """Guards against quarantines of the wrong request, or none, among other faults.

    Nodes are killed and paused, the store is unavailable, and backend servers crash
    for other reasons. Requests that crash backend servers must soon be refused, and
    harmless requests must not.
    """
    assert run_seed(SHORT_SEED, SHORT_S) is None


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_a_seed_of_crashes_that_failed_once(seed):
    """`REGRESSION_SEEDS` names the fault that each guards against."""
    assert run_seed(seed) is None
