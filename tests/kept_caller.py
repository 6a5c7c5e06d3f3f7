"""A caller that sends on its connection until that is gone."""

import http.client
import itertools
import time
from collections.abc import Sequence
from typing import NamedTuple

from tests.utils import HttpAnswer

__all__ = ["NO_ANSWER", "NOT_SENT", "Exchange", "KeptCaller"]

CALL_TIMEOUT_S = 10.0
# The connection ended, or stayed silent, after the request was sent.
NO_ANSWER = "no answer"
# No node took a connection: nothing was sent.
NOT_SENT = "not sent"


class Exchange(NamedTuple):
    """One request and what its caller was told.

    Attributes
    ----------
    outcome : str
        The fleet's word, with the status of a refusal or error that was passed
        on, or that there was no answer.
    reason : str
        The fleet's, where it made the answer.
    address : str
        Of the ingress.
    sent_s, ended_s : float
        Wall time, as in the events of nodes.
    """

    outcome: str
    reason: str
    address: str
    sent_s: float
    ended_s: float


class KeptCaller:
    """One caller that sends on its connection until that is gone.

    Parameters
    ----------
    addresses : sequence of str
        Of ingresses. After the end of a connection the next one is taken.
    path : str
        Of the requests, before their run key.
    headers : dict of str to str
        Of each request.

    Attributes
    ----------
    told : dict of str to Exchange
        What it was told of each request, by run key.
    faults : list of str
        Broken promises that it saw itself.
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
        self._tries = len(addresses)
        self._address = ""
        self._connection: http.client.HTTPConnection | None = None
        self._number = 0
        self.told: dict[str, Exchange] = {}
        self.faults: list[str] = []

    def send(self) -> str:
        """Send one request; return what was told, or that nothing was."""
        key = f"{self._name}.{self._number}"
        self._number += 1
        is_open = self._connection is not None or self._connect()
        sent_s = time.time()
        answer = self._exchange(key) if is_open else None
        outcome = (answer and answer.outcome) or (NO_ANSWER if is_open else NOT_SENT)
        if answer is not None and answer.status == 200:
            self._check_own(key, answer)
        elif outcome == "answered":
            # The backend server's own refusal or error, passed on.
            outcome = f"answered {answer.status}"
        reason = "" if answer is None else answer.json().get("reason", "")
        self.told[key] = Exchange(outcome, reason, self._address, sent_s, time.time())
        return outcome

    def _check_own(self, key: str, answer: HttpAnswer) -> None:
        body = answer.json()
        if (body["run_key"], body["body"]) != (key, key):
            self.faults.append(f"{key} got another one's answer: {body}")

    def _connect(self) -> bool:
        """Connect to the next ingress that takes connections, if any does."""
        for address in itertools.islice(self._addresses, self._tries):
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
        """End the connection; the next request opens another one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
