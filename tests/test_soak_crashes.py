"""A short seeded run of the soak of crashes, and the seeds that found a fault."""

import pytest

from tests.soak_crashes import REGRESSION_SEEDS, run_seed

SHORT_SEED, SHORT_S = 5, 7.0


def test_a_short_soak_of_crashes_keeps_the_promises():
    """Guards against a quarantine of a harmless request, or a missing quarantine.

    Requests that crash backend servers must soon be refused. Harmless requests must
    not be refused, although backend servers also crash for other reasons, nodes are
    killed and paused, and the store is unavailable.
    """
    assert run_seed(SHORT_SEED, SHORT_S) is None


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_a_seed_of_crashes_that_failed_once(seed):
    """`REGRESSION_SEEDS` maps each seed to the fault that it once found."""
    assert run_seed(seed) is None
