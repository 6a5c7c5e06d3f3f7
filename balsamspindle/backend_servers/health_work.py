"""The score of one backend server: a sequential test over its work."""

import math
from collections import Counter

from balsamspindle.backend_servers.evidence import ProbeResult, WorkResult
from balsamspindle.backend_servers.health_latency import SLOW_SHARE, SlowLimit
from balsamspindle.backend_servers.health_peers import PeerView
from balsamspindle.backend_servers.health_score import (
    SHARED_CAUSE_SHARE,
    LearnedRate,
    Rates,
    against_peers,
    bad_weight,
    good_weight,
)
from balsamspindle.backend_servers.health_verdicts import SLOW_RESULTS, Verdict, judge
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId, PeerEvidence

__all__ = ["WorkScore"]

# The score stops here, in thresholds: past it more evidence says nothing new.
SCORE_MAX = 2.0
# What one attempt adds at most, in thresholds: two are needed to eject.
ONE_ATTEMPT_MAX = 0.6
# Hanging requests that make a standstill, unless from this share on of the
# peers look bad, too: the load may be the cause then.
STANDSTILL_REQUESTS = 2
STANDSTILL_PEERS_BAD_MAX = 0.1
SAME_MOMENT_S = 0.05
# Latencies teach the slow limit only under this score, in thresholds: a sick
# backend server would else teach it that slow is normal.
LEARNING_SCORE = 0.25
# Work in flight for so many times as long as errors took here, and at least for so
# long, is no error like them any more. Errors vary by the switches between threads.
OUTLIVED_FACTOR = 4.0
OUTLIVED_MIN_S = 0.02
# What of the longest error before stays known when a shorter one comes.
ERROR_TIME_KEPT = 0.5
# What is counted of work that was slow and did not fail, and of good work.
SLOW_EVIDENCE = {
    "in_flight_too_long",
    "standstill",
    SLOW_RESULTS[WorkResult.ANSWERED],
    WorkResult.ANSWERED.value,
}
# A trial starts so far under the threshold, in bad requests: one ends it.
TRIAL_MARGIN = 0.9


class _InFlight:
    """One dispatched attempt, and what it added to the score so far."""

    __slots__ = ("counted", "started_s", "weight")

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.counted = 0
        self.weight = 0.0


