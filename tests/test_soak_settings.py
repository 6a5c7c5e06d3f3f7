"""A short seeded run of the soak of settings that change beside disturbances."""

from tests.soak_settings import run_seed

SHORT_SEED, SHORT_S = 11, 16.0


def test_a_short_soak_of_settings_keeps_the_promises():
    """Guards against nodes that stay behind since a peer or an answer was lost."""
    assert run_seed(SHORT_SEED, SHORT_S) is None
