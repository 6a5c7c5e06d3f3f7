"""Number of attempts that a backend server still gets after its drain has begun.

The bench starts processes: two nodes, each with one backend server that has 2 slots and
takes 30 ms for a request. 12 callers send requests. One backend server is drained after
a second of load.

    python -m bench.drain
"""

import time
from typing import NamedTuple

from tests.leaving_utils import SteadyCaller, read_events
from tests.utils import Fleet, call

__all__ = ["DrainResult", "run_drain"]

ROUNDS = 5
CALLERS = 12
LOAD_BEFORE_DRAIN_S, LOAD_AFTER_DRAIN_S = 1.0, 4.0
SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/sign": {
        "service": "crew/contracts",
        "execution": "non_idempotent",
        "path_prefix": "/contracts",
        "methods": ["POST"],
    },
}


class DrainResult(NamedTuple):
    """Figures of one drain; times are measured from the start of the drain.

    Attributes
    ----------
    dispatched : int
        Attempts that the gate dispatched to the backend server during the drain.
    last_dispatched_ms : float
        Time until the last of these attempts; 0 without any.
    refused : int
        Attempts at the backend server that its gate refused during the drain.
    last_refused_ms : float
        Time until the last refusal; 0 without any. From then on, all ingresses know of
        the drain.
    not_answered : int
        Requests of all callers that got no answer from a backend server.
    calls : int
        Requests of all callers.
    """

    dispatched: int
    last_dispatched_ms: float
    refused: int
    last_refused_ms: float
    not_answered: int
    calls: int


def run_drain() -> DrainResult:
    """Drain one of two backend servers under load and return the figures."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.put_settings(SETTINGS)
        nodes = [fleet.start_node(f"node-{number}", "zone-0") for number in range(2)]
        for number, node in enumerate(nodes):
            fleet.start_backend(
                f"contract-{number}", "crew/contracts", node, work_ms=30, slots=2
            )
        fleet.wait_ready(nodes, ["contract-0", "contract-1"])
        callers = [
            SteadyCaller(f"caller-{number}", [nodes[number % 2].caller_address], "POST")
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(LOAD_BEFORE_DRAIN_S)
        call(nodes[0].admin_address, "/backend-servers/contract-0/drain", "POST")
        time.sleep(LOAD_AFTER_DRAIN_S)
        for caller in callers:
            caller.stop()
        calls = [caller_call for caller in callers for caller_call in caller.calls]
        faults = sum(len(caller.faults) for caller in callers)
        return _summarize_events(read_events(nodes[0].log_path), calls, faults)


def _summarize_events(events, calls, faults: int) -> DrainResult:
    drained_s = next(
        float(event["wall_s"])
        for event in events
        if event["event"] == "backend_server_draining"
    )

    def delays_after_drain_ms(name: str) -> list[float]:
        return [
            (float(event["wall_s"]) - drained_s) * 1000
            for event in events
            if event["event"] == name
            and event.get("backend_server") == "contract-0"
            and float(event["wall_s"]) > drained_s
        ]

    dispatched_ms, refused = (
        delays_after_drain_ms("attempt_dispatched"),
        delays_after_drain_ms("attempt_refused"),
    )
    return DrainResult(
        len(dispatched_ms),
        max(dispatched_ms, default=0.0),
        len(refused),
        max(refused, default=0.0),
        faults + sum(caller_call.outcome != "answered" for caller_call in calls),
        len(calls),
    )


def main() -> None:
    """Print the figures of `ROUNDS` drains."""
    print(
        "attempts dispatched during the drain, time until the last; attempts refused,"
        " time until the last; requests not answered"
    )
    for _ in range(ROUNDS):
        result = run_drain()
        print(
            f"{result.dispatched}, {result.last_dispatched_ms:.1f} ms; "
            f"{result.refused}, {result.last_refused_ms:.0f} ms; "
            f"{result.not_answered} of {result.calls}"
        )


if __name__ == "__main__":
    main()
