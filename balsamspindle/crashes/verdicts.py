"""Distinguishes requests that crash backend servers from those running beside them."""

import heapq
import itertools
import math
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "CRASHES_MIN",
    "NO_EVIDENCE",
    "RETRIED_WITHIN_S",
    "RATE_LEAD_S",
    "CauseEvidence",
    "AttributedCrash",
    "coincidence_probability",
    "is_cause",
    "likeliest_cause",
]

# Crashes attributed to a request before it can be the cause; fewer are too often a
# coincidence.
CRASHES_MIN = 3
# A request is the cause when its crashes are less probable than this by coincidence.
COINCIDENCE_MAX = 1e-5
# This many crashes, each after a similar run time, are sufficient evidence whatever the
# rate of other crashes.
CRASHES_SUFFICIENT = 6
SIMILAR_TIME_FACTOR, SIMILAR_TIME_S = 2.0, 0.1
# The crash rate is computed from this long before the first crash attributed to the
# request to the last one. With a longer window, a wave of crashes of two seconds would
# not raise the rate enough.
RATE_LEAD_S = 1.0
# A crash is attributed to a request only if the next likely cause is at least this many
# times as probable to be there by coincidence.
CAUSE_LEAD_FACTOR = 10.0
# Run times that differ by less count as equal.
EQUAL_RUN_TIME_S = 0.01
# Lower limit of the probability of similar run times. They are no proof by themselves:
# timeouts also end runs after equal times.
SIMILAR_TIMES_PROBABILITY_MIN = 1e-3
# Shorter run times count as this long, since clocks are read late on a busy VM.
RUN_TIME_MIN_S = 0.05
# Crashes within this time may have one common reason, such as the loss of a rack. A
# request that causes them all, in copies started together, has similar run times.
SIMULTANEOUS_S = 0.1
SIMILAR_RUN_FRACTION, SIMILAR_RUN_S = 0.2, 0.03
# A run that began within this time after a crash is a retry of the run lost in it.
RETRIED_WITHIN_S = 0.1
# Largest difference between two nodes in the time of one crash.
CLOCK_DIFFERENCE_MAX_S = 0.03


class AttributedCrash(NamedTuple):
    """A crash of which a request is the likeliest cause.

    Attributes
    ----------
    at_s : float
        Time of the crash.
    ran_s : float
        How long the request had been running.
    """

    at_s: float
    ran_s: float


class CauseEvidence(NamedTuple):
    """The evidence that a request causes crashes.

    Attributes
    ----------
    crashes : sequence of AttributedCrash
        The crashes attributed to the request, in the order of time.
    service_crashes : int
        Number of crashes of the same services, except those in which a quarantined
        request ran, from `RATE_LEAD_S` before the first of `crashes` to the last.
    servers : int
        Number of backend servers of these services.
    """

    crashes: Sequence[AttributedCrash] = ()
    service_crashes: int = 0
    servers: int = 0


NO_EVIDENCE = CauseEvidence()


def likeliest_cause(
    probabilities: Mapping[int, float], quarantined: Collection[int]
) -> int | None:
    """Return the content that is the likeliest cause of a crash; None when unclear.

    A request that ran beside the cause several times shares these crashes with it, and
    beside several causes it may have more crashes than each of them. But it was lost
    after various run times, and a cause always after the same. So a crash is attributed
    only to the request whose crashes are the least probable by coincidence, and to none
    when two are close.

    Parameters
    ----------
    probabilities : mapping of int to float
        The contents that were running and have not been answered since, each with the
        probability that it was at all its crashes by coincidence.
    quarantined : collection of int
        Contents known to crash backend servers.
    """
    known = [content for content in probabilities if content in quarantined]
    if known:
        return known[0] if len(known) == 1 else None
    match heapq.nsmallest(2, probabilities, key=probabilities.__getitem__):
        case [only]:
            return only
        case [first, second] if (
            probabilities[first] * CAUSE_LEAD_FACTOR <= probabilities[second]
        ):
            return first
    return None


