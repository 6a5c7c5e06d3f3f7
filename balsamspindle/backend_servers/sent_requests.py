"""Which requests were sent on a connection to a backend server.

A backend server may send an answer a second time, after any time, on the connection of
the first. The copy has the id of its request. If the same id is sent again on this
connection, the copy can't be told from the answer to the second send.
"""

from array import array

__all__ = ["REQUESTS_MAX", "SentRequests"]

# Requests that are sent on one connection. More of them take more memory, 8 bytes each,
# and fewer of them need more connections.
REQUESTS_MAX = 500


class SentRequests:
    """The requests that were sent on one connection."""

    def __init__(self) -> None:
        self._id_hashes = array("q")

    def __len__(self) -> int:
        return len(self._id_hashes)

    def record(self, request_id: str) -> None:
        """Record that a request was sent; its id is empty if it has none."""
        self._id_hashes.append(hash(request_id))

    def may_send(self, request_id: str) -> bool:
        """Return whether a request may be sent on this connection.

        A request with an id may be sent once. One without an id, such as a status
        check, may follow others: an answer with an id is rejected for it, and its
        answer is passed on to no caller.
        """
        if len(self._id_hashes) >= REQUESTS_MAX:
            return False
        # Two ids with the same hash cost a connection, and nothing else.
        return not request_id or not self.has_sent(request_id)

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with this id was sent."""
        return hash(request_id) in self._id_hashes
