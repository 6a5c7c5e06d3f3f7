"""The HTTP interface to callers: limits, request headers and responses."""

import os
import random
import re

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.answers import encode_answer, encode_problem
from balsamspindle.requests.heads import BadRequest
from balsamspindle.requests.http import CallerRequest, HttpLimits
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.wire import Reply

__all__ = ["CallerProtocol", "new_request_id"]

# All visible characters of ASCII.
_match_request_id = re.compile(r"[!-~]{1,128}").fullmatch
_match_timeout = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?").fullmatch
_request_ids = random.Random(os.urandom(32))


def new_request_id() -> str:
    """Return a random id for a request that came without a valid id."""
    return f"{_request_ids.getrandbits(128):032x}"


class CallerProtocol:
    """Reads the fleet's headers in callers' requests and encodes the responses."""

    def __init__(
        self, settings: NodeSettings, configuration: CurrentConfiguration
    ) -> None:
        self._settings = settings
        self._names = settings.headers
        self._configuration = configuration

    def limits(self) -> HttpLimits:
        """Return the limits for callers' connections.

        Limits in the fleet's settings replace this process's own limits. Only for
        request bodies, the lower of the fleet's and this process's limit applies.
        """
        settings, configuration = self._settings, self._configuration.get()
        limits = HttpLimits(
            body_max_bytes=settings.request_body_max_bytes,
            idle_timeout_s=settings.connection_idle_timeout_s,
            head_timeout_s=settings.request_head_timeout_s,
            body_timeout_s=settings.request_body_timeout_s,
        )
        fleet = configuration and configuration.caller_limits
        if not fleet:
            return limits
        return limits._replace(
            head_max_bytes=fleet.head_max_bytes,
            # Several copies of a request body are in memory at a time. This process's
            # limit is set according to its memory, so the fleet can't raise the limit.
            body_max_bytes=min(fleet.body_max_bytes, settings.request_body_max_bytes),
            idle_timeout_s=fleet.idle_timeout_ms / 1000,
            head_timeout_s=fleet.head_timeout_ms / 1000,
        )

    def request_id(self, request: CallerRequest) -> str:
        """Return the caller's request id if it is well-formed, else a new one."""
        given = request.control_headers.get(self._names.request_id.lower())
        if given is not None and _match_request_id(given):
            return given
        return new_request_id()

    def timeout_ms(self, request: CallerRequest, route: RouteDocument) -> float:
        """Return a request's time-out: the shorter of its caller's and its route's.

        Raises
        ------
        BadRequest
            If the caller's time-out is not a positive number.
        """
        requested = request.control_headers.get(self._names.timeout_ms.lower())
        if requested is None:
            return route.timeout_ms
        if not _match_timeout(requested) or float(requested) == 0:
            raise BadRequest(
                Reason.BAD_TIMEOUT,
                f"{self._names.timeout_ms} must be a positive number of milliseconds.",
            )
        return min(route.timeout_ms, float(requested))

    def encode_reply(
        self, reply: Reply, request: CallerRequest, request_id: str, keep_alive: bool
    ) -> bytes:
        """Encode the reply to a forwarded request as the response to its caller."""
        is_head = request.method == "HEAD"
        if reply.outcome is Outcome.ANSWERED:
            return encode_answer(
                reply.status,
                reply.headers,
                reply.body,
                request_id,
                keep_alive,
                is_head,
                self._names,
            )
        return self.encode_problem(
            reply.reason,
            reply.outcome,
            request_id,
            keep_alive,
            is_head,
            retry_after_ms=reply.retry_after_ms,
        )

    def encode_problem(
        self,
        reason: Reason,
        outcome: Outcome,
        request_id: str,
        keep_alive: bool,
        is_head: bool = False,
        detail: str | None = None,
        allow: tuple[str, ...] = (),
        retry_after_ms: float = 0.0,
    ) -> bytes:
        """Encode a response that the fleet generates; see `answers.encode_problem`."""
        return encode_problem(
            reason,
            outcome,
            request_id,
            keep_alive,
            is_head,
            detail,
            allow,
            retry_after_ms,
            self._names,
            self._settings.retry_after_decimals,
        )
