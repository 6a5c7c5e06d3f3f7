"""A short seeded run of the soak of revoked keys."""

from tests.soak_revocations import run_seed

SHORT_SEED, SHORT_S = 2, 9.0


def test_a_short_soak_of_revocations_keeps_the_promises():
    """Guards against a revoked key that runs late at a node that was out of touch."""
    assert run_seed(SHORT_SEED, SHORT_S) is None
