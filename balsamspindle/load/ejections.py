"""Which backend servers the nodes hold for sick, sampled from their status."""

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from balsamspindle.load.http_json import ask
from balsamspindle.load.plan import FaultPeriod
from balsamspindle.wire import BackendServerRecord

__all__ = ["Ejections", "EjectionSampler", "FalseEjection", "judge_ejections"]

SAMPLE_INTERVAL_S = 0.5
SUSPICION_EJECTS = 1.0


class FalseEjection(msgspec.Struct, frozen=True):
    """A backend server without a fault that was held for sick."""

    backend_server: str
    from_s: float
    to_s: float


class Ejections(msgspec.Struct, frozen=True):
    """Ejections seen in a run.

    Attributes
    ----------
    ejected_with_fault : list of str
        Backend servers that were held for sick while they had a fault.
    false : list of FalseEjection
    samples : int
        Answers of nodes; with none, nothing is known.
    """

    ejected_with_fault: list[str]
    false: list[FalseEjection]
    samples: int


class _Seen(NamedTuple):
    at_s: float
    backend_server: str


class EjectionSampler:
    """Asks each node for its own backend servers, again and again.

    Parameters
    ----------
    clock : callable
        Returns seconds since the start of the run.
    """

    def __init__(self, admins: Mapping[str, str], clock: Callable[[], float]) -> None:
        self._admins = admins
        self._clock = clock
        self._stopped = threading.Event()
        self._seen: list[_Seen] = []
        self._samples = 0

    def run(self) -> None:
        """Sample until `stop` is called."""
        while not self._stopped.is_set():
            for address in self._admins.values():
                self._sample(address)
            self._stopped.wait(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()

    def first_seen(self, server: str, start_s: float, end_s: float) -> float | None:
        """Return when a backend server was first held for sick in a time."""
        for seen in self._seen:
            if seen.backend_server == server and start_s <= seen.at_s <= end_s:
                return seen.at_s
        return None

    def judge(self, faults: Sequence[FaultPeriod], grace_s: float) -> Ejections:
        """Return what was seen, held against the faults that there were."""
        return judge_ejections(self._seen, self._samples, faults, grace_s)

    def _sample(self, address: str) -> None:
        status = ask(address, "/status")
        if status is None:
            return
        self._samples += 1
        for value in status["backend_servers"]:
            record = msgspec.convert(value, BackendServerRecord)
            if record.suspicion >= SUSPICION_EJECTS:
                self._seen.append(_Seen(self._clock(), record.backend_server_id))


def judge_ejections(
    seen: Sequence[tuple[float, str]],
    samples: int,
    faults: Sequence[FaultPeriod],
    grace_s: float,
) -> Ejections:
    """Tell right ejections from false ones.

    Parameters
    ----------
    seen : sequence of (float, str)
        Time and backend server of each sample that held it for sick.
    grace_s : float
        After its fault a backend server may be held out for so long.
    """
    with_fault: set[str] = set()
    false_s: dict[str, list[float]] = {}
    for at_s, server in seen:
        if any(
            fault.target == server and fault.start_s <= at_s <= fault.end_s + grace_s
            for fault in faults
        ):
            with_fault.add(server)
        else:
            false_s.setdefault(server, []).append(at_s)
    return Ejections(
        sorted(with_fault),
        [
            FalseEjection(server, min(times), max(times))
            for server, times in sorted(false_s.items())
        ],
        samples,
    )
