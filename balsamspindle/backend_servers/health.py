"""The health of one backend server: its score and its phase.

The phase is serving, held out or on trial.
"""

import math
from typing import NamedTuple

from balsamspindle.backend_servers.evidence import ProbeResult, WorkResult
from balsamspindle.backend_servers.health_readmission import HealthPhase, Readmission
from balsamspindle.backend_servers.health_verdicts import Verdict
from balsamspindle.backend_servers.health_work import WorkScore
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import NOT_HELD_OUT, AttemptId, HoldOut, PeerEvidence

__all__ = ["HealthReport", "ServerHealth"]


LIGHTEST_WEIGHT_EXPIRY_S = 5.0

# A hold-out ends early when the score has fallen to this fraction of the threshold. The
# score can fall because some attempts still reach a backend server that is held out.
RECOVERED_SCORE_FRACTION = 0.5
# The estimated duration of a trial, about as long as a request takes. A gate reports to
# ingresses how long it will refuse attempts: the remaining time of the hold-out plus
# this estimate.
TRIAL_ESTIMATE_MS = 100.0
# Until a trial has lasted this long, it accepts only idempotent requests that can be
# retried. If each backend server gets a few requests per second, some of these requests
# arrive in that time, so that the trial needs no other requests.
TRIAL_WAIT_S = 3.0
# Until a trial has lasted this long, it accepts no request whose weight is above the
# least weight of recent idempotent requests.
LIGHTEST_WAIT_S = 0.7
# A serving backend server is probed after `PROBE_AFTER_IDLE_S` without work. No backend
# server is probed if no attempt was dispatched to it for `PROBE_DEMAND_WINDOW_S`.
PROBE_AFTER_IDLE_S = 2.0
PROBE_DEMAND_WINDOW_S = 60.0
# The values of the published suspicion, besides 0. There are only a few values,
# because each change of a backend server's record is sent to all nodes of the fleet.
SUSPICION_ON_TRIAL = 0.5
SUSPICION_HELD_OUT = 1.0
SUSPICION_STRONG = 2.0
# `SUSPICION_STRONG` is published once the score reaches this many times the threshold.
STRONG_SCORE_FACTOR = 1.5


class HealthReport(NamedTuple):
    """The reasons for a backend server's phase, for operators and events.

    Attributes
    ----------
    since_s : float
        When the phase began, on the monotonic clock.
    score, threshold : float
        The backend server's score, and the score at which it is ejected.
    slow_ms : float
        Requests that take longer than this count as slow.
    peers_bad_share : float
        Estimated fraction of the service's other backend servers whose latest request
        failed or was slow, between 0 and 1.
    evidence : dict of str to int
        Number of requests and probes by result since the score was last 0.
    hold_out_remaining_s : float
        Time until the trial; 0 unless the backend server is held out.
    """

    phase: HealthPhase
    since_s: float
    score: float
    threshold: float
    slow_ms: float
    peers_bad_share: float
    evidence: dict[str, int]
    hold_out_remaining_s: float


class LightestWeight:
    """The least weight of recent idempotent requests for a backend server.

    Attributes
    ----------
    weight : float
        Infinite before the first request.
    """

    def __init__(self) -> None:
        self.weight = math.inf
        self._recorded_s = -math.inf

    def record(self, weight: float, now_s: float) -> None:
        """Record a weight if it is the least, or if the recorded one has expired."""
        if weight <= self.weight or now_s - self._recorded_s > LIGHTEST_WEIGHT_EXPIRY_S:
            self.weight, self._recorded_s = weight, now_s


