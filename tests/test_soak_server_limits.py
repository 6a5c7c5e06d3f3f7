"""A short seeded run of the soak of backend servers that name limits or leave."""

from tests.soak_server_limits import run_seed

SHORT_SEED, SHORT_S = 3, 9.0


def test_a_short_soak_of_limits_and_leavings_keeps_the_promises():
    """Guards against limits and leavings that end with a fault of a node."""
    assert run_seed(SHORT_SEED, SHORT_S) is None
