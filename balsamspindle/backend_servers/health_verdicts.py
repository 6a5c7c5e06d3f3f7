"""Decides whether a request's result counts for or against its backend server."""

from enum import StrEnum

from balsamspindle.backend_servers.evidence import WorkResult

__all__ = ["SLOW_RESULTS", "Verdict", "judge"]


class Verdict(StrEnum):
    """Whether an ended request counts for or against the backend server."""

    GOOD = "good"
    BAD = "bad"
    NOTHING = "nothing"


def judge(result: WorkResult, is_slow: bool) -> Verdict:
    """Return the verdict for a request with this result."""
    return _VERDICTS[result, is_slow]


# Results that count as bad only if the request was slow. The value is the key under
# which `WorkScore.evidence` counts the slow request.
SLOW_RESULTS = {
    WorkResult.ANSWERED: "slow",
    WorkResult.SILENCE: WorkResult.SILENCE.value,
}

# Silence (no answer before the timeout) counts as bad only if the request was slow.
# Otherwise a caller with a timeout of one millisecond could cause the ejection of a
# healthy backend server. Shed requests are evidence of load, and this node itself ends
# cancelled attempts, so neither result counts for or against a backend server.
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
