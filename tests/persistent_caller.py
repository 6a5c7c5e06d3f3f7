"""A caller that reuses one connection until it closes."""

import http.client
import itertools
import time
from collections.abc import Sequence
from typing import NamedTuple

from tests.utils import HttpAnswer

__all__ = ["NO_ANSWER", "NOT_SENT", "Exchange", "PersistentCaller"]

CALL_TIMEOUT_S = 10.0
# Outcome of a request whose connection closed, or whose timeout elapsed, before the
# complete answer was received. The request may have run.
NO_ANSWER = "no answer"
# Outcome of a request that was not sent, since no node accepted a connection.
NOT_SENT = "not sent"


class Exchange(NamedTuple):
    """One request and the answer that its caller received.

    Attributes
    ----------
    outcome : str
        The outcome header of the answer. If that is "answered" and the backend server's
        status is not 200, the status follows. `NO_ANSWER` or `NOT_SENT` if there is no
        answer.
    reason : str
        Why the fleet refused or failed the request; empty if it did neither, or if
        there is no answer.
    address : str
        Address of the ingress, or of the one tried last if none accepted.
    sent_s, ended_s : float
        Wall-clock time before and after the request, comparable with `wall_s` in the
        events of nodes.
    """

    outcome: str
    reason: str
    address: str
    sent_s: float
    ended_s: float


class PersistentCaller:
    """One caller that reuses its connection until it closes.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of ingresses. When a connection closes, the caller connects to
        the next address.
    path : str
        Path prefix of the requests; a slash and the run key follow it.
    headers : dict of str to str
        Additional headers of each request.

    Attributes
    ----------
    exchanges : dict of str to Exchange
        All requests, by run key.
    violations : list of str
        Descriptions of answers that belonged to another request.
    """

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        path: str = "/sign",
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._name, self._path, self._timeout_s = name, path, timeout_s
        self._headers = headers or {}
        self._addresses = itertools.cycle(addresses)
        self._address_count = len(addresses)
        self._address = ""
        self._connection: http.client.HTTPConnection | None = None
        self._number = 0
        self.exchanges: dict[str, Exchange] = {}
        self.violations: list[str] = []

    def send(self) -> str:
        """Send one request and return its outcome, see `Exchange.outcome`."""
        key = f"{self._name}.{self._number}"
        self._number += 1
        is_open = self._connection is not None or self._connect()
        sent_s = time.time()
        answer = self._exchange(key) if is_open else None
        outcome = (answer and answer.outcome) or (NO_ANSWER if is_open else NOT_SENT)
        if answer is not None and answer.status == 200:
            self._check_answer(key, answer)
        elif outcome == "answered":
            # The backend server itself refused or failed the request.
            outcome = f"answered {answer.status}"
        reason = "" if answer is None else answer.json().get("reason", "")
        self.exchanges[key] = Exchange(
            outcome, reason, self._address, sent_s, time.time()
        )
        return outcome

    def _check_answer(self, key: str, answer: HttpAnswer) -> None:
        body = answer.json()
        if (body["run_key"], body["body"]) != (key, key):
            self.violations.append(
                f"{key} received the answer to another request: {body}"
            )

    def _connect(self) -> bool:
        """Connect to the next ingress that accepts; return False if none does."""
        for address in itertools.islice(self._addresses, self._address_count):
            self._address = address
            connection = http.client.HTTPConnection(address, timeout=self._timeout_s)
            try:
                connection.connect()
            except OSError:
                continue
            self._connection = connection
            return True
        return False

    def _exchange(self, key: str) -> HttpAnswer | None:
        headers = {"X-Run-Key": key, "X-Request-Id": key, **self._headers}
        if self._number % 2:
            headers["Idempotency-Key"] = key
        try:
            self._connection.request(
                "POST", f"{self._path}/{key}", key.encode(), headers
            )
            response = self._connection.getresponse()
            names = {name.lower(): value for name, value in response.getheaders()}
            answer = HttpAnswer(response.status, names, response.read())
        except (OSError, http.client.HTTPException):
            self.close()
            return None
        if response.will_close:
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
