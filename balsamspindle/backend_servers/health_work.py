"""Score of one backend server, computed from its attempts by a sequential test."""

import math
from collections import Counter

from balsamspindle.backend_servers.evidence import ProbeResult, WorkResult
from balsamspindle.backend_servers.health_latency import SLOW_FRACTION, LatencyP99
from balsamspindle.backend_servers.health_peers import PeerAggregate
from balsamspindle.backend_servers.health_score import (
    SHARED_CAUSE_FRACTION,
    LearnedRate,
    Rates,
    adjust_for_peers,
    bad_request_score,
    good_request_score,
)
from balsamspindle.backend_servers.health_verdicts import SLOW_RESULTS, Verdict, judge
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId, PeerEvidence

__all__ = ["WorkScore"]

# Upper bound of the score, as a multiple of the threshold. A higher score would not
# change any decision.
SCORE_MAX = 2.0
# Without `independent_errors`, one attempt adds at most this fraction of the threshold
# to the score, so that ejection takes at least two bad attempts.
ATTEMPT_SCORE_MAX = 0.6
# A standstill is detected if at least `STANDSTILL_REQUESTS_MIN` requests hang. None is
# detected while the fraction of bad peers is `STANDSTILL_PEERS_BAD_MAX` or more: the
# load may be why the requests hang.
STANDSTILL_REQUESTS_MIN = 2
STANDSTILL_PEERS_BAD_MAX = 0.1
# Times that differ by less than this count as the same moment.
SAME_MOMENT_S = 0.05
# Rates and latencies are learned only while the score is at most this fraction of the
# threshold. Otherwise the latencies of a sick backend server would count as normal.
LEARNING_SCORE_MAX = 0.25
# An attempt is expected to succeed once it has run `OUTLASTED_FACTOR` times as long as
# errors of its backend server take, and at least `OUTLASTED_MIN_S`. This margin is
# needed because thread switches make the duration of errors vary.
OUTLASTED_FACTOR = 4.0
OUTLASTED_MIN_S = 0.02
# Each error sets the recorded duration of errors to its own duration, or to this
# fraction of the previously recorded duration, whichever is longer.
ERROR_DURATION_DECAY = 0.5
# Keys of `WorkScore.evidence` that count slow or good requests, not errors.
SLOW_EVIDENCE = {
    "in_flight_too_long",
    "standstill",
    SLOW_RESULTS[WorkResult.ANSWERED],
    WorkResult.ANSWERED.value,
}
# Without `independent_errors`, the score of a trial starts at the threshold minus this
# fraction of a bad request's increment, so that one bad request ends the trial.
TRIAL_MARGIN = 0.9


class _InFlight:
    """One dispatched attempt, and what it added to the score so far."""

    __slots__ = ("score_added", "slow_count", "started_s")

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.slow_count = 0
        self.score_added = 0.0


