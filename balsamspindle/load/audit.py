"""Comparison of the outcomes at the callers with the runs at the backend servers."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from balsamspindle.load.caller import NOT_CONNECTED, CallEnd
from balsamspindle.load.plan import FaultPeriod
from balsamspindle.load.schedule import ScheduledCall
from balsamspindle.protocol.outcomes import Execution, Outcome

__all__ = [
    "CallResult",
    "Detection",
    "GuaranteeViolations",
    "audit",
    "measure_detections",
]

_NOT_RUN_OUTCOMES = frozenset({Outcome.NOT_RUN.value, NOT_CONNECTED})

# Number of runs by backend server and run key.
RunCounts = Mapping[str, Mapping[str, int]]


class CallResult(NamedTuple):
    """A request and its end; `sent_s` is relative to the start of the experiment."""

    call: ScheduledCall
    sent_s: float
    end: CallEnd


class GuaranteeViolations(msgspec.Struct, frozen=True):
    """Run keys of the requests for which the fleet violated a guarantee.

    Attributes
    ----------
    not_run_but_ran : list of str
        Requests that ran although their callers received the outcome `not_run` or could
        not connect.
    non_idempotent_ran_twice : list of str
        Non-idempotent requests that ran more than once over all backend servers.
    wrong_answers : list of str
        Requests whose answer with status 200 was incomplete or belonged to another
        request, each as ``run_key: fault``.
    """

    not_run_but_ran: list[str]
    non_idempotent_ran_twice: list[str]
    wrong_answers: list[str]

    @property
    def all_guarantees_hold(self) -> bool:
        """Whether all lists are empty, so no guarantee was violated."""
        return not (
            self.not_run_but_ran or self.non_idempotent_ran_twice or self.wrong_answers
        )


class Detection(msgspec.Struct, frozen=True):
    """How long a faulty backend server kept receiving requests.

    The server counts as detected once it has received no request for the quiet period
    of the plan.

    Attributes
    ----------
    start_s : float
        Start of the fault.
    detection_s : float or None
        Time from the start of the fault to the last request before the first quiet
        period. None if the server received no request during the fault, or if there was
        no quiet period.
    met : int
        Number of requests that the server received from the start of the fault to the
        first quiet period, or to the end of the fault if there was no quiet period.
    met_later : int
        Number of requests that the server received after the first quiet period, during
        the fault: trials, or requests after a premature readmission.
    held_out_s : float or None
        Time from the start of the fault to the first node status that showed the
        server as ejected; None if no status did.
    """

    backend_server: str
    start_s: float
    detection_s: float | None
    met: int
    met_later: int
    held_out_s: float | None = None


def audit(results: Sequence[CallResult], runs: RunCounts) -> GuaranteeViolations:
    """Return the requests for which the fleet violated a guarantee."""
    total: Counter[str] = Counter()
    for counts in runs.values():
        total.update(counts)
    return GuaranteeViolations(
        not_run_but_ran=[
            result.call.run_key
            for result in results
            if result.end.outcome in _NOT_RUN_OUTCOMES and total[result.call.run_key]
        ],
        non_idempotent_ran_twice=[
            result.call.run_key
            for result in results
            if result.call.arrival.execution is Execution.NON_IDEMPOTENT
            and total[result.call.run_key] > 1
        ],
        wrong_answers=[
            f"{result.call.run_key}: {result.end.fault}"
            for result in results
            if result.end.fault is not None
        ],
    )


def measure_detections(
    results: Sequence[CallResult],
    runs: RunCounts,
    faults: Sequence[FaultPeriod],
    quiet_s: float,
    held_out: Callable[[str, float, float], float | None],
) -> list[Detection]:
    """Return the detection of each fault of a backend server.

    The faulty backend server's own counts show which requests it received. The time of
    each request is the time at which the caller sent it.

    Parameters
    ----------
    quiet_s : float
        A server that receives no request for this long counts as detected.
    held_out : callable
        Takes a backend server, a start and an end. Returns the first time in between
        at which a node's status showed the server as ejected, or None.
    """
    sent_s = {result.call.run_key: result.sent_s for result in results}
    return [
        _measure_detection(fault, runs[fault.target], sent_s, quiet_s, held_out)
        for fault in faults
        if fault.target in runs
    ]


def _measure_detection(fault, counts, sent_s, quiet_s, held_out) -> Detection:
    received_s = sorted(
        sent_s[key]
        for key in counts
        if key in sent_s and fault.start_s <= sent_s[key] < fault.end_s
    )
    until_quiet_s = _times_until_quiet(received_s, quiet_s)
    last_s = until_quiet_s[-1] if until_quiet_s else None
    held_out_s = held_out(fault.target, fault.start_s, fault.end_s)
    is_detected = last_s is not None and fault.end_s - last_s >= quiet_s
    return Detection(
        fault.target,
        fault.start_s,
        last_s - fault.start_s if is_detected else None,
        len(until_quiet_s),
        len(received_s) - len(until_quiet_s),
        held_out_s and held_out_s - fault.start_s,
    )


def _times_until_quiet(received_s: list[float], quiet_s: float) -> list[float]:
    for position, (earlier, later) in enumerate(
        zip(received_s, received_s[1:], strict=False)
    ):
        if later - earlier >= quiet_s:
            return received_s[: position + 1]
    return received_s
