"""Which requests a node that has just started may quarantine."""

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate

NOW_S, CATCH_UP_S = 1_000.0, 3.0
# A started node counts ended processes as servers until it learns of their crashes.
SERVERS, SERVERS_AND_ENDED = 6, 11
LOOKUP, CAUSE = 1, 2
# Age in seconds of crashes in which the lookup was lost, and the time that it had run.
# Other crashes happened meanwhile.
LOOKUP_CRASHES = ((3.709, 0.847), (2.97, 0.709), (1.717, 0.721), (0.0, 0.750))


def _started_node():
    quarantined = []
    history = CrashHistory(
        lambda service: SERVERS_AND_ENDED,
        lambda quarantine, *_: quarantined.append(quarantine.content_hash),
        judges_from_s=NOW_S + CATCH_UP_S,
    )
    return history, quarantined


def _update(content_hash, ages_and_runs):
    return CrashUpdate(
        [
            Crash(
                f"server-{content_hash}-{number}",
                1,
                "crew",
                round(age_s * 1000),
                (CrashedRun(content_hash, round(ran_s * 1000)),),
            )
            for number, (age_s, ran_s) in enumerate(ages_and_runs)
        ]
    )


def test_a_started_node_quarantines_no_lookup_for_the_first_crashes_that_it_learns():
    # Guards against the refusal of a lookup that causes no crash. The first update that
    # reaches a node after its start lists only the crashes in which the lookup was
    # lost, so no other crash explains them.
    history, quarantined = _started_node()
    history.merge(_update(LOOKUP, LOOKUP_CRASHES), NOW_S)
    assert quarantined == []


def test_a_started_node_applies_the_quarantines_of_its_peers():
    history, _ = _started_node()
    peer = CrashHistory(lambda service: SERVERS)
    peer.merge(_update(CAUSE, ((1.0, 0.09), (0.5, 0.09), (0.0, 0.09))), NOW_S)
    history.merge(peer.export(NOW_S), NOW_S)
    assert history.status_of(CAUSE, NOW_S).blocked_ms > 0


def test_a_started_node_quarantines_a_cause_at_its_first_crash_after_the_catch_up():
    # Guards against a cause that stays unknown after all nodes were restarted at once.
    history, quarantined = _started_node()
    history.merge(_update(CAUSE, ((1.0, 0.09), (0.5, 0.09), (0.0, 0.09))), NOW_S)
    crash = Crash("server-later", 1, "crew", 0, (CrashedRun(CAUSE, 90),))
    history.merge(CrashUpdate([crash]), NOW_S + CATCH_UP_S + 0.1)
    assert quarantined == [CAUSE]
