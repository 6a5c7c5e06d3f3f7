"""Simulated services with crashing backend servers: which requests are quarantined."""

from tests.crash_world import CrashWorld


def test_requests_beside_several_causes_are_hardly_ever_refused():
    # Guards against the quarantine of a request that ran beside more than one cause.
    worlds = [CrashWorld(seed, causes=3) for seed in range(60)]
    for world in worlds:
        world.run()
    assert sum(bool(world.wrongly_quarantined) for world in worlds) <= len(worlds) / 20
    assert all(len(world.rightly_quarantined) == 3 for world in worlds)
    # Three crashes are enough to find a cause when there are few other crashes. With
    # three causes at once, five crashes for each cause are allowed on average.
    crashes = sum(world.crashes.total() for world in worlds)
    assert crashes <= 5 * 3 * len(worlds)


def test_requests_in_any_wave_of_crashes_are_hardly_ever_refused():
    # Guards against the quarantine of a request that causes no crash, in services
    # without a cause, with one cause, and with several.
    worlds = [CrashWorld(seed, causes) for causes in (0, 1, 3) for seed in range(200)]
    for world in worlds:
        world.run()
    assert sum(len(world.wrongly_quarantined) for world in worlds) <= len(worlds) / 500
    # Three crashes are enough to find a cause, or five if there are as many other
    # crashes. Four on average and six at most are allowed.
    crashes = [count for world in worlds for count in world.crashes.values()]
    assert sum(crashes) <= 4 * len(crashes)
    assert max(crashes) <= 6
