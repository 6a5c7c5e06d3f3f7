"""Distinguishes requests that cause crashes from those that run by coincidence.

A request that is running at a backend server when the backend server crashes need not
be the cause of the crash.
"""

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

# A request counts as the cause of crashes only if at least this many are attributed to
# it; fewer are too often a coincidence.
CRASHES_MIN = 3
# A request counts as the cause when the probability that it was running at its crashes
# by coincidence is less than this.
COINCIDENCE_MAX = 1e-5
# A request to which this many crashes are attributed, all after similar run times,
# counts as the cause of these crashes, whatever the rate of other crashes.
CRASHES_SUFFICIENT = 6
# For CRASHES_SUFFICIENT, run times count as similar if
# longest <= SIMILAR_TIME_FACTOR * shortest + SIMILAR_TIME_S.
SIMILAR_TIME_FACTOR, SIMILAR_TIME_S = 2.0, 0.1
# The crash rate of a service is computed over a window that begins this long before the
# first crash attributed to a request and ends with the last one. In a longer window, a
# wave of crashes that lasts two seconds would raise the rate too little. A request that
# runs during the wave by coincidence would then count as its cause.
RATE_LEAD_S = 1.0
# A crash is attributed to the request that most probably caused it. That request's
# probability of running at its crashes by coincidence must be at least this many times
# smaller than that of any other request.
CAUSE_LEAD_FACTOR = 10.0
# Two run times count as equal if their difference is smaller than this.
EQUAL_RUN_TIME_S = 0.01
# The probability that run times are similar by coincidence counts as at least this.
# Similar run times alone are no proof that a request causes crashes: runs that a
# time-out ends also have equal run times.
SIMILAR_TIMES_PROBABILITY_MIN = 1e-3
# Run times shorter than this are raised to this, since a busy VM may read its clock
# late, and a run time may then seem too short.
RUN_TIME_MIN_S = 0.05
# Crashes within this time may have one common reason, such as the loss of a rack.
SIMULTANEOUS_S = 0.1
# If a request causes simultaneous crashes, because copies of it started together, its
# run times differ by at most SIMILAR_RUN_FRACTION of the run time, plus SIMILAR_RUN_S.
SIMILAR_RUN_FRACTION, SIMILAR_RUN_S = 0.2, 0.03
# A run that began within this time after a crash counts as a prompt retry of the run of
# the same request that was lost in the crash.
RETRIED_WITHIN_S = 0.1
# The times that two nodes record for one crash differ by at most this.
CLOCK_DIFFERENCE_MAX_S = 0.03


class AttributedCrash(NamedTuple):
    """A crash that is attributed to a request, and the run time of the request.

    Attributes
    ----------
    at_s : float
        Time of the crash.
    ran_s : float
        How long the request had been running when the server crashed.
    """

    at_s: float
    ran_s: float


class CauseEvidence(NamedTuple):
    """The evidence that a request causes crashes.

    Attributes
    ----------
    crashes : sequence of AttributedCrash
        The crashes attributed to the request, in the order of time.
    service_crash_count : int
        Number of all crashes of the services in which `crashes` happened, from
        `RATE_LEAD_S` before the first of `crashes` to the last one. Crashes at which a
        quarantined request was running are not counted.
    server_count : int
        Number of backend servers of the services in which `crashes` happened.
    """

    crashes: Sequence[AttributedCrash] = ()
    service_crash_count: int = 0
    server_count: int = 0


NO_EVIDENCE = CauseEvidence()


