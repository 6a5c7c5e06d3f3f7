"""Played services whose backend servers crash: who is refused, and for how many."""

from tests.crash_world import CrashWorld


def test_callers_beside_several_causes_are_hardly_ever_refused():
    # Guards against a refusal of who ran beside more than one cause.
    worlds = [CrashWorld(seed, causes=3) for seed in range(60)]
    for world in worlds:
        world.play()
    assert sum(bool(world.wrong) for world in worlds) <= len(worlds) / 20
    assert all(len(world.right) == 3 for world in worlds)
    # Three crashes show each of them in a calm time.
    crashes = sum(world.crashes.total() for world in worlds)
    assert crashes <= 5 * 3 * len(worlds)


def test_callers_in_any_wave_are_hardly_ever_refused():
    # Guards against a refusal of who causes nothing, beside none or several causes.
    worlds = [CrashWorld(seed, causes) for causes in (0, 1, 3) for seed in range(200)]
    for world in worlds:
        world.play()
    assert sum(len(world.wrong) for world in worlds) <= len(worlds) / 500
    # Three crashes show a cause, and two more where others crash as often.
    crashes = [count for world in worlds for count in world.crashes.values()]
    assert sum(crashes) <= 4 * len(crashes)
    assert max(crashes) <= 6
