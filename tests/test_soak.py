"""A short seeded run of the soak, and the seeds that found a fault."""

from tests.soak import REGRESSION_SEEDS, run_seed

# The faults of this seed overlap, and six faults take little enough time for each run
# of the tests.
SHORT_SEED, SHORT_FAULT_COUNT = 7, 6


def test_a_short_soak_keeps_the_promises():
    """Guards against wrong outcomes when faults overlap on persistent connections.

    No request runs twice, none with the outcome `not_run` ran, each answer is
    complete and belongs to its request, and all callers are answered after the
    faults.
    """
    assert run_seed(SHORT_SEED, SHORT_FAULT_COUNT) is None


def test_seeds_that_failed_once():
    """`REGRESSION_SEEDS` maps each seed to the fault that it once found."""
    assert [failure for seed in REGRESSION_SEEDS if (failure := run_seed(seed))] == []