def likeliest_cause(
    probabilities: Mapping[int, float], quarantined: Collection[int]
) -> int | None:
    """Return the request that most probably caused a crash; None when unclear.

    The request that is lost in the most crashes need not be a cause. A request that
    causes none, but often runs at the same time as one cause, is lost in the same
    crashes. If it runs at the same time as several causes, it may be lost in more
    crashes than each of them. But such a request is lost after various run times, and a
    cause always after about the same run time. So a crash is attributed to the request
    with the lowest probability of running at its crashes by coincidence, and to no
    request if the two lowest probabilities are about equal.

    Parameters
    ----------
    probabilities : mapping of int to float
        By the content hash of each request that was running at the crash and has not
        been answered since: the probability that the request was running at all its
        crashes by coincidence.
    quarantined : collection of int
        Content hashes of quarantined requests. If one of them was running at the crash,
        it is the cause; if several were, the cause is unclear.
    """
    known = [
        content_hash for content_hash in probabilities if content_hash in quarantined
    ]
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
    """Return the crashes, but only the first of those that one outage may have caused.

    The loss of a rack or an availability zone ends several backend servers at the same
    moment. If copies of a request were running at several of them, the request must not
    be quarantined for this loss. So only the first of several crashes within
    `SIMULTANEOUS_S` is returned. There is one exception: a further crash is returned
    if the request had been running for about the same time at this crash and at the
    last one returned. The request may then have caused both. An outage that ends copies
    of a request that started together looks the same, so its crashes are returned, too.
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
    """Return whether a request causes the crashes that are attributed to it.

    The number of crashes at which a request is expected to be running by coincidence is
    the crash rate times the total run time of the request. A request that crashes
    backend servers is running at far more crashes than that.

    The rate includes the crashes attributed to the request. A request that many callers
    send runs at nearly all backend servers, so it is running at nearly each crash,
    whatever the cause. If the rate were computed from other crashes only, it would be
    near 0, and the request would count as the cause.
    """
    if len(evidence.crashes) >= CRASHES_SUFFICIENT and _has_similar_run_times(
        evidence.crashes
    ):
        return True
    has_enough = len(independent_crashes(evidence.crashes)) >= CRASHES_MIN
    return has_enough and coincidence_probability(evidence) < COINCIDENCE_MAX


def _has_similar_run_times(crashes: Sequence[AttributedCrash]) -> bool:
    """Return whether a request was running for about the same time at all its crashes.

    A request that is running at crashes by coincidence is lost after various run times.
    The run times of a cause may differ by a factor of two, since a request takes about
    twice as long to crash a backend server that has just started.
    """
    ran_s = [crash.ran_s for crash in crashes]
    return max(ran_s) <= SIMILAR_TIME_FACTOR * min(ran_s) + SIMILAR_TIME_S


def coincidence_probability(evidence: CauseEvidence) -> float:
    """Return the probability that a request ran at its crashes by coincidence only."""
    crashes = independent_crashes(evidence.crashes)
    count = len(crashes)
    window_s = crashes[-1].at_s - crashes[0].at_s + RATE_LEAD_S
    rate = evidence.service_crash_count / (window_s * max(1, evidence.server_count))
    expected = rate * sum(max(crash.ran_s, RUN_TIME_MIN_S) for crash in crashes)
    return _count_probability(count, expected) * _similar_times_probability(crashes)


def _count_probability(count: int, expected: float) -> float:
    """Return the Poisson probability of exactly `count` crashes, with mean `expected`.

    Returns 1 if `expected` is `count` or more.
    """
    if expected >= count:
        return 1.0
    # The result approximates the probability of `count` or more crashes by that of
    # exactly `count`. If `expected` is less than half of `count`, each larger count is
    # less than half as probable as the next smaller count. All counts above `count`
    # together are then less probable than `count` (1/2 + 1/4 + ... = 1). So the result
    # is more than half of the probability of `count` or more crashes. As `expected`
    # rises towards `count`, the result becomes a smaller fraction of that probability.
    return expected**count * math.exp(-expected) / math.factorial(count)


def _similar_times_probability(crashes: Sequence[AttributedCrash]) -> float:
    """Return the probability that run times are as similar as these by coincidence.

    A request that causes crashes may also be running at crashes with another cause, so
    not all its run times need to be similar. For each number of crashes from
    `CRASHES_MIN`, the crashes with the most similar run times are selected. The
    probability that random run times are as similar is multiplied by the number of ways
    to select that many crashes. The smallest of these products is returned, but at
    least `SIMILAR_TIMES_PROBABILITY_MIN`.
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
    """Return the crashes except those in which a prompt retry was lost.

    A prompt retry begins right after the previous crash, so its run time is the time
    between the two crashes. In a wave that ends one backend server after the other at
    regular intervals, all these run times are equal, and the request would look like a
    cause.
    """
    kept = list(crashes[:1])
    for previous, crash in itertools.pairwise(crashes):
        began_after_s = crash.at_s - crash.ran_s - previous.at_s
        if not -CLOCK_DIFFERENCE_MAX_S <= began_after_s < RETRIED_WITHIN_S:
            kept.append(crash)
    return kept
