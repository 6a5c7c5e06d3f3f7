"""Polls the status of nodes, and records which backend servers the nodes ejected."""

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from balsamspindle.load.http_json import request_json
from balsamspindle.load.plan import FaultPeriod
from balsamspindle.protocol.decoding import convert_input
from balsamspindle.wire import BackendServerRecord

__all__ = ["Ejections", "EjectionSampler", "FalseEjection", "classify_ejections"]

SAMPLE_INTERVAL_S = 0.5
# A backend server with at least this suspicion counts as ejected.
EJECTED_SUSPICION_MIN = 1.0


class FalseEjection(msgspec.Struct, frozen=True):
    """A backend server that was ejected while it had no fault.

    Attributes
    ----------
    from_s, to_s : float
        Times of the first and the last sample that showed the backend server as ejected
        while it had no fault.
    """

    backend_server: str
    from_s: float
    to_s: float


class Ejections(msgspec.Struct, frozen=True):
    """Ejections in an experiment.

    Attributes
    ----------
    ejected_with_fault : list of str
        Backend servers that were ejected while they had a fault.
    false : list of FalseEjection
        At most one for each backend server.
    samples : int
        Number of status answers of nodes. If it is 0, the lists are empty because no
        ejection could be observed.
    """

    ejected_with_fault: list[str]
    false: list[FalseEjection]
    samples: int


class _EjectedSample(NamedTuple):
    at_s: float
    backend_server: str


class EjectionSampler:
    """Polls each node's status and records which of its backend servers are ejected.

    Parameters
    ----------
    admins : mapping of str to str
        Node to its admin address.
    clock : callable
        Returns the seconds since the start of the experiment.
    """

    def __init__(self, admins: Mapping[str, str], clock: Callable[[], float]) -> None:
        self._admins = admins
        self._clock = clock
        self._stopped = threading.Event()
        self._ejected: list[_EjectedSample] = []
        self._samples = 0

    def run(self) -> None:
        """Sample until `stop` is called."""
        while not self._stopped.is_set():
            for address in self._admins.values():
                self._sample(address)
            self._stopped.wait(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Make `run` return after its current sample; callable from any thread."""
        self._stopped.set()

    def first_ejected_s(
        self, server: str, start_s: float, end_s: float
    ) -> float | None:
        """Return the time of the first sample in a period that shows an ejection.

        Returns
        -------
        float or None
            None if no sample from `start_s` to `end_s` shows the server as ejected.
        """
        for ejected in self._ejected:
            if ejected.backend_server == server and start_s <= ejected.at_s <= end_s:
                return ejected.at_s
        return None

    def classify(self, faults: Sequence[FaultPeriod], grace_s: float) -> Ejections:
        """Classify the sampled ejections; see `classify_ejections`."""
        return classify_ejections(self._ejected, self._samples, faults, grace_s)

    def _sample(self, address: str) -> None:
        status = request_json(address, "/status")
        if status is None:
            return
        self._samples += 1
        for value in status["backend_servers"]:
            record = convert_input(value, BackendServerRecord)
            if record.suspicion >= EJECTED_SUSPICION_MIN:
                self._ejected.append(
                    _EjectedSample(self._clock(), record.backend_server_id)
                )


def classify_ejections(
    ejected: Sequence[tuple[float, str]],
    samples: int,
    faults: Sequence[FaultPeriod],
    grace_s: float,
) -> Ejections:
    """Separate ejections of faulty backend servers from those of healthy ones.

    Parameters
    ----------
    ejected : sequence of (float, str)
        Time and backend server of each sample that showed an ejected server.
    samples : int
        Number of status answers; copied into the result.
    grace_s : float
        An ejection that was sampled at most this long after the end of the server's
        fault counts as an ejection with a fault.
    """
    with_fault: set[str] = set()
    false_s: dict[str, list[float]] = {}
    for at_s, server in ejected:
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
