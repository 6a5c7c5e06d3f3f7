"""A connection of a caller that sends any targets and sees status and body."""

import http.client

__all__ = ["PersistentConnection"]

CALL_TIMEOUT_S = 11.0


class PersistentConnection:
    """A caller's connection to one node; opened again after it closed.

    Parameters
    ----------
    address : str
        The node's address for callers.
    host : str
        Value of the Host header.
    """

    def __init__(self, address: str, host: str) -> None:
        self._address, self._host = address, host
        self._connection: http.client.HTTPConnection | None = None

    def send(self, target: str, request_id: str, **more: str) -> tuple[int, bytes]:
        """Send a GET request; return status and body, or status 0 without an answer.

        `more` are further headers; an underscore in a name stands for a hyphen.
        """
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._address, timeout=CALL_TIMEOUT_S
            )
        headers = {"Host": self._host, "X-Request-Id": request_id}
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        try:
            self._connection.request("GET", target, headers=headers)
            response = self._connection.getresponse()
            answer = response.status, response.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None
            return 0, b""
        if response.will_close:
            self._connection.close()
            self._connection = None
        return answer
