"""Derives a verdict on a backend server from the end of one request."""

from enum import StrEnum

from balsamspindle.backend_servers.evidence import WorkResult

__all__ = ["SLOW_RESULTS", "Verdict", "judge"]


class Verdict(StrEnum):
    """Whether an ended request counts for or against the backend server."""

    GOOD = "good"
    BAD = "bad"
    NOTHING = "nothing"


def judge(result: WorkResult, is_slow: bool) -> Verdict:
    """Return the verdict that follows from a request's result and slowness."""
    return _VERDICTS[result, is_slow]


# Results that count as bad only if the request was slow, each with the name under
# which it is then counted as evidence.
SLOW_RESULTS = {
    WorkResult.ANSWERED: "slow",
    WorkResult.SILENCE: WorkResult.SILENCE.value,
}

# Silence (no answer before the timeout) counts only if the request was slow: a caller
# with a timeout of one millisecond must not get a healthy backend server ejected. Shed
# requests are evidence of load, and cancelled attempts were ended by this node, so
# neither counts.
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
