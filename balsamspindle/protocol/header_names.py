"""Names of the headers exchanged with callers and backend servers."""

import msgspec

__all__ = ["DEFAULT_HEADER_NAMES", "HeaderNames"]


class HeaderNames(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Header names of one deployment; an empty name disables the header.

    Attributes
    ----------
    request_id : str
        Id of a request: from the caller, to the backend server, and on each answer.
    timeout_ms : str
        From the caller: how long it waits. To backend servers: the remaining time.
    outcome : str
        Outcome of a request; only on answers to callers.
    expected_backend_server : str
        To backend servers: id of the backend server that an attempt is meant for. A
        backend server with another id at the same address refuses the attempt.
    backend_server_id : str
        On answers to status checks: id of the backend server that answered.
    caller_service : str
        To backend servers: the service beside the node that received the request
        from its caller.
    not_run : str
        On a backend server's answer: proves that the backend server did not run the
        request.
    signature : str
        On each answer that a backend server itself produced by running a request.
    server_limit : str
        On a backend server's answer: requests per second that it takes from all nodes
        together, for as long as its answers say so.
    server_leaving : str
        On a backend server's answer: 1 if it is about to end.
    credential : str
        From the caller: authenticates it to backend servers; forwarded.
    api_key : str
        From the caller: a customer's key; never forwarded.
    customer : str
        To backend servers: name of the customer that the key belongs to.
    echoes_request_id : bool
        Whether backend servers repeat the request's id on their answers, so that an
        answer to a different request is detected.
    """

    request_id: str = "X-Request-Id"
    timeout_ms: str = "X-Request-Timeout-Ms"
    outcome: str = "X-Balsamspindle-Outcome"
    expected_backend_server: str = ""
    backend_server_id: str = ""
    caller_service: str = ""
    not_run: str = ""
    signature: str = ""
    server_limit: str = "X-Balsamspindle-Server-Limit"
    server_leaving: str = "X-Balsamspindle-Server-Leaving"
    credential: str = "Authorization"
    api_key: str = "X-Balsamspindle-Key"
    customer: str = "X-Balsamspindle-Customer"
    echoes_request_id: bool = False


DEFAULT_HEADER_NAMES = HeaderNames()
