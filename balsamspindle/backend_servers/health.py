"""The health of one backend server, from the work that its gate sees."""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.backend_servers.evidence import ProbeResult, WorkResult
from balsamspindle.backend_servers.health_latency import SLOW_SHARE, SlowLimit
from balsamspindle.backend_servers.health_peers import PeerView
from balsamspindle.backend_servers.health_readmission import HealthPhase, Readmission
from balsamspindle.backend_servers.health_score import (
    SHARED_CAUSE_SHARE,
    LearnedRate,
    Rates,
    against_peers,
    bad_weight,
    good_weight,
)
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId, PeerEvidence

__all__ = ["HealthReport", "ServerHealth", "Verdict"]

# The score stops here, in thresholds: past it more evidence says nothing new.
SCORE_MAX = 2.0
# What one attempt adds at most, in thresholds: two are needed to eject.
ONE_ATTEMPT_MAX = 0.6
# Hanging requests that make a standstill, unless from this share on of the
# peers look bad, too: the load may be the cause then.
STANDSTILL_REQUESTS = 2
STANDSTILL_PEERS_BAD_MAX = 0.1
# A hold-out ends early when work that came all the same went so well, in
# thresholds.
RECOVERED_SCORE = 0.5
# Latencies teach the slow limit only under this score, in thresholds: a sick
# backend server would else teach it that slow is normal.
LEARNING_SCORE = 0.25
# Probes fill silences of this length, while somebody asked so lately.
SILENCE_S = 2.0
ASKED_LATELY_S = 60.0
# A trial starts so far under the threshold, in bad requests: one ends it.
TRIAL_MARGIN = 0.9
# Suspicion is published in few steps: each change of a record is news to the
# whole fleet.
SUSPICION_ON_TRIAL = 0.5
SUSPICION_HELD_OUT = 1.0
SUSPICION_STRONG = 2.0
STRONG_SCORE = 1.5


class Verdict(StrEnum):
    """What one ended request says of the backend server."""

    GOOD = "good"
    BAD = "bad"
    NOTHING = "nothing"


class HealthReport(NamedTuple):
    """Why a backend server stands as it does; for operators and events.

    Attributes
    ----------
    score, threshold : float
        Sum of the sequential test, and where it ejects.
    slow_ms : float
        Requests over it count as slow.
    peers_bad_share : float
        Part of the service's other backend servers that looks bad, too.
    evidence : dict of str to int
        Requests by result since the score was last 0.
    """

    phase: HealthPhase
    since_s: float
    score: float
    threshold: float
    slow_ms: float
    peers_bad_share: float
    evidence: dict[str, int]
    hold_out_left_s: float


class _InFlight:
    """One dispatched attempt, and what it added to the score so far."""

    __slots__ = ("counted", "started_s", "weight")

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.counted = 0
        self.weight = 0.0


