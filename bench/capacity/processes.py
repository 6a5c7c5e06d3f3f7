"""A real node process: its memory, threads and files, and its cost a request."""

import socket
import time
from collections.abc import Callable
from pathlib import Path

from bench.capacity.memory import resident_bytes
from bench.capacity.sizes import LIMITS
from tests.utils import Fleet, NodeProgram, call, wait_until

__all__ = ["measure"]

# CPUCLOCK_SCHED of the kernel: all threads of a process, in nanoseconds.
PROCESS_CPU_CLOCK = 2
CONNECTIONS = (0, 100, 200, 400)
IDLE_S = 5.0
LOAD_S = 8.0
SERVICE = "crew/board"
SETTINGS = {
    "crew/services/board": {},
    "crew/routes/board": {"service": SERVICE, "execution": "idempotent"},
}


def measure() -> dict[str, float]:
    """Return figures of an ingress and a gate, each a process of its own."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.put_settings(SETTINGS)
        gate = fleet.start_node("gate-0", "zone-0")
        ingress = fleet.start_node("ingress-0", "zone-1")
        fleet.start_backend("board-0", SERVICE, gate, slots=50)
        fleet.wait_ready([gate, ingress], ["board-0"])
        figures = _idle(ingress)
        figures.update(_requests(ingress, gate))
        figures.update(_connections(ingress))
        return figures


def _cpu_s(node: NodeProgram) -> float:
    """Return a process's processor time, from its own POSIX clock.

    The ticks of ``/proc/PID/stat`` are sampled: a task that runs for less
    than a tick, as idle nodes do, shows as nothing at all.
    """
    clock = (~node.process.pid) << 3 | PROCESS_CPU_CLOCK
    return time.clock_gettime(clock)


def _threads(node: NodeProgram) -> int:
    return len(list(Path(f"/proc/{node.process.pid}/task").iterdir()))


def _files(node: NodeProgram) -> int:
    return len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))


def _idle(node: NodeProgram) -> dict[str, float]:
    before_s = _cpu_s(node)
    time.sleep(IDLE_S)
    return {
        "idle_cpu_percent": (_cpu_s(node) - before_s) / IDLE_S * 100,
        "idle_rss_mb": resident_bytes(node.process.pid) / 1e6,
        "idle_threads": _threads(node),
        "idle_files": _files(node),
    }


def _requests(ingress: NodeProgram, gate: NodeProgram) -> dict[str, float]:
    """Send paced requests on one connection and charge them to the nodes."""
    caller = _Caller(ingress.caller_address)
    before_s = _cpu_s(ingress), _cpu_s(gate)
    started_s = time.monotonic()
    done = 0
    while time.monotonic() - started_s < LOAD_S:
        caller.ask()
        done += 1
        due_s = started_s + done / LIMITS.requests_per_s_per_node
        time.sleep(max(0.0, due_s - time.monotonic()))
    elapsed_s = time.monotonic() - started_s
    caller.close()
    return {
        "ingress_cpu_us_per_request": (_cpu_s(ingress) - before_s[0]) / done * 1e6,
        "gate_cpu_us_per_request": (_cpu_s(gate) - before_s[1]) / done * 1e6,
        "load_requests_per_s": done / elapsed_s,
    }


class _Caller:
    """One kept connection; whole answers of a known shape."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=10)

    def ask(self) -> None:
        self._socket.sendall(b"GET /board/7 HTTP/1.1\r\nHost: crew.example\r\n\r\n")
        answer = b""
        while b"\r\n\r\n" not in answer:
            answer += self._receive()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._receive()

    def _receive(self) -> bytes:
        data = self._socket.recv(65536)
        assert data, "the node closed the connection"
        return data

    def close(self) -> None:
        self._socket.close()


def _connections(node: NodeProgram) -> dict[str, float]:
    """Open idle connections, each after one request, and see what they hold."""
    callers: list[_Caller] = []
    points = []
    for wanted in CONNECTIONS:
        while len(callers) < wanted:
            callers.append(_Caller(node.caller_address))
            callers[-1].ask()
        points.append((resident_bytes(node.process.pid), _threads(node), _files(node)))
    first, last = points[0], points[-1]
    for caller in callers:
        caller.close()
    assert wait_until(_answers(node), "the node answers after the connections")
    return {
        "connections": CONNECTIONS[-1],
        "connection_rss_bytes": (last[0] - first[0]) / CONNECTIONS[-1],
        "connected_rss_mb": last[0] / 1e6,
        "connected_threads": last[1],
        "connected_files": last[2],
    }


def _answers(node: NodeProgram) -> Callable[[], bool]:
    return lambda: call(node.caller_address, "/board/7").status == 200
