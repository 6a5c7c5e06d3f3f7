"""From a drain to the last new work: time and count, under load.

Real processes: two nodes with one backend server each (2 slots, 30 ms a
request) and 12 callers; one backend server is drained after a second.

    python -m bench.drain
"""

import time
from typing import NamedTuple

from tests.leaving_utils import SteadyCaller, read_events
from tests.utils import Fleet, call

__all__ = ["DrainResult", "run_drain"]

ROUNDS = 5
CALLERS = 12
BEFORE_S, AFTER_S = 1.0, 4.0
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
    """What one drain did.

    Attributes
    ----------
    new_work : int
        Requests begun at the backend server after its drain.
    last_work_ms : float
        From the drain to the last of them; 0 for none.
    refused : int
        Attempts that its gate refused for the drain.
    last_refused_ms : float
        From the drain to the last of them: when the news had reached all.
    not_answered : int
        Requests of all callers without an answer of a backend server.
    calls : int
    """

    new_work: int
    last_work_ms: float
    refused: int
    last_refused_ms: float
    not_answered: int
    calls: int


def run_drain() -> DrainResult:
    """Drain one of two backend servers under load."""
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
        time.sleep(BEFORE_S)
        call(nodes[0].admin_address, "/backend-servers/contract-0/drain", "POST")
        time.sleep(AFTER_S)
        for caller in callers:
            caller.stop()
        calls = [one for caller in callers for one in caller.calls]
        faults = sum(len(caller.faults) for caller in callers)
        return _count(read_events(nodes[0].log_path), calls, faults)


def _count(events, calls, faults: int) -> DrainResult:
    drained_s = next(
        float(event["wall_s"])
        for event in events
        if event["event"] == "backend_server_draining"
    )

    def after_ms(name: str) -> list[float]:
        return [
            (float(event["wall_s"]) - drained_s) * 1000
            for event in events
            if event["event"] == name
            and event.get("backend_server") == "contract-0"
            and float(event["wall_s"]) > drained_s
        ]

    work, refused = after_ms("attempt_dispatched"), after_ms("attempt_refused")
    return DrainResult(
        len(work),
        max(work, default=0.0),
        len(refused),
        max(refused, default=0.0),
        faults + sum(one.outcome != "answered" for one in calls),
        len(calls),
    )


def main() -> None:
    """Print each round."""
    print("new work, last after; refused, last after; not answered of calls")
    for _ in range(ROUNDS):
        result = run_drain()
        print(
            f"{result.new_work}, {result.last_work_ms:.1f} ms; "
            f"{result.refused}, {result.last_refused_ms:.0f} ms; "
            f"{result.not_answered} of {result.calls}"
        )


if __name__ == "__main__":
    main()