class ServerHealth:
    """Score and phase of one backend server; guarded by its owner's lock."""

    def __init__(self, detection: Detection, now_s: float) -> None:
        self._detection = detection
        self._readmission = Readmission(detection, now_s)
        self._peers = PeerView()
        self._slow = SlowLimit()
        self._slow_rate = LearnedRate(SLOW_SHARE)
        self._error_rate = LearnedRate(detection.error_rate_healthy)
        self._weight = 0.0
        self._slow_s = float("-inf")
        self._good_since_slow = False
        self._good_s = float("-inf")
        self._stood_still_s = float("-inf")
        self._in_flight: dict[AttemptId, _InFlight] = {}
        self._score = 0.0
        self._asked_s = -ASKED_LATELY_S
        self._worked_s = now_s
        # Kept through a hold-out, so that a score that goes up and down does
        # not make news each time.
        self._strong = False
        self._evidence: Counter[str] = Counter()

    @property
    def phase(self) -> HealthPhase:
        """Where the backend server stands now."""
        return self._readmission.phase

    @property
    def needs_tick(self) -> bool:
        """Whether time alone may change something."""
        return bool(self._in_flight) or self.phase is not HealthPhase.SERVING

    @property
    def own_limit_ms(self) -> float:
        """Its own 99th percentile of latency; 0 before enough was seen."""
        return self._slow.limit_ms if self._slow.settled else 0.0

    def configure(self, detection: Detection) -> None:
        """Take changed settings; the evidence stays."""
        self._detection = detection
        self._readmission.detection = detection

    def note_peers(self, evidence: PeerEvidence, now_s: float) -> None:
        """Take what an ingress saw of the service's other backend servers."""
        self._peers.note(evidence, now_s)

    def started(self, attempt_id: AttemptId, now_s: float) -> None:
        """Take an attempt into the work in flight."""
        self._in_flight[attempt_id] = _InFlight(now_s)
        self._asked_s = now_s

    def ended(self, attempt_id: AttemptId, result: WorkResult, now_s: float) -> Verdict:
        """Take an attempt's end and tell what it says."""
        attempt = self._in_flight.pop(attempt_id, None)
        if attempt is None:
            return Verdict.NOTHING
        latency_ms = (now_s - attempt.started_s) * 1000
        verdict = _VERDICTS[result, latency_ms > self.slow_ms()]
        self._follow_peers(now_s)
        self._learn(result, verdict, latency_ms)
        self._take(verdict, result, attempt, now_s)
        self._move(now_s)
        return verdict

    def wants_probe(self, now_s: float) -> bool:
        """Tell whether a probe would say what work does not.

        Not while work flows, for it says more; and not when nobody has asked
        for the backend server lately: then nobody needs to know.
        """
        if now_s - self._asked_s > ASKED_LATELY_S:
            return False
        if self.phase is not HealthPhase.SERVING:
            return True
        return not self._in_flight and now_s - self._worked_s > SILENCE_S

    def probed(self, result: ProbeResult, now_s: float) -> None:
        """Take a probe.

        Health endpoints answer while real work hangs, and fail while it goes
        well. A passed probe takes nothing off the score; it may shorten a
        hold-out, and end a trial that no request came to, at a score that one
        bad request ends. A failed one brings the score near the threshold and
        never over it. Only an address that nobody listens at is like bad
        work, unless work told something just now.
        """
        self._readmission.note_probe(result is ProbeResult.PASSED)
        if result is not ProbeResult.PASSED and now_s - self._worked_s > SILENCE_S:
            self._add_failed_probe(result, now_s)
        if self._readmission.probes_end_trial(self._worked_s, now_s):
            self._readmission.serve(now_s)
        self._move(now_s)

    def _add_failed_probe(self, result: ProbeResult, now_s: float) -> None:
        self._evidence[f"probe_{result}"] += 1
        limit = ONE_ATTEMPT_MAX * self._detection.threshold
        weight = bad_weight(self._error_rates(now_s))
        if result is ProbeResult.FAILED:
            weight = min(weight, limit - self._score)
        self._add(max(0.0, min(weight, limit)))

    def restarted(self, now_s: float) -> None:
        """Take a restart of the backend server: its work is gone.

        The doublings of the hold-out stay: a backend server that restarts
        again and again flaps, too.
        """
        self._in_flight.clear()
        if self.phase is HealthPhase.HELD_OUT:
            self._start_trial(now_s)

    def tick(self, now_s: float) -> None:
        """Count the age of the work in flight, and the time in a phase."""
        self._follow_peers(now_s)
        slow_ms = self.slow_ms()
        for attempt in sorted(self._in_flight.values(), key=_times_counted):
            age_ms = (now_s - attempt.started_s) * 1000
            # In flight past the limit is evidence already: a request that
            # hangs says so by its end only at its timeout.
            if age_ms > _AGES[attempt.counted] * slow_ms:
                self._count_slow(attempt, "in_flight_too_long", now_s)
        self._look_for_standstill(now_s)
        self._move(now_s)

    def slow_ms(self) -> float:
        """Return the latency over which a request counts as slow."""
        limit_ms = self._peers.limit_ms or self._slow.limit_ms
        return self._detection.slow_factor * limit_ms

    def suspicion(self) -> float:
        """Return what the fleet is told; 1 and more is over the threshold."""
        if self.phase is HealthPhase.HELD_OUT:
            return SUSPICION_STRONG if self._strong else SUSPICION_HELD_OUT
        return SUSPICION_ON_TRIAL if self.phase is HealthPhase.ON_TRIAL else 0.0

    def report(self, now_s: float) -> HealthReport:
        """Explain the present phase and score."""
        return HealthReport(
            self.phase,
            self._readmission.since_s,
            self._score,
            self._detection.threshold,
            self.slow_ms(),
            self._peers.bad_share(now_s),
            dict(self._evidence),
            self._readmission.hold_out_left_s(now_s),
        )

    def _slow_rates(self, now_s: float) -> Rates:
        return self._rates(self._slow_rate, now_s)

    def _error_rates(self, now_s: float) -> Rates:
        return self._rates(self._error_rate, now_s)

    def _rates(self, learned: LearnedRate, now_s: float) -> Rates:
        rates = Rates(learned.value, self._detection.error_rate_sick)
        return against_peers(rates, self._peers.bad_share(now_s))

    def _follow_peers(self, now_s: float) -> None:
        """Take the score back as far as the peers turn out to be bad, too.

        The first bad requests of an overload are scored before the peers' are
        known of; they must not stand once those are.
        """
        weight = bad_weight(self._slow_rates(now_s))
        if weight < self._weight:
            self._set_score(self._score * weight / self._weight)
        self._weight = weight

    def _learn(self, result: WorkResult, verdict: Verdict, latency_ms: float) -> None:
        """Take a calm time's request as healthy."""
        if verdict is Verdict.NOTHING or self.phase is not HealthPhase.SERVING:
            return
        if self._score > LEARNING_SCORE * self._detection.threshold:
            return
        answered = result is WorkResult.ANSWERED
        self._error_rate.learn(not answered)
        if answered:
            self._slow_rate.learn(verdict is Verdict.BAD)
            self._slow.learn(latency_ms)

    def _take(self, verdict, result, attempt: _InFlight, now_s: float) -> None:
        """Add one ended attempt to the score."""
        if verdict is Verdict.NOTHING:
            return
        self._worked_s = now_s
        if verdict is Verdict.GOOD:
            self._good_s = now_s
            self._good_since_slow |= attempt.started_s >= self._slow_s
            self._add(good_weight(self._slow_rates(now_s)))
            self._evidence[result.value] += 1
        elif result in _SLOW_RESULTS:
            if not attempt.counted:
                self._count_slow(attempt, _SLOW_RESULTS[result], now_s)
        else:
            self._add_bad(attempt, bad_weight(self._error_rates(now_s)))
            self._evidence[result.value] += 1
        if self._readmission.note_work(verdict is Verdict.GOOD):
            self._readmission.serve(now_s)

    def _count_slow(self, attempt: _InFlight, evidence: str, now_s: float) -> None:
        """Count a slow attempt, unless it shares a pause with the last one.

        A backend server that stands still for a moment makes all work of
        that moment slow: one event, however many requests. Counted one by
        one, a busy healthy one would be suspected at its every pause.
        """
        paused = (now_s - self._slow_s) * 1000 < self._detection.pause_ms
        if paused and not self._good_since_slow:
            return
        self._slow_s = now_s
        self._good_since_slow = False
        attempt.counted += 1
        self._add_bad(attempt, bad_weight(self._slow_rates(now_s)))
        self._evidence[evidence] += 1

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
        paused = (now_s - oldest_s) * 1000 <= self._detection.pause_ms
        if paused or self._good_s >= oldest_s or self._stood_still_s >= oldest_s:
            return
        if self._peers.bad_share(now_s) >= STANDSTILL_PEERS_BAD_MAX:
            return
        self._stood_still_s = now_s
        self._evidence["standstill"] += 1
        self._add(self._detection.threshold)

    def _add_bad(self, attempt: _InFlight, weight: float) -> None:
        """Add bad work; one attempt alone never reaches the threshold."""
        limit = ONE_ATTEMPT_MAX * self._detection.threshold
        weight = min(weight, limit - attempt.weight)
        attempt.weight += weight
        self._add(weight)

    def _add(self, weight: float) -> None:
        self._set_score(self._score + weight)

    def _set_score(self, score: float) -> None:
        limit = SCORE_MAX * self._detection.threshold
        self._score = min(limit, max(0.0, score))
        if not self._score:
            self._evidence.clear()

    def _move(self, now_s: float) -> None:
        """Change the phase when the score or the time says so."""
        threshold = self._detection.threshold
        if self.phase is not HealthPhase.SERVING and self._is_shared(now_s):
            self._readmission.acquit(now_s)
        match self.phase:
            case HealthPhase.SERVING | HealthPhase.ON_TRIAL:
                if self._score >= threshold:
                    self._readmission.eject(now_s)
                    self._strong = False
            case HealthPhase.HELD_OUT:
                self._strong |= self._score >= STRONG_SCORE * threshold
                recovered = self._score <= RECOVERED_SCORE * threshold
                if recovered or not self._readmission.hold_out_left_s(now_s):
                    self._start_trial(now_s)

    def _is_shared(self, now_s: float) -> bool:
        return self._peers.bad_share(now_s) >= SHARED_CAUSE_SHARE

    def _start_trial(self, now_s: float) -> None:
        """Begin a trial so near the threshold that one bad request ends it."""
        weights = (
            bad_weight(self._slow_rates(now_s)),
            bad_weight(self._error_rates(now_s)),
        )
        near = max(0.0, self._detection.threshold - TRIAL_MARGIN * min(weights))
        self._score = min(self._score, near)
        self._readmission.start_trial(now_s)


def _times_counted(attempt: _InFlight) -> int:
    return attempt.counted


# Ages, in slow limits, from which an attempt in flight counts once and twice;
# it never counts more often.
_AGES = (1.0, 4.0, float("inf"))

_SLOW_RESULTS = {
    WorkResult.ANSWERED: "slow",
    WorkResult.SILENCE: WorkResult.SILENCE.value,
}

# Silence counts only past the slow limit: a caller that allows a millisecond
# would else get a healthy backend server ejected. Shed work is load, and what
# we cancelled is our own doing.
_VERDICTS = {
    (WorkResult.ANSWERED, False): Verdict.GOOD,
    (WorkResult.ANSWERED, True): Verdict.BAD,
    (WorkResult.SILENCE, False): Verdict.NOTHING,
    (WorkResult.SILENCE, True): Verdict.BAD,
    **{
        (result, slow): Verdict.BAD
        for result in (WorkResult.ERROR, WorkResult.BROKEN, WorkResult.UNREACHABLE)
        for slow in (False, True)
    },
    **{
        (result, slow): Verdict.NOTHING
        for result in (WorkResult.SHED, WorkResult.CANCELLED)
        for slow in (False, True)
    },
}