class WorkScore:
    """Evidence of one backend server's work, summed up.

    Attributes
    ----------
    detection : Detection
        May be changed; the evidence stays.
    score : float
        0 is healthy; over the threshold the backend server is suspected.
    evidence : Counter
        Requests and probes by result since the score was last 0.
    worked_s : float
        When work last said something.
    """

    def __init__(self, detection: Detection, now_s: float) -> None:
        self.detection = detection
        self.score = 0.0
        self.evidence: Counter[str] = Counter()
        self.worked_s = now_s
        self._in_flight: dict[AttemptId, _InFlight] = {}
        self._peers = PeerView()
        self._slow = SlowLimit()
        self._slow_rate = LearnedRate(SLOW_SHARE)
        self._error_rate = LearnedRate(detection.error_rate_healthy)
        self._weight = 0.0
        # When slow work was counted last, and when that work had begun.
        self._slow_s = float("-inf")
        self._slow_started_s = float("-inf")
        self._good_started_s = float("-inf")
        self._good_s = float("-inf")
        self._stood_still_s = float("-inf")
        self._error_took_s = float("inf")
        # Of the slow work since the score was last 0.
        self._slowest_counted_ms = 0.0

    @property
    def has_work(self) -> bool:
        """Whether attempts are in flight."""
        return bool(self._in_flight)

    def started_since(self, since_s: float) -> bool:
        """Tell whether an attempt is in flight that began after a time."""
        return any(one.started_s >= since_s for one in self._in_flight.values())

    def outlives_errors(self, since_s: float, now_s: float) -> bool:
        """Tell whether work that began after a time has lasted past errors.

        A sick backend server that answers errors does so within a millisecond.
        One that is still at work has taken the request; to wait for its answer
        would leave its other slots empty for as long as a request takes, at
        each trial.
        """
        lasts_s = max(OUTLIVED_MIN_S, OUTLIVED_FACTOR * self._error_took_s)
        return any(
            since_s <= one.started_s <= now_s - lasts_s
            for one in self._in_flight.values()
        )

    def had_good_work_since(self, since_s: float) -> bool:
        """Tell whether an attempt ended well after a time."""
        return self._good_s > since_s

    @property
    def own_limit_ms(self) -> float:
        """Its own 99th percentile of latency; 0 before enough was seen."""
        return self._slow.limit_ms if self._slow.known else 0.0

    def slow_ms(self) -> float:
        """Return the latency over which a request counts as slow."""
        limit_ms = self._peers.limit_ms or self._slow.limit_ms
        slow_ms = self.detection.slow_factor * limit_ms
        return max(slow_ms, self.detection.slow_ms_min)

    def peers_bad_share(self, now_s: float) -> float:
        """Return the part of the peers that looks bad."""
        return self._peers.bad_share(now_s)

    def is_shared(self, now_s: float) -> bool:
        """Tell whether the peers suffer, too, or did and take it as usual by now."""
        if self.peers_bad_share(now_s) >= SHARED_CAUSE_SHARE:
            return True
        return self._is_usual_by_now(now_s)

    def _is_usual_by_now(self, now_s: float) -> bool:
        """Tell whether all that counted against it is no longer slow among the peers.

        One that is held out hears nothing of them. When it is tried again they have
        learned that all are slow, and look well; left to a trial of five requests,
        at 4 of 100 of a slow service's, it would be suspected for half a minute.
        """
        if not self._slowest_counted_ms or self.evidence.keys() - SLOW_EVIDENCE:
            return False
        peers_slow_ms = self.detection.slow_factor * self._peers.limit_ms
        # What still hangs may take longer than it was counted for.
        started_s = (attempt.started_s for attempt in self._in_flight.values())
        oldest_ms = (now_s - min(started_s, default=now_s)) * 1000
        return max(self._slowest_counted_ms, oldest_ms) <= peers_slow_ms

    def note_peers(self, evidence: PeerEvidence, now_s: float) -> None:
        """Take what an ingress saw of the service's other backend servers."""
        self._peers.note(evidence, now_s)

    def started(self, attempt_id: AttemptId, now_s: float) -> None:
        """Take an attempt into the work in flight."""
        self._in_flight[attempt_id] = _InFlight(now_s)

    def ended(
        self, attempt_id: AttemptId, result: WorkResult, learns: bool, now_s: float
    ) -> Verdict:
        """Take an attempt's end and tell what it says.

        Parameters
        ----------
        learns : bool
            Whether the backend server serves, so that its work may teach
            what is healthy.
        """
        attempt = self._in_flight.pop(attempt_id, None)
        if attempt is None:
            return Verdict.NOTHING
        latency_ms = (now_s - attempt.started_s) * 1000
        verdict = judge(result, latency_ms > self.slow_ms())
        self._follow_peers(now_s)
        if verdict is Verdict.NOTHING:
            return verdict
        if learns:
            self._learn(result, verdict, latency_ms)
        self._take(verdict, result, attempt, now_s)
        return verdict

    def forget_work(self) -> None:
        """Drop what is in flight: the backend server restarted."""
        self._in_flight.clear()

    def tick(self, now_s: float) -> None:
        """Count the age of the work in flight."""
        self._follow_peers(now_s)
        slow_ms = self.slow_ms()
        for attempt in sorted(self._in_flight.values(), key=_times_counted):
            age_ms = (now_s - attempt.started_s) * 1000
            # In flight past the limit is evidence already: a request that
            # hangs says so by its end only at its timeout.
            if age_ms > _AGES[attempt.counted] * slow_ms:
                self._count_slow(attempt, "in_flight_too_long", now_s)
        self._look_for_standstill(now_s)

    def add_failed_probe(self, result: ProbeResult, now_s: float) -> None:
        """Take a failed probe: alone it reaches the threshold only by refusal."""
        self.evidence[f"probe_{result}"] += 1
        limit = ONE_ATTEMPT_MAX * self.detection.threshold
        weight = bad_weight(self._error_rates(now_s))
        if result is ProbeResult.FAILED:
            weight = min(weight, limit - self.score)
        self._add(max(0.0, min(weight, limit)))

    def lower_for_trial(self, now_s: float) -> None:
        """Take the score so near under the threshold that one bad request ends it."""
        self._peers.outdate_limit()
        if self.detection.independent_errors:
            # One error ends a trial at any score; what is left of the last
            # ejection would only make a slow answer end it as well.
            self._set_score(0.0)
            return
        weights = (
            bad_weight(self._slow_rates(now_s)),
            bad_weight(self._error_rates(now_s)),
        )
        near = max(0.0, self.detection.threshold - TRIAL_MARGIN * min(weights))
        self.score = min(self.score, near)

    def _slow_rates(self, now_s: float) -> Rates:
        return self._rates(self._slow_rate, now_s)

    def _error_rates(self, now_s: float) -> Rates:
        return self._rates(self._error_rate, now_s)

    def _rates(self, learned: LearnedRate, now_s: float) -> Rates:
        rates = Rates(learned.value, self.detection.error_rate_sick)
        return against_peers(rates, self._peers.bad_share(now_s))

    def _follow_peers(self, now_s: float) -> None:
        """Take the score back as far as the peers turn out to be bad, too.

        The first bad requests of an overload are scored before the peers' are
        known of; they must not stand once those are.
        """
        weight = bad_weight(self._slow_rates(now_s))
        if weight < self._weight:
            self._set_score(self.score * weight / self._weight)
        self._weight = weight

    def _learn(self, result: WorkResult, verdict: Verdict, latency_ms: float) -> None:
        """Take a calm time's request as healthy."""
        if self.score > LEARNING_SCORE * self.detection.threshold:
            return
        answered = result is WorkResult.ANSWERED
        self._error_rate.learn(not answered)
        if answered:
            self._slow_rate.learn(verdict is Verdict.BAD)
            self._slow.learn(latency_ms)

    def _take(self, verdict, result, attempt: _InFlight, now_s: float) -> None:
        """Add one ended attempt to the score."""
        self.worked_s = now_s
        if verdict is Verdict.GOOD:
            self._good_s = now_s
            self._good_started_s = max(self._good_started_s, attempt.started_s)
            self._add(good_weight(self._slow_rates(now_s)))
            self.evidence[result.value] += 1
        elif result in SLOW_RESULTS:
            # Work that was never answered is not slow like the peers'.
            is_answered = result is WorkResult.ANSWERED
            took_ms = (now_s - attempt.started_s) * 1000 if is_answered else math.inf
            self._slowest_counted_ms = max(self._slowest_counted_ms, took_ms)
            if not attempt.counted:
                self._count_slow(attempt, SLOW_RESULTS[result], now_s)
        else:
            self.evidence[result.value] += 1
            self._note_error_time(now_s - attempt.started_s)
            if self.detection.independent_errors:
                self._add(self.detection.threshold)
            else:
                self._add_bad(attempt, bad_weight(self._error_rates(now_s)))

    def _note_error_time(self, took_s: float) -> None:
        before_s = self._error_took_s
        if before_s == float("inf"):
            before_s = 0.0
        self._error_took_s = max(took_s, ERROR_TIME_KEPT * before_s)

    def _count_slow(self, attempt: _InFlight, evidence: str, now_s: float) -> None:
        """Count a slow attempt, unless it shares a pause with the last one.

        A backend server that stands still for a moment makes all work of
        that moment slow: one event, however many requests. Counted one by
        one, a busy healthy one would be suspected at its every pause.
        """
        paused = (now_s - self._slow_s) * 1000 < self.detection.pause_ms
        if paused and not self._is_apart(attempt, now_s):
            return
        self._slow_s = now_s
        self._slow_started_s = attempt.started_s
        attempt.counted += 1
        age_ms = (now_s - attempt.started_s) * 1000
        self._slowest_counted_ms = max(self._slowest_counted_ms, age_ms)
        self._add_bad(attempt, bad_weight(self._slow_rates(now_s)))
        self.evidence[evidence] += 1

    def _is_apart(self, attempt: _InFlight, now_s: float) -> bool:
        """Tell whether an attempt was slow by itself, not in the last pause.

        Either good work came between, or good work that started later has
        overtaken it. Work that ends at the same moment shows nothing: so it
        does at the end of a pause. Nor does work that began at the same moment as
        what was counted last: threads that wait for a processor are not all held up
        for the same time.
        """
        if abs(attempt.started_s - self._slow_started_s) < SAME_MOMENT_S:
            return False
        good_after_s = self._good_s - self._slow_s
        between = good_after_s > SAME_MOMENT_S and self._good_s <= attempt.started_s
        overtaken = (
            self._good_started_s > attempt.started_s
            and now_s - self._good_s > SAME_MOMENT_S
        )
        return between or overtaken

    def _look_for_standstill(self, now_s: float) -> None:
        """Count a stop of all work for longer than a healthy pause.

        Two requests that hang while nothing at all comes back, for longer
        than the settings say that a healthy backend server pauses, decide by
        themselves: waiting for more evidence would only cost callers.
        """
        slow_ms = self.slow_ms()
        hanging_s = [
            attempt.started_s
            for attempt in self._in_flight.values()
            if (now_s - attempt.started_s) * 1000 > slow_ms
        ]
        if len(hanging_s) < STANDSTILL_REQUESTS:
            return
        oldest_s = min(hanging_s)
        paused = (now_s - oldest_s) * 1000 <= self.detection.pause_ms
        if paused or self._good_s >= oldest_s or self._stood_still_s >= oldest_s:
            return
        if self._peers.bad_share(now_s) >= STANDSTILL_PEERS_BAD_MAX:
            return
        self._stood_still_s = now_s
        age_ms = (now_s - oldest_s) * 1000
        self._slowest_counted_ms = max(self._slowest_counted_ms, age_ms)
        self.evidence["standstill"] += 1
        self._add(self.detection.threshold)

    def _add_bad(self, attempt: _InFlight, weight: float) -> None:
        """Add bad work; one attempt alone never reaches the threshold."""
        limit = ONE_ATTEMPT_MAX * self.detection.threshold
        weight = min(weight, limit - attempt.weight)
        attempt.weight += weight
        self._add(weight)

    def _add(self, weight: float) -> None:
        self._set_score(self.score + weight)

    def _set_score(self, score: float) -> None:
        limit = SCORE_MAX * self.detection.threshold
        self.score = min(limit, max(0.0, score))
        if not self.score:
            self.evidence.clear()
            self._slowest_counted_ms = 0.0


def _times_counted(attempt: _InFlight) -> int:
    return attempt.counted


# Ages, in slow limits, from which an attempt in flight counts once and twice;
# it never counts more often.
_AGES = (1.0, 4.0, float("inf"))
