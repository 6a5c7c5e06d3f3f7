"""Callers that send requests all the time while nodes or backend servers leave."""

import http.client
import itertools
import json
import threading
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from balsamspindle.timeline import parse_event
from tests.utils import HttpAnswer

CONNECT_TRIES_MAX = 200
CALL_TIMEOUT_S = 20.0


def read_events(log_path: Path) -> list[dict[str, str]]:
    """Return the events that a process has logged so far, each as its fields."""
    events = map(parse_event, log_path.read_text().splitlines())
    return [event for event in events if event and "event" in event]


class Call(NamedTuple):
    """One request of a caller and how it ended."""

    run_key: str
    method: str
    status: int
    outcome: str | None
    server: str | None
    reason: str | None


class SteadyCaller(threading.Thread):
    """Sends requests one after the other on a persistent connection.

    A refused connection is not a fault, since no request was sent on it; the caller
    then connects to the next node. A connection that ends before a complete answer is
    a fault.

    Parameters
    ----------
    reconnects : bool, default=False
        Use a new connection for each request.
    target : str, default="/contracts"
        Path of the requests; the run key is appended.

    Attributes
    ----------
    calls : list of Call
    faults : list of str
        Descriptions of the requests that had no complete answer or the answer to
        another request.
    """

    def __init__(
        self,
        name,
        addresses,
        method="GET",
        pause_s=0.01,
        reconnects=False,
        target="/contracts",
    ):
        super().__init__(name=name, daemon=True)
        self._addresses = itertools.cycle(addresses)
        self._method = method
        self._pause_s = pause_s
        self._target = target
        self._reconnects = reconnects
        self._stopped = threading.Event()
        self._connection: http.client.HTTPConnection | None = None
        self.calls: list[Call] = []
        self.faults: list[str] = []

    def run(self) -> None:
        for number in itertools.count():
            if self._stopped.wait(self._pause_s):
                return
            self._call(f"{self.name}-{number}")

    def stop(self) -> None:
        self._stopped.set()
        self.join(CALL_TIMEOUT_S)

    def outcomes(self) -> Counter:
        return Counter(call.outcome for call in self.calls)

    def _call(self, run_key: str) -> None:
        target = f"{self._target}/{run_key}"
        body = run_key.encode() if self._method == "POST" else None
        try:
            connection = self._connection
            if connection is None or connection.sock is None or self._reconnects:
                self._connect()
            self._connection.request(self._method, target, body, {"X-Run-Key": run_key})
            response = self._connection.getresponse()
            answer = HttpAnswer(
                response.status,
                {name.lower(): value for name, value in response.getheaders()},
                response.read(),
            )
        except (OSError, http.client.HTTPException) as error:
            if isinstance(error, ConnectionRefusedError) and self._stopped.is_set():
                return
            self.faults.append(f"{run_key}: {error!r}")
            self._connection = None
            return
        self._record(run_key, target, answer)

    def _connect(self) -> None:
        for _ in range(CONNECT_TRIES_MAX):
            connection = http.client.HTTPConnection(
                next(self._addresses), timeout=CALL_TIMEOUT_S
            )
            try:
                connection.connect()
            except ConnectionRefusedError:
                self._stopped.wait(0.05)
                continue
            self._connection = connection
            return
        raise ConnectionRefusedError("no node accepts connections")

    def _record(self, run_key: str, target: str, answer: HttpAnswer) -> None:
        report = json.loads(answer.body)
        if answer.outcome == "answered" and report["target"] != target:
            self.faults.append(f"{run_key}: received the answer to {report['target']}")
        self.calls.append(
            Call(
                run_key,
                self._method,
                answer.status,
                answer.outcome,
                report.get("server"),
                report.get("reason"),
            )
        )
