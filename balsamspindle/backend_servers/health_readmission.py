"""How a backend server that was ejected gets work again.

::

    SERVING --threshold--> HELD_OUT --time, probes--> ON_TRIAL --good work--> SERVING
                              ^                          |
                              +--------threshold---------+

On trial a backend server gets idempotent requests, one at a time. Each ejection
multiplies the length of the next hold-out, up to a bound, and each period of `calm_s`
in the serving phase undoes one multiplication. As a result, a backend server that fails
again and again fails only a limited number of requests per hour. A backend server that
failed once soon serves again.
"""

from enum import StrEnum

from balsamspindle.settings.documents import Detection

__all__ = ["HealthPhase", "Readmission"]

GROWTH_EXPONENT_MAX = 20
# This many passed probes in a row halve the length of a hold-out, or end a trial as
# described at `TRIAL_IDLE_MIN_S`.
PROBES_TO_SHORTEN = 3
# Passed probes end a trial only if the trial has lasted this long, and no request has
# ended as good or bad during the trial.
TRIAL_IDLE_MIN_S = 10.0


class HealthPhase(StrEnum):
    """Whether a backend server gets all its work, none, or only trial requests."""

    SERVING = "serving"
    HELD_OUT = "held_out"
    ON_TRIAL = "on_trial"


class Readmission:
    """The phase of one backend server, and the length of its hold-outs.

    Attributes
    ----------
    phase : HealthPhase
    since_s : float
        When the phase began.
    growth_exponent : int
        How many times the length of the next hold-out is multiplied by
        `hold_out_growth`.
    """

    def __init__(self, detection: Detection, now_s: float) -> None:
        self.detection = detection
        self.phase = HealthPhase.SERVING
        self.since_s = now_s
        self.growth_exponent = 0
        self._hold_out_s = detection.hold_out_s
        self._good_in_a_row = 0
        self._probes_passed = 0
        self._good_service_since_s = now_s

    def eject(self, now_s: float) -> None:
        """Begin a hold-out, and increase the length of the next one.

        Each ejection multiplies the length of the next hold-out by `hold_out_growth`,
        up to `hold_out_max_s`. Each `calm_s` that the serving phase has lasted before
        an ejection undoes one multiplication.
        """
        self._reduce_growth(now_s)
        grown_s = (
            self.detection.hold_out_s
            * self.detection.hold_out_growth**self.growth_exponent
        )
        self._hold_out_s = min(grown_s, self.detection.hold_out_max_s)
        self.growth_exponent = min(self.growth_exponent + 1, GROWTH_EXPONENT_MAX)
        self._enter(HealthPhase.HELD_OUT, now_s)

    def hold_out_remaining_s(self, now_s: float) -> float:
        """Return the time until the trial; 0 unless the server is held out."""
        if self.phase is not HealthPhase.HELD_OUT:
            return 0.0
        is_shortened = self._probes_passed >= PROBES_TO_SHORTEN
        hold_out_s = self._hold_out_s / 2 if is_shortened else self._hold_out_s
        return max(0.0, self.since_s + hold_out_s - now_s)

    def start_trial(self, now_s: float) -> None:
        """Begin a trial."""
        self._good_in_a_row = 0
        self._enter(HealthPhase.ON_TRIAL, now_s)

    def record_work(self, good: bool) -> bool:
        """Count an ended request, and return whether the trial is now passed.

        A bad request also resets the number of probes passed in a row. The result is
        False if the backend server is not on trial.
        """
        if not good:
            self._probes_passed = 0
        if self.phase is not HealthPhase.ON_TRIAL:
            return False
        self._good_in_a_row = self._good_in_a_row + 1 if good else 0
        return self._good_in_a_row >= self.detection.trial_successes

    def record_probe_result(self, passed: bool) -> None:
        """Count a passed probe, or reset the count of probes passed in a row.

        `PROBES_TO_SHORTEN` passed probes in a row shorten a hold-out.
        """
        self._probes_passed = self._probes_passed + 1 if passed else 0

    def probes_end_trial(self, last_verdict_s: float, now_s: float) -> bool:
        """Return whether passed probes end a trial in which no request has ended.

        Parameters
        ----------
        last_verdict_s : float
            When a request last ended as good or bad.
        """
        return (
            self.phase is HealthPhase.ON_TRIAL
            and last_verdict_s < self.since_s
            and now_s - self.since_s >= TRIAL_IDLE_MIN_S
            and self._probes_passed >= PROBES_TO_SHORTEN
        )

    def readmit(self, now_s: float) -> None:
        """Enter the serving phase; its periods of `calm_s` are counted from now on."""
        self._good_service_since_s = now_s
        self._enter(HealthPhase.SERVING, now_s)

    def undo_ejection(self, now_s: float) -> None:
        """Enter the serving phase after a wrong ejection.

        The ejection made the next hold-out longer; this increase is undone.
        """
        self.growth_exponent = max(0, self.growth_exponent - 1)
        self.readmit(now_s)

    def _enter(self, phase: HealthPhase, now_s: float) -> None:
        self.phase = phase
        self.since_s = now_s
        self._probes_passed = 0

    def _reduce_growth(self, now_s: float) -> None:
        if self.phase is HealthPhase.SERVING:
            good_periods = int(
                (now_s - self._good_service_since_s) / self.detection.calm_s
            )
            self.growth_exponent = max(0, self.growth_exponent - good_periods)
