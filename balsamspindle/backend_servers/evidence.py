"""Evidence of backend servers' health, and the interface that evaluates it."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.wire import NOT_HELD_OUT, AttemptId, HoldOut, PeerEvidence

__all__ = [
    "HealthObserver",
    "Judgement",
    "NullHealthObserver",
    "ProbeResult",
    "WorkResult",
]


class WorkResult(StrEnum):
    """How a dispatched attempt ended at the backend server.

    ``SHED`` is a 503 or 429: evidence of load, not of sickness. ``SILENCE`` is a
    timeout after the request was sent. ``CANCELLED`` is no evidence about the backend
    server: the attempt was cancelled, or failed for a known cause outside the backend
    server.
    """

    ANSWERED = "answered"
    ERROR = "error"
    SHED = "shed"
    SILENCE = "silence"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class ProbeResult(StrEnum):
    """How a probe of a health endpoint ended.

    ``FAILED`` is an answer with an error status, or no answer in time.
    ``UNREACHABLE`` is a refused connection. Requests would fail as well, because they
    are sent to the same address as the probe.
    """

    PASSED = "passed"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class Judgement(NamedTuple):
    """The gate's verdict on an ended attempt, sent to the ingress in the reply.

    Attributes
    ----------
    bad : bool or None
        Whether the attempt counts against the backend server; None if the attempt is no
        evidence about the backend server.
    p99_ms : float
        The backend server's 99th percentile of latency; 0 if unknown.
    """

    bad: bool | None = None
    p99_ms: float = 0.0


class HealthObserver(Protocol):
    """Collects evidence from the gate and decides which attempts the gate may dispatch.

    The threads that run attempts call the methods concurrently; `now_s` is monotonic.
    """

    def record_start(
        self, backend_server_id: str, attempt_id: AttemptId, now_s: float
    ) -> None:
        """Record that an attempt was dispatched; it is in flight from now on."""

    def record_peer_evidence(
        self, backend_server_id: str, evidence: PeerEvidence, now_s: float
    ) -> None:
        """Record an ingress's summary of how the service's other servers performed."""

    def record_end(
        self,
        backend_server_id: str,
        attempt_id: AttemptId,
        result: WorkResult,
        now_s: float,
    ) -> Judgement:
        """Record the end of an attempt, and return the verdict on the attempt."""

    def admits(
        self,
        backend_server_id: str,
        execution: Execution,
        weight: float,
        now_s: float,
        is_last_try: bool = False,
    ) -> bool:
        """Return whether an attempt may be dispatched to the backend server now.

        Parameters
        ----------
        is_last_try : bool
            Whether the request cannot be retried if this attempt fails.
        """

    def held_out(self, backend_server_id: str, now_s: float) -> HoldOut:
        """Return how long the gate will refuse attempts, and on what evidence.

        Two kinds of attempts are not refused during this time: attempts that a trial
        accepts, and attempts with `Dispatch.is_last_resort`. A last-resort attempt goes
        to a suspected backend server because all other backend servers were tried or
        refused the request.
        """


class NullHealthObserver:
    """Ignores all evidence and admits every attempt."""

    def admits(
        self, backend_server_id, execution, weight, now_s, is_last_try=False
    ) -> bool:
        """See `HealthObserver.admits`."""
        return True

    def held_out(self, backend_server_id, now_s) -> HoldOut:
        """See `HealthObserver.held_out`."""
        return NOT_HELD_OUT

    def record_start(self, backend_server_id, attempt_id, now_s) -> None:
        """See `HealthObserver.record_start`."""

    def record_peer_evidence(self, backend_server_id, evidence, now_s) -> None:
        """See `HealthObserver.record_peer_evidence`."""

    def record_end(self, backend_server_id, attempt_id, result, now_s) -> Judgement:
        """See `HealthObserver.record_end`."""
        return Judgement()