class ServerHealth:
    """Score and phase of one backend server.

    Not thread-safe: the caller holds a lock during each call.
    """

    def __init__(self, detection: Detection, now_s: float) -> None:
        self._work = WorkScore(detection, now_s)
        self._readmission = Readmission(detection, now_s)
        self._last_attempt_s = -PROBE_DEMAND_WINDOW_S
        self._lightest_weight = LightestWeight()
        self._bad_in_a_row = 0
        # Whether `SUSPICION_STRONG` is published while held out. Stays True until the
        # next ejection, even if the score falls. Otherwise each rise and fall of the
        # score would change the published record.
        self._is_strongly_suspected = False

    @property
    def phase(self) -> HealthPhase:
        """Whether the backend server is serving, held out or on trial."""
        return self._readmission.phase

    @property
    def needs_tick(self) -> bool:
        """Whether the score or phase may change without a new request or probe."""
        return self._work.has_in_flight or self.phase is not HealthPhase.SERVING

    @property
    def own_p99_ms(self) -> float:
        """The backend server's own 99th percentile of latency.

        0 while too few requests have been seen to estimate it.
        """
        return self._work.own_p99_ms

    def configure(self, detection: Detection) -> None:
        """Apply changed settings without changing the score, phase or evidence."""
        self._work.detection = detection
        self._readmission.detection = detection

    def record_peer_evidence(self, evidence: PeerEvidence, now_s: float) -> None:
        """Record an ingress's summary of how the service's other servers performed."""
        self._work.record_peer_evidence(evidence, now_s)

    def record_start(self, attempt_id: AttemptId, now_s: float) -> None:
        """Record that an attempt was dispatched; it is in flight from now on."""
        self._work.record_start(attempt_id, now_s)
        self._last_attempt_s = now_s

    def record_end(
        self, attempt_id: AttemptId, result: WorkResult, now_s: float
    ) -> Verdict:
        """Record an attempt's end, and return whether it counts as good or bad."""
        serves = self.phase is HealthPhase.SERVING
        verdict = self._work.record_end(attempt_id, result, serves, now_s)
        if verdict is not Verdict.NOTHING:
            good = verdict is Verdict.GOOD
            self._bad_in_a_row = 0 if good else self._bad_in_a_row + 1
            if self._readmission.record_work(verdict is Verdict.GOOD):
                self._readmission.readmit(now_s)
        self._update_phase(now_s)
        return verdict

    def admits(
        self,
        execution: Execution,
        weight: float,
        now_s: float,
        is_last_try: bool = False,
    ) -> bool:
        """Return whether an attempt may be dispatched to the backend server now.

        If the setting `Detection.independent_errors` is False, the result is always
        True. Otherwise a hold-out refuses all attempts, and a trial accepts one attempt
        at a time:

        - In the first `TRIAL_WAIT_S` the trial accepts only idempotent attempts whose
          requests can be retried. If such an attempt fails, its request is retried at
          another backend server. Any other request would be lost.
        - In the first `LIGHTEST_WAIT_S` the trial accepts only those of these attempts
          whose weight is at most `LightestWeight.weight`, the least weight of recent
          idempotent requests for the backend server. An attempt of higher weight may be
          a call that a non-idempotent request waits for. If the call and its retries
          failed, the non-idempotent request would fail, too, and could not be retried.

        Parameters
        ----------
        is_last_try : bool
            Whether the request cannot be retried if this attempt fails.
        """
        if execution is Execution.IDEMPOTENT:
            self._lightest_weight.record(weight, now_s)
        if not self._work.detection.independent_errors:
            # Admit every attempt. All ingresses receive the published suspicion, and
            # use a suspected backend server only if they have no other one.
            return True
        self._update_phase(now_s)
        match self.phase:
            case HealthPhase.SERVING:
                return True
            case HealthPhase.ON_TRIAL:
                # The trial refuses unsuitable attempts for a limited time only.
                # Otherwise a service that gets no idempotent requests would never use
                # the backend server again.
                since_s = self._readmission.since_s
                fits = now_s - since_s >= self._trial_wait_s(
                    execution, weight, is_last_try
                )
                return fits and not self._work.has_attempt_since(since_s)
        return False

    def _trial_wait_s(
        self, execution: Execution, weight: float, is_last_try: bool
    ) -> float:
        """Return how long a trial must have lasted before it accepts an attempt."""
        if execution is Execution.NON_IDEMPOTENT or is_last_try:
            return TRIAL_WAIT_S
        return 0.0 if weight <= self._lightest_weight.weight else LIGHTEST_WAIT_S

    def held_out_ms(self, now_s: float) -> float:
        """Return how long the gate will refuse attempts; 0 if it refuses none.

        In the serving phase, the result is 0. In the other phases, it depends on the
        service's setting `independent_errors`.

        With `independent_errors`, the result is the remaining time of the hold-out (0
        on trial) plus `TRIAL_ESTIMATE_MS`.

        Without `independent_errors`, the result is 0. The gate admits all attempts and
        only publishes its suspicion, so that ingresses prefer other backend servers. A
        result above 0 would have these effects:

        - Ingresses would send no requests until the planned end of a hold-out, even if
          a restart or good requests ended the hold-out early.
        - Ingresses would avoid a held-out backend server even if the capacity of the
          service's other backend servers is below the service's floor.
        - Ingresses would avoid a backend server on trial, although it needs requests
          to pass the trial.
        """
        refuses = self._work.detection.independent_errors
        if self.phase is HealthPhase.SERVING or not refuses:
            return 0.0
        return TRIAL_ESTIMATE_MS + self._readmission.hold_out_remaining_s(now_s) * 1000

    def held_out(self, now_s: float) -> HoldOut:
        """Return how long the gate will refuse attempts, and on what evidence."""
        held_out_ms = self.held_out_ms(now_s)
        return HoldOut(held_out_ms, self._bad_in_a_row) if held_out_ms else NOT_HELD_OUT

    def needs_probe(self, now_s: float) -> bool:
        """Return whether the backend server should be probed now.

        In the serving phase, a backend server is probed only while it has no requests,
        because requests are stronger evidence than probes. In all phases, a backend
        server that got no attempt for `PROBE_DEMAND_WINDOW_S` is not probed, because no
        ingress uses it.
        """
        if now_s - self._last_attempt_s > PROBE_DEMAND_WINDOW_S:
            return False
        if self._work.detection.independent_errors:
            # Services that use `independent_errors` have health endpoints that answer
            # "healthy" while requests fail. A probe would use a slot, and would be
            # weaker evidence than the requests of the next trial.
            return False
        if self.phase is not HealthPhase.SERVING:
            return True
        return (
            not self._work.has_in_flight
            and now_s - self._work.last_verdict_s > PROBE_AFTER_IDLE_S
        )

    def record_probe_result(self, result: ProbeResult, now_s: float) -> None:
        """Record the result of a probe.

        Health endpoints may answer while requests hang, and fail while requests
        succeed, so a probe counts for less than a request.

        A passed probe does not lower the score. Several passed probes in a row shorten
        a hold-out, and end a trial that got no request. After such a trial, the score
        is so near the threshold that one bad request ejects the backend server again.

        A failed probe raises the score, unless a request ended as good or bad within
        the last `PROBE_AFTER_IDLE_S`. A refused connection counts like a failed
        request. Other failed probes (an error status, or no answer in time) cannot
        raise the score to the threshold without bad requests.
        """
        self._readmission.record_probe_result(result is ProbeResult.PASSED)
        if (
            result is not ProbeResult.PASSED
            and now_s - self._work.last_verdict_s > PROBE_AFTER_IDLE_S
        ):
            self._work.add_failed_probe(result, now_s)
        if self._readmission.probes_end_trial(self._work.last_verdict_s, now_s):
            self._readmission.readmit(now_s)
        self._update_phase(now_s)

    def record_restart(self, now_s: float) -> None:
        """Discard the work in flight after a restart of the backend server.

        If the backend server is held out, a trial begins. The restart does not shorten
        the next hold-out, which the ejection has made longer: a backend server that
        restarts again and again also fails again and again.
        """
        self._work.discard_in_flight()
        if self.phase is HealthPhase.HELD_OUT:
            self._start_trial(now_s)

    def undo_crash_ejection(self, now_s: float) -> None:
        """End a hold-out or trial after a crash that a request caused.

        The next hold-out will be as long as if this ejection had not happened.
        """
        if self.phase is not HealthPhase.SERVING:
            self._work.lower_for_trial(now_s)
            self._readmission.undo_ejection(now_s)

    def tick(self, now_s: float) -> None:
        """Count attempts that take too long as slow, and end an expired hold-out."""
        self._work.tick(now_s)
        self._update_phase(now_s)

    def slow_ms(self) -> float:
        """Return the latency above which a request counts as slow."""
        return self._work.slow_ms()

    def suspicion(self) -> float:
        """Return the published suspicion.

        0 while the backend server is serving, 0.5 on trial, 1 or 2 while held out.
        """
        if self.phase is HealthPhase.HELD_OUT:
            return (
                SUSPICION_STRONG if self._is_strongly_suspected else SUSPICION_HELD_OUT
            )
        return SUSPICION_ON_TRIAL if self.phase is HealthPhase.ON_TRIAL else 0.0

    def report(self, now_s: float) -> HealthReport:
        """Return the phase and score with the evidence behind them."""
        return HealthReport(
            self.phase,
            self._readmission.since_s,
            self._work.score,
            self._work.detection.threshold,
            self.slow_ms(),
            self._work.peers_bad_fraction(now_s),
            dict(self._work.evidence),
            self._readmission.hold_out_remaining_s(now_s),
        )

    def _update_phase(self, now_s: float) -> None:
        """Change the phase if the score or the time spent in the phase requires it."""
        threshold = self._work.detection.threshold
        if self.phase is not HealthPhase.SERVING and self._work.has_shared_cause(now_s):
            if not self._work.detection.independent_errors:
                self._readmission.undo_ejection(now_s)
        match self.phase:
            case HealthPhase.SERVING | HealthPhase.ON_TRIAL:
                if self._work.score >= threshold:
                    self._readmission.eject(now_s)
                    self._is_strongly_suspected = False
                elif self._has_passed_trial(now_s):
                    self._readmission.readmit(now_s)
            case HealthPhase.HELD_OUT:
                self._is_strongly_suspected |= (
                    self._work.score >= STRONG_SCORE_FACTOR * threshold
                )
                recovered = self._work.score <= RECOVERED_SCORE_FRACTION * threshold
                # The score also falls when the peers are slow for a moment. Such a fall
                # does not show that this backend server has recovered, so a good
                # request is required as well.
                recovered &= self._work.had_good_attempt_since(
                    self._readmission.since_s
                )
                recovered &= not self._work.detection.independent_errors
                if recovered or not self._readmission.hold_out_remaining_s(now_s):
                    self._start_trial(now_s)

    def _has_passed_trial(self, now_s: float) -> bool:
        """Return whether an attempt in flight shows that the trial is passed.

        If the setting `independent_errors` is False, the result is False. Otherwise the
        trial is passed once an attempt that began in the trial has run longer than
        errors usually take.
        Such an attempt will probably succeed.
        """
        return (
            self.phase is HealthPhase.ON_TRIAL
            and self._work.detection.independent_errors
            and self._work.has_attempt_outlasting_errors(
                self._readmission.since_s, now_s
            )
        )

    def _start_trial(self, now_s: float) -> None:
        self._work.lower_for_trial(now_s)
        self._readmission.start_trial(now_s)
