"""Which request crashed backend servers, and which only ran beside it."""

import heapq
import itertools
import math
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "CRASHES_MIN",
    "NO_CASE",
    "RETRIED_WITHIN_S",
    "WAVE_S",
    "Case",
    "Hit",
    "chance",
    "is_cause",
    "leader",
]

# Fewer are a coincidence too often.
CRASHES_MIN = 3
# How likely it may be that so many crashes strike one request by chance.
CHANCE_MAX = 1e-5
# So many, after the same time each, are enough whatever else crashes meanwhile.
CRASHES_ENOUGH = 6
SAME_TIME_FACTOR, SAME_TIME_S = 2.0, 0.1
# The rate of crashes is taken over the time of the request's own ones and this much
# before. Taken over longer, a wave of two seconds counts as a calm time.
WAVE_S = 1.0
# By so much a crash is likelier one request's fault than that of the next likely.
LEADER_FACTOR = 10.0
# Run times that differ by no more are the same.
SAME_RAN_MIN_S = 0.01
# The same time each time is no proof alone: limits of time end runs so, too.
SAME_TIME_CHANCE_MIN = 1e-3
# The shortest time that a run counts for: clocks are read late on a busy VM.
RAN_MIN_S = 0.05
# Crashes so near each other may have one cause. A request that causes them all, in
# copies begun together, has run for about the same time in each.
TOGETHER_S = 0.1
SAME_RAN_PART, SAME_RAN_S = 0.2, 0.03
# A run that began so soon after a crash is the retry of the run that was lost in it.
RETRIED_WITHIN_S = 0.1
# Two nodes agree on the time of a crash as well as that.
CLOCKS_DIFFER_S = 0.03


class Hit(NamedTuple):
    """A crash for which a request is the likeliest cause.

    Attributes
    ----------
    at_s : float
        When it was.
    ran_s : float
        How long the request had run.
    """

    at_s: float
    ran_s: float


class Case(NamedTuple):
    """What speaks for a request being the cause of crashes.

    Attributes
    ----------
    hits : sequence of Hit
        The crashes that it is blamed for, in the order of time.
    crashes : int
        Of the same service that no other request is quarantined for, from `WAVE_S`
        before the first hit to the last one.
    servers : int
        Backend servers of the service.
    """

    hits: Sequence[Hit] = ()
    crashes: int = 0
    servers: int = 0


NO_CASE = Case()


def leader(chances: Mapping[int, float], quarantined: Collection[int]) -> int | None:
    """Return the content that is the likeliest cause of one crash, if there is one.

    A request that ran beside the cause, even several times, shares its crashes with
    it, and with several causes may have more crashes than each of them. It was lost at
    any moment of its work, and the cause always after the same time. So the one whose
    crashes are the least likely by chance is blamed, and all others are not, for this
    crash. Where two come close, neither is.

    Parameters
    ----------
    chances : mapping of int to float
        Contents that ran when it happened, without those answered since, and how
        likely their crashes are by chance.
    quarantined : collection of int
        Contents known to crash backend servers.
    """
    known = [content for content in chances if content in quarantined]
    if known:
        return known[0] if len(known) == 1 else None
    match heapq.nsmallest(2, chances, key=chances.__getitem__):
        case [only]:
            return only
        case [first, second] if chances[first] * LEADER_FACTOR <= chances[second]:
            return first
    return None


def independent(hits: Sequence[Hit]) -> list[Hit]:
    """Return one hit of those that a loss of several backend servers may explain.

    A rack or an availability zone takes backend servers with it at one moment. A
    request that had copies on some of them would be quarantined by that alone.
    """
    kept: list[Hit] = []
    for hit in hits:
        if kept and hit.at_s - kept[-1].at_s < TOGETHER_S:
            apart_s = abs(hit.ran_s - kept[-1].ran_s)
            if apart_s > SAME_RAN_S + SAME_RAN_PART * hit.ran_s:
                continue
        kept.append(hit)
    return kept


def is_cause(case: Case) -> bool:
    """Tell whether a request causes the crashes that it is blamed for.

    In a wave of crashes that has another cause, a request meets a crash by chance
    about as often as the rate of crashes times the time that it ran. A request that
    crashes backend servers meets far more than that. Its own crashes count in the
    rate: what many ask for runs nearly everywhere, and is there at each crash.
    """
    if len(case.hits) >= CRASHES_ENOUGH and _crash_after_same_time(case.hits):
        return True
    has_enough = len(independent(case.hits)) >= CRASHES_MIN
    return has_enough and chance(case) < CHANCE_MAX


def _crash_after_same_time(hits: Sequence[Hit]) -> bool:
    """Tell whether each crash came after about the same time.

    Who is there by chance is lost at any moment of its work. A backend server that
    has just started takes about twice as long until a request crashes it.
    """
    ran_s = [hit.ran_s for hit in hits]
    return max(ran_s) <= SAME_TIME_FACTOR * min(ran_s) + SAME_TIME_S


def chance(case: Case) -> float:
    """Return how likely a request is there by chance, at crashes of other reasons."""
    hits = independent(case.hits)
    count = len(hits)
    window_s = hits[-1].at_s - hits[0].at_s + WAVE_S
    rate = case.crashes / (window_s * max(1, case.servers))
    expected = rate * sum(max(hit.ran_s, RAN_MIN_S) for hit in hits)
    return _chance_of_so_many(count, expected) * _chance_of_same_time(hits)


def _chance_of_so_many(count: int, expected: float) -> float:
    """Return how likely so many crashes, or more, strike where some are expected."""
    if expected >= count:
        return 1.0
    # Of more still it is less than as much again.
    return expected**count * math.exp(-expected) / math.factorial(count)


def _chance_of_same_time(hits: Sequence[Hit]) -> float:
    """Return how likely crashes at any moment come after such similar times.

    A cause is also there at crashes of other reasons: those may be left out, and the
    choice of them makes the rest as much likelier.
    """
    ran_s = sorted(hit.ran_s for hit in _begun_at_any_moment(hits))
    longest_s = max(ran_s[-1], RAN_MIN_S)
    chances = [1.0]
    for size in range(min(CRASHES_MIN, len(ran_s)), len(ran_s) + 1):
        spans_s = [
            ran_s[first + size - 1] - ran_s[first]
            for first in range(len(ran_s) - size + 1)
        ]
        similar = max(min(spans_s), SAME_RAN_MIN_S) / longest_s
        chances.append(math.comb(len(ran_s), size) * similar ** (size - 1))
    return max(min(chances), SAME_TIME_CHANCE_MIN)


def _begun_at_any_moment(hits: Sequence[Hit]) -> list[Hit]:
    """Return the hits of runs that did not begin with the crash before.

    A retry that follows at once lasts as long as the two crashes are apart. A wave that
    goes from one backend server to the next at a regular pace would look like a cause.
    """
    kept = list(hits[:1])
    for before, hit in itertools.pairwise(hits):
        began_after_s = hit.at_s - hit.ran_s - before.at_s
        if not -CLOCKS_DIFFER_S <= began_after_s < RETRIED_WITHIN_S:
            kept.append(hit)
    return kept
