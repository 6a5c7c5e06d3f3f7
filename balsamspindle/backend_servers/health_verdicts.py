"""What one ended request says of a backend server."""

from enum import StrEnum

from balsamspindle.backend_servers.evidence import WorkResult

__all__ = ["SLOW_RESULTS", "Verdict", "judge"]


class Verdict(StrEnum):
    """What one ended request says of the backend server."""

    GOOD = "good"
    BAD = "bad"
    NOTHING = "nothing"


def judge(result: WorkResult, is_slow: bool) -> Verdict:
    """Return what a request's end says, with whether it took too long."""
    return _VERDICTS[result, is_slow]


# Bad only for the time that they took, and what evidence of them is called.
SLOW_RESULTS = {
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
