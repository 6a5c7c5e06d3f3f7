"""Many requests at once with a key that is revoked while nodes are out of touch.

``python -m tests.revocation_storm --cycles 40`` cuts saturated nodes off from the store
for longer than a revoked key may be used, revokes the key meanwhile, and lets all nodes
reach the store again at the same moment. It prints how many requests were answered that
were sent with the key after the bound.
"""

import argparse
import itertools
import multiprocessing
import socket
import sys
import threading
import time
from typing import NamedTuple

from tests.platform_fleet import PlatformFleet
from tests.relay import Relay
from tests.soak_revocations import (
    BOUNDS,
    HOST,
    KEYS,
    REVOKE_S,
    TARGET,
    configuration,
    start_servers,
)
from tests.utils import try_call, wait_until

KEY = KEYS[0]
NODES, PROCESSES_PER_NODE, CONNECTIONS = 3, 1, 30
WORK_S = 0.002
# Time after the end of a cut in which all nodes have new settings and a proof.
BACK_S = 1.0


class Served(NamedTuple):
    """A request that was answered with 200; `node` is its node's number."""

    sent_s: float
    ended_s: float
    node: int
    request_id: str


def run(cycles: int) -> tuple[int, int, list[Served]]:
    """Play a number of cuts.

    Returns
    -------
    tuple of int, int and list of Served
        Numbers of answers of 200 and of 503, and the requests that were sent later than
        the bound and were answered with 200.
    """
    with PlatformFleet() as fleet:
        relay = Relay(fleet.store.address)
        versions = itertools.count(1)

        def put(valid: set[str]) -> float:
            fleet.put_configuration(configuration(next(versions), valid))
            return time.monotonic()

        put(set(KEYS))
        nodes = [
            fleet.start_node_at(relay.address, f"n{number}", "z0", BOUNDS)
            for number in range(NODES)
        ]
        servers = start_servers(nodes, WORK_S)
        for node in nodes:
            _wait_status(node, 200)
        stopped, results = multiprocessing.Event(), multiprocessing.Queue()
        workers = [
            multiprocessing.Process(
                target=_call_node,
                args=(number, worker, node.caller_address, stopped, results),
                daemon=True,
            )
            for number, node in enumerate(nodes)
            for worker in range(PROCESSES_PER_NODE)
        ]
        for worker in workers:
            worker.start()
        revoked: list[tuple[float, float]] = []
        for _ in range(cycles):
            relay.refusal = b""
            relay.reset_connections()
            from_s = put(set(KEYS[1:]))
            time.sleep(REVOKE_S + 0.2)
            relay.refusal = None
            time.sleep(BACK_S)
            revoked.append((from_s + REVOKE_S, time.monotonic()))
            put(set(KEYS))
            for node in nodes:
                _wait_status(node, 200)
        stopped.set()
        reports = [results.get() for _ in workers]
        for server in servers:
            server.stop()
        relay.close()
    served = [Served(*one) for report in reports for one in report[1]]
    late = [
        one
        for one in served
        if any(from_s < one.sent_s and one.ended_s < to_s for from_s, to_s in revoked)
    ]
    return len(served), sum(report[0] for report in reports), late


def _wait_status(node, status: int) -> None:
    headers = {"Host": HOST, "X-Credential": KEY, "X-Request-Id": "0123456789abcdef"}

    def answers() -> bool:
        answer = try_call(node.caller_address, TARGET, headers=headers)
        return answer is not None and answer.status == status

    wait_until(answers, f"the node answers {status}", 60.0)


def _call_node(number, worker, address, stopped, results) -> None:
    """Send requests over many connections at once, each as soon as it can."""
    served: list[tuple[float, float, int, str]] = []
    refused = [0]
    threads = [
        threading.Thread(
            target=_call,
            args=(
                f"{number}{worker}{line:02}",
                number,
                address,
                stopped,
                served,
                refused,
            ),
        )
        for line in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put((refused[0], served))


def _call(name, number, address, stopped, served, refused) -> None:
    connection, numbers = None, itertools.count()
    while not stopped.is_set():
        request_id = f"{name}{next(numbers):012x}"
        request = (
            f"GET {TARGET} HTTP/1.1\r\nHost: {HOST}\r\nX-Credential: {KEY}\r\n"
            f"X-Request-Id: {request_id}\r\n\r\n"
        )
        try:
            if connection is None:
                host, _, port = address.partition(":")
                connection = socket.create_connection((host, int(port)), 20)
            sent_s = time.monotonic()
            connection.sendall(request.encode())
            status, is_open = _read(connection)
        except OSError:
            connection = None
            continue
        if status == 200:
            served.append((sent_s, time.monotonic(), number, request_id))
        refused[0] += status == 503
        if not is_open:
            connection.close()
            connection = None


def _read(connection: socket.socket) -> tuple[int, bool]:
    """Read one answer; return its status and whether the connection stays open."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(connection)
    head, _, body = data.partition(b"\r\n\r\n")
    head = head.lower()
    length = int(head.partition(b"content-length:")[2].partition(b"\r\n")[0] or 0)
    while len(body) < length:
        body += _receive(connection)
    return int(head.split(b" ", 2)[1]), b"connection: close" not in head


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(65536)
    if not data:
        raise ConnectionError("closed by the node")
    return data


def main() -> int:
    """Play the cuts that the command line asks for; return 1 if a key ran late."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cycles", type=int, default=40)
    answered, refused, late = run(parser.parse_args().cycles)
    print(f"{answered} answered, {refused} refused, {len(late)} late")
    for one in late:
        print(one)
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
