"""A short seeded run of the soak of settings that change beside disturbances."""

from tests.soak_settings import run_seed

SHORT_SEED, SHORT_S = 1, 8.0


def test_a_short_soak_of_settings_keeps_the_promises():
    """Guards against a node that stays behind since a peer or a message was lost."""
    assert run_seed(SHORT_SEED, SHORT_S) is None