class WorkScore:
    """Score of one backend server, and the evidence on which it is based.

    Attributes
    ----------
    detection : Detection
        The settings; replacing them changes neither score nor evidence.
    score : float
        0 is healthy; at `detection.threshold` the backend server is ejected.
    evidence : Counter
        Number of requests and probes by result since the score was last 0.
    last_verdict_s : float
        When an attempt last ended with a verdict of good or bad.
    """

    def __init__(self, detection: Detection, now_s: float) -> None:
        self.detection = detection
        self.score = 0.0
        self.evidence: Counter[str] = Counter()
        self.last_verdict_s = now_s
        self._in_flight: dict[AttemptId, _InFlight] = {}
        self._peers = PeerAggregate()
        self._latency = LatencyP99()
        self._slow_rate = LearnedRate(SLOW_FRACTION)
        self._error_rate = LearnedRate(detection.error_rate_healthy)
        self._slow_request_score = 0.0
        # When an attempt was last counted as slow, and when that attempt began.
        self._last_slow_s = float("-inf")
        self._last_slow_start_s = float("-inf")
        self._last_good_start_s = float("-inf")
        self._last_good_s = float("-inf")
        self._standstill_s = float("-inf")
        self._error_duration_s = float("inf")
        # Longest duration counted as slow since the score was last 0.
        self._slowest_counted_ms = 0.0

    @property
    def has_in_flight(self) -> bool:
        """Whether attempts are in flight."""
        return bool(self._in_flight)

    def has_attempt_since(self, since_s: float) -> bool:
        """Return whether an attempt that began at or after `since_s` is in flight."""
        return any(attempt.started_s >= since_s for attempt in self._in_flight.values())

    def has_attempt_outlasting_errors(self, since_s: float, now_s: float) -> bool:
        """Return whether any attempt in flight has run longer than errors usually take.

        Only attempts begun at or after `since_s` count. A sick backend server returns
        errors within a millisecond, so a longer attempt will probably succeed. If a
        trial waited for this attempt's answer, other slots would be unused until then.
        """
        lasts_s = max(OUTLASTED_MIN_S, OUTLASTED_FACTOR * self._error_duration_s)
        return any(
            since_s <= attempt.started_s <= now_s - lasts_s
            for attempt in self._in_flight.values()
        )

    def had_good_attempt_since(self, since_s: float) -> bool:
        """Return whether a good attempt has ended after `since_s`."""
        return self._last_good_s > since_s

    @property
    def own_p99_ms(self) -> float:
        """The server's 99th percentile of latency; 0 while too few requests ended."""
        return self._latency.p99_ms if self._latency.is_reportable else 0.0

    def slow_ms(self) -> float:
        """Return the latency above which a request counts as slow."""
        p99_ms = self._peers.p99_ms or self._latency.p99_ms
        slow_ms = self.detection.slow_factor * p99_ms
        return max(slow_ms, self.detection.slow_ms_min)

    def peers_bad_fraction(self, now_s: float) -> float:
        """Return the fraction of bad peers, between 0 and 1."""
        return self._peers.bad_fraction(now_s)

    def has_shared_cause(self, now_s: float) -> bool:
        """Return whether this backend server and its peers probably share a problem.

        True if many peers are bad now, or if all peers have become slow. In the second
        case, latencies counted as slow at this backend server are normal for its peers.
        """
        if self.peers_bad_fraction(now_s) >= SHARED_CAUSE_FRACTION:
            return True
        return self._is_normal_among_peers(now_s)

    def _is_normal_among_peers(self, now_s: float) -> bool:
        """Return whether the latency that was counted as slow is normal for the peers.

        If so, the ejection can be undone without a full trial of five requests. When
        all servers are slow, the server on trial gets about 4 of 100 requests. At 4
        requests a second in the service, a full trial would take half a minute. The
        fraction of bad peers does not show the slowness: when a trial begins, the
        peers' percentiles have adapted to it, so slow peers no longer count as bad.
        """
        if not self._slowest_counted_ms or self.evidence.keys() - SLOW_EVIDENCE:
            return False
        peers_slow_ms = self.detection.slow_factor * self._peers.p99_ms
        # Attempts in flight have aged since they were counted: use their present ages.
        started_s = (attempt.started_s for attempt in self._in_flight.values())
        oldest_ms = (now_s - min(started_s, default=now_s)) * 1000
        return max(self._slowest_counted_ms, oldest_ms) <= peers_slow_ms

    def record_peer_evidence(self, evidence: PeerEvidence, now_s: float) -> None:
        """Record an ingress's summary of how the service's other servers performed."""
        self._peers.record(evidence, now_s)

    def record_start(self, attempt_id: AttemptId, now_s: float) -> None:
        """Record that an attempt was dispatched; it is in flight from now on."""
        self._in_flight[attempt_id] = _InFlight(now_s)

    def record_end(
        self, attempt_id: AttemptId, result: WorkResult, may_learn: bool, now_s: float
    ) -> Verdict:
        """Record an attempt's end, and return whether it counts as good or bad.

        Return `Verdict.NOTHING` for an attempt that is not known to be in flight.

        Parameters
        ----------
        may_learn : bool
            Whether to learn rates and latencies; True only while the server is serving.
        """
        attempt = self._in_flight.pop(attempt_id, None)
        if attempt is None:
            return Verdict.NOTHING
        latency_ms = (now_s - attempt.started_s) * 1000
        verdict = judge(result, latency_ms > self.slow_ms())
        self._rescale_to_peers(now_s)
        if verdict is Verdict.NOTHING:
            return verdict
        if may_learn:
            self._learn(result, verdict, latency_ms)
        self._score_ended(verdict, result, attempt, now_s)
        return verdict

    def discard_in_flight(self) -> None:
        """Discard all attempts in flight because a restart has ended them."""
        self._in_flight.clear()

    def tick(self, now_s: float) -> None:
        """Raise the score if attempts in flight are slow or all work has stopped."""
        self._rescale_to_peers(now_s)
        slow_ms = self.slow_ms()
        for attempt in sorted(self._in_flight.values(), key=_times_counted):
            age_ms = (now_s - attempt.started_s) * 1000
            # Count a hanging request now instead of waiting for its timeout.
            if age_ms > _SLOW_AGE_FACTORS[attempt.slow_count] * slow_ms:
                self._count_slow(attempt, "in_flight_too_long", now_s)
        self._detect_standstill(now_s)

    def add_failed_probe(self, result: ProbeResult, now_s: float) -> None:
        """Raise the score; only refused connections can raise it to the threshold."""
        self.evidence[f"probe_{result}"] += 1
        limit = ATTEMPT_SCORE_MAX * self.detection.threshold
        increment = bad_request_score(self._error_rates(now_s))
        if result is ProbeResult.FAILED:
            increment = min(increment, limit - self.score)
        self._add_to_score(max(0.0, min(increment, limit)))

    def lower_for_trial(self, now_s: float) -> None:
        """Lower the score so that one error ends a trial; mark the peers' p99 stale."""
        self._peers.mark_p99_stale()
        if self.detection.independent_errors:
            # One error adds the whole threshold, so it ends the trial even at score 0.
            # If the score began above 0, one slow answer could end the trial, too.
            self._set_score(0.0)
            return
        increments = (
            bad_request_score(self._slow_rates(now_s)),
            bad_request_score(self._error_rates(now_s)),
        )
        limit = max(0.0, self.detection.threshold - TRIAL_MARGIN * min(increments))
        self.score = min(self.score, limit)

    def _slow_rates(self, now_s: float) -> Rates:
        return self._rates(self._slow_rate, now_s)

    def _error_rates(self, now_s: float) -> Rates:
        return self._rates(self._error_rate, now_s)

    def _rates(self, learned: LearnedRate, now_s: float) -> Rates:
        rates = Rates(learned.value, self.detection.error_rate_sick)
        return adjust_for_peers(rates, self._peers.bad_fraction(now_s))

    def _rescale_to_peers(self, now_s: float) -> None:
        """Lower the score when more peers turn out to be bad.

        The first bad requests of an overload are scored before summaries show that the
        peers are bad, too. While many peers are bad, each bad request adds less. To
        reduce what the first ones added, the score is multiplied by the ratio of a slow
        request's present increment to its previous increment.
        """
        increment = bad_request_score(self._slow_rates(now_s))
        if increment < self._slow_request_score:
            self._set_score(self.score * increment / self._slow_request_score)
        self._slow_request_score = increment

    def _learn(self, result: WorkResult, verdict: Verdict, latency_ms: float) -> None:
        """Learn healthy rates and latencies from a request, if the score is low."""
        if self.score > LEARNING_SCORE_MAX * self.detection.threshold:
            return
        answered = result is WorkResult.ANSWERED
        self._error_rate.learn(not answered)
        if answered:
            self._slow_rate.learn(verdict is Verdict.BAD)
            self._latency.learn(latency_ms)

    def _score_ended(self, verdict, result, attempt: _InFlight, now_s: float) -> None:
        """Update the score and the evidence with one ended attempt."""
        self.last_verdict_s = now_s
        if verdict is Verdict.GOOD:
            self._last_good_s = now_s
            self._last_good_start_s = max(self._last_good_start_s, attempt.started_s)
            self._add_to_score(good_request_score(self._slow_rates(now_s)))
            self.evidence[result.value] += 1
        elif result in SLOW_RESULTS:
            # An attempt without an answer has no latency that could be compared with
            # the latency of the peers, so its duration counts as infinite.
            is_answered = result is WorkResult.ANSWERED
            took_ms = (now_s - attempt.started_s) * 1000 if is_answered else math.inf
            self._slowest_counted_ms = max(self._slowest_counted_ms, took_ms)
            if not attempt.slow_count:
                self._count_slow(attempt, SLOW_RESULTS[result], now_s)
        else:
            self.evidence[result.value] += 1
            self._record_error_duration(now_s - attempt.started_s)
            if self.detection.independent_errors:
                self._add_to_score(self.detection.threshold)
            else:
                self._add_bad(attempt, bad_request_score(self._error_rates(now_s)))

    def _record_error_duration(self, duration_s: float) -> None:
        previous_s = self._error_duration_s
        if previous_s == float("inf"):
            previous_s = 0.0
        self._error_duration_s = max(duration_s, ERROR_DURATION_DECAY * previous_s)

    def _count_slow(self, attempt: _InFlight, evidence: str, now_s: float) -> None:
        """Count a slow attempt, unless a pause that was already counted delayed it.

        A pause of a backend server delays all requests that run there, but counts as
        one event. If each delayed request counted, a busy healthy backend server would
        be suspected at every pause.
        """
        is_pause = (now_s - self._last_slow_s) * 1000 < self.detection.pause_ms
        if is_pause and not self._is_outside_last_pause(attempt, now_s):
            return
        self._last_slow_s = now_s
        self._last_slow_start_s = attempt.started_s
        attempt.slow_count += 1
        age_ms = (now_s - attempt.started_s) * 1000
        self._slowest_counted_ms = max(self._slowest_counted_ms, age_ms)
        self._add_bad(attempt, bad_request_score(self._slow_rates(now_s)))
        self.evidence[evidence] += 1

    def _is_outside_last_pause(self, attempt: _InFlight, now_s: float) -> bool:
        """Return whether an attempt was slow for a reason other than the last pause.

        If the attempt began at the same moment as the last attempt counted as slow, the
        last pause delayed both, even if they end at different times: threads wait for a
        processor for different times. Otherwise, a good request proves another reason
        in two cases. If it ended after the last slow attempt was counted and before
        this attempt began, the pause was over before this attempt began. If it began
        after this attempt and ended earlier, no pause delayed this attempt: a pause
        would have delayed both. Ends at the same moment prove nothing, because all
        requests end together at the end of a pause.
        """
        if abs(attempt.started_s - self._last_slow_start_s) < SAME_MOMENT_S:
            return False
        gap_s = self._last_good_s - self._last_slow_s
        is_after_good = gap_s > SAME_MOMENT_S and self._last_good_s <= attempt.started_s
        is_overtaken = (
            self._last_good_start_s > attempt.started_s
            and now_s - self._last_good_s > SAME_MOMENT_S
        )
        return is_after_good or is_overtaken

    def _detect_standstill(self, now_s: float) -> None:
        """Add the threshold to the score if all work has stopped.

        Two hanging requests suffice if the older one began more than `pause_ms` ago
        (the longest pause of a healthy server) and no request has succeeded since it
        began. Waiting for more hanging requests would only make more requests fail.
        """
        slow_ms = self.slow_ms()
        hanging_s = [
            attempt.started_s
            for attempt in self._in_flight.values()
            if (now_s - attempt.started_s) * 1000 > slow_ms
        ]
        if len(hanging_s) < STANDSTILL_REQUESTS_MIN:
            return
        oldest_s = min(hanging_s)
        is_pause = (now_s - oldest_s) * 1000 <= self.detection.pause_ms
        if is_pause or self._last_good_s >= oldest_s or self._standstill_s >= oldest_s:
            return
        if self._peers.bad_fraction(now_s) >= STANDSTILL_PEERS_BAD_MAX:
            return
        self._standstill_s = now_s
        age_ms = (now_s - oldest_s) * 1000
        self._slowest_counted_ms = max(self._slowest_counted_ms, age_ms)
        self.evidence["standstill"] += 1
        self._add_to_score(self.detection.threshold)

    def _add_bad(self, attempt: _InFlight, increment: float) -> None:
        """Add an attempt's increment to the score, up to the bound for one attempt."""
        limit = ATTEMPT_SCORE_MAX * self.detection.threshold
        increment = min(increment, limit - attempt.score_added)
        attempt.score_added += increment
        self._add_to_score(increment)

    def _add_to_score(self, increment: float) -> None:
        self._set_score(self.score + increment)

    def _set_score(self, score: float) -> None:
        limit = SCORE_MAX * self.detection.threshold
        self.score = min(limit, max(0.0, score))
        if not self.score:
            self.evidence.clear()
            self._slowest_counted_ms = 0.0


def _times_counted(attempt: _InFlight) -> int:
    return attempt.slow_count


# An attempt in flight counts as slow when its age exceeds these multiples of the slow
# limit: once at the first, once more at the second, and never again.
_SLOW_AGE_FACTORS = (1.0, 4.0, float("inf"))