def independent_crashes(crashes: Sequence[AttributedCrash]) -> list[AttributedCrash]:
    """Return the crashes, only one of each group that may have one common reason.

    The loss of a rack or an availability zone ends several backend servers at the same
    moment. A request with copies on some of them would be quarantined for that alone.
    """
    kept: list[AttributedCrash] = []
    for crash in crashes:
        if kept and crash.at_s - kept[-1].at_s < SIMULTANEOUS_S:
            difference_s = abs(crash.ran_s - kept[-1].ran_s)
            if difference_s > SIMILAR_RUN_S + SIMILAR_RUN_FRACTION * crash.ran_s:
                continue
        kept.append(crash)
    return kept


def is_cause(evidence: CauseEvidence) -> bool:
    """Tell whether a request causes the crashes that are attributed to it.

    In a wave of crashes with another cause, the expected number of crashes that a
    request meets by coincidence is the crash rate times its total run time. A request
    that crashes backend servers meets far more. The rate includes the request's own
    crashes: a request that many callers send runs at nearly all backend servers, and
    so is there at each crash.
    """
    if len(evidence.crashes) >= CRASHES_SUFFICIENT and _has_similar_run_times(
        evidence.crashes
    ):
        return True
    has_enough = len(independent_crashes(evidence.crashes)) >= CRASHES_MIN
    return has_enough and coincidence_probability(evidence) < COINCIDENCE_MAX


def _has_similar_run_times(crashes: Sequence[AttributedCrash]) -> bool:
    """Tell whether all crashes came after about the same run time.

    A request that is there by coincidence is lost after various run times. A factor of
    two is allowed, since a request takes about twice as long to crash a backend server
    that has just started.
    """
    ran_s = [crash.ran_s for crash in crashes]
    return max(ran_s) <= SIMILAR_TIME_FACTOR * min(ran_s) + SIMILAR_TIME_S


def coincidence_probability(evidence: CauseEvidence) -> float:
    """Return the probability that a request was at its crashes by coincidence."""
    crashes = independent_crashes(evidence.crashes)
    count = len(crashes)
    window_s = crashes[-1].at_s - crashes[0].at_s + RATE_LEAD_S
    rate = evidence.service_crashes / (window_s * max(1, evidence.servers))
    expected = rate * sum(max(crash.ran_s, RUN_TIME_MIN_S) for crash in crashes)
    return _count_probability(count, expected) * _similar_times_probability(crashes)


def _count_probability(count: int, expected: float) -> float:
    """Return the Poisson probability of a number of crashes; 1 if it is expected."""
    if expected >= count:
        return 1.0
    # Larger counts are left out. While `expected` is less than half of `count`, they
    # are together less probable than this one.
    return expected**count * math.exp(-expected) / math.factorial(count)


def _similar_times_probability(crashes: Sequence[AttributedCrash]) -> float:
    """Return the probability that crashes at random times give such similar run times.

    A cause may also be there at crashes for other reasons. So the most similar run
    times are selected, of each possible number of crashes, and the probability of their
    similarity is multiplied by the number of ways to select as many.
    """
    ran_s = sorted(crash.ran_s for crash in _without_prompt_retries(crashes))
    longest_s = max(ran_s[-1], RUN_TIME_MIN_S)
    probabilities = [1.0]
    for size in range(min(CRASHES_MIN, len(ran_s)), len(ran_s) + 1):
        spans_s = [
            ran_s[first + size - 1] - ran_s[first]
            for first in range(len(ran_s) - size + 1)
        ]
        similarity = max(min(spans_s), EQUAL_RUN_TIME_S) / longest_s
        probabilities.append(math.comb(len(ran_s), size) * similarity ** (size - 1))
    return max(min(probabilities), SIMILAR_TIMES_PROBABILITY_MIN)


def _without_prompt_retries(
    crashes: Sequence[AttributedCrash],
) -> list[AttributedCrash]:
    """Return the crashes without those of retries that began at the crash before.

    The run time of such a retry is the time between the two crashes. In a wave that
    ends one backend server after the other at regular intervals, all run times would be
    equal, and the request would look like a cause.
    """
    kept = list(crashes[:1])
    for previous, crash in itertools.pairwise(crashes):
        began_after_s = crash.at_s - crash.ran_s - previous.at_s
        if not -CLOCK_DIFFERENCE_MAX_S <= began_after_s < RETRIED_WITHIN_S:
            kept.append(crash)
    return kept
